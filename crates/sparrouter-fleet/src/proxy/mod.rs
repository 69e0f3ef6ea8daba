//! One client request from accept to the last byte: the frontend's connections, the attempts at servers, the response.
//!
//! | module | its job |
//! | --- | --- |
//! | `backlogs` | how long prompts wait at servers, counted by each server's owner |
//! | [`event_stream`] | the boundaries of events in a stream |
//! | `exchange` | one request and its response |
//! | `frontend` | connections of clients |
//!
//! Owns the connections of clients and the pool of those to servers. Uses the node's tables and, through its links, the
//! owners of servers and prefix blocks.
mod backlogs;
pub mod event_stream;
pub(crate) mod exchange;
pub(crate) mod frontend;

pub(crate) use backlogs::WaitingPrompt;
