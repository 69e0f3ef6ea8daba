//! What lies below everything else: the network, HTTP messages, connections to servers, the log, and the defects that
//! tests inject. The simulation puts a network of its own in place of the sockets.
#![deny(
    missing_docs,
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::needless_pass_by_value,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc
)]
pub mod defects;
pub mod http;
pub mod log_buffer;
pub mod net;
pub mod upstream;
