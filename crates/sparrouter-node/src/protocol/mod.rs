//! What the bytes mean: the endpoint list and messages of clients and cache servers. Heads and chunked bodies are
//! `sparrouter-http`'s. No I/O here; malformed input is returned as `ParseError`, never as a panic.
pub mod endpoint_list;
pub mod json;
pub mod messages;

#[cfg(test)]
mod tests;

pub use sparrouter_http::{ParseError, Parsed, chunks, head};

/// Longest head, in bytes.
pub const MAX_HEAD: usize = 16 << 10;
/// Longest body, in bytes.
pub const MAX_BODY: usize = 64 << 10;
/// Longest update of the endpoint list, in bytes: thousands of cache servers.
pub const MAX_UPDATE: usize = 1 << 20;
