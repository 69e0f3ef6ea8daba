//! Parsing of HTTP/1.1 messages: heads, body framing and chunked bodies.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`head`] | parses the head of a request or response |
//! | `fields` | parses header fields and derives the framing of the body |
//! | [`chunks`] | decodes a chunked body incrementally |
//! | [`reading`] | reads heads from a stream; the only module with I/O |
//!
//! Malformed input results in a [`ParseError`], never in a panic. Sources: RFC 9110 and RFC 9112.
pub mod chunks;
mod fields;
pub mod head;
pub mod reading;

/// The error for input that violates HTTP. Contains the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed message, close the connection: {0}")]
pub struct ParseError(pub &'static str);

/// The result of parsing untrusted bytes.
pub type Parsed<T> = Result<T, ParseError>;
