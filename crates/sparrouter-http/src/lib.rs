//! HTTP/1.1 as bytes: heads, framing and chunks, for the present program and the fleet alike. `reading`
//! alone touches a stream; whatever is malformed comes back as `Bad`, never as a panic. Source: RFC 9110 and RFC 9112.
pub mod chunks;
pub mod head;
pub mod reading;

/// Input that breaks the protocol, and how.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bad(pub &'static str);

pub type Parsed<T> = Result<T, Bad>;
