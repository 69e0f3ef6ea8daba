//! The lowest layer: the network, HTTP messages, the memory for requests, connections to servers, the log, and the defects that tests inject.
//! The simulation replaces the sockets by its own network.
pub mod background_writer;
pub mod body;
pub mod connections;
pub mod defects;
pub mod http;
pub mod log_buffer;
pub mod memory;
pub mod net;
pub mod query;
pub mod request;
pub mod upstream;
