//! HTTP/1.1 as bytes: message heads, body framing and chunked bodies.
//!
//! | module | its one job |
//! | --- | --- |
//! | [`head`] | parses the head of a request or response |
//! | `fields` | parses header fields, and derives from them how the body is framed |
//! | [`chunks`] | decodes a chunked body incrementally |
//! | [`reading`] | reads heads from a stream; the only module with I/O |
//!
//! Malformed input is returned as [`ParseError`], never as a panic. Sources: RFC 9110 and RFC 9112.
pub mod chunks;
mod fields;
pub mod head;
pub mod reading;

/// Input that violates the protocol, with what is wrong with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed message, close the connection: {0}")]
pub struct ParseError(pub &'static str);

/// The result of parsing untrusted bytes.
pub type Parsed<T> = Result<T, ParseError>;
