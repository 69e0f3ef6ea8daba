//! What the bytes mean: discovery's lines and our own messages; heads and chunked bodies are
//! `sparrouter-http`'s. No I/O here; whatever is malformed comes back as `Bad`, never as a panic.
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
/// Longest line that discovery may write, in bytes: thousands of cache servers.
pub const MAX_LINE: usize = 1 << 20;
