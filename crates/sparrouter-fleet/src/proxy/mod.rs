//! One client request from accept to the last byte: the frontend's connections, the attempts at servers, the response.
//!
//! Owns the connections of clients and those to servers. Uses the node's state and, through it, the other nodes.
mod backlogs;
pub mod event_stream;
pub mod exchange;
pub mod frontend;
