//! HTTP/1.1 as bytes: message heads, body framing and chunked bodies.
//!
//! | module | its one job |
//! | --- | --- |
//! | [`head`] | parses the head of a request or response |
//! | [`chunks`] | decodes a chunked body piece by piece |
//! | [`reading`] | reads heads from a stream; the only module with I/O |
//!
//! Malformed input is returned as [`Bad`], never as a panic. Sources: RFC 9110 and RFC 9112.
#![deny(missing_docs)]
pub mod chunks;
pub mod head;
pub mod reading;

/// Input that violates the protocol; holds what is wrong with it, for logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseError(pub &'static str);

/// The result of parsing untrusted bytes.
pub type Parsed<T> = Result<T, ParseError>;
