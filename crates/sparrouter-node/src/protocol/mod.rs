//! Parsers and encoders for the endpoint list and for messages of clients and cache servers. `sparrouter-http` parses
//! heads and chunked bodies. The module does no I/O; malformed input yields a `ParseError` and never a panic.
pub mod endpoint_list;
pub mod json;
pub mod messages;

#[cfg(test)]
mod tests;

pub use sparrouter_http::{ParseError, Parsed, chunks, head};

/// Maximum size of a message head, in bytes.
pub const MAX_HEAD: usize = 16 << 10;
/// Usual maximum size of a body, in bytes.
pub const MAX_BODY: usize = 64 << 10;
/// Maximum size of an endpoint list update, in bytes: enough for thousands of cache servers.
pub const MAX_UPDATE: usize = 1 << 20;
