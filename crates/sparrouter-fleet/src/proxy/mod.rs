//! Proxying of client requests: client connections, attempts at servers, and the relay of responses.
//!
//! | module | its job |
//! | --- | --- |
//! | `backlogs` | estimates of how long prompts wait at servers, kept by the owner of each server |
//! | [`event_stream`] | the boundaries of events in a stream |
//! | `exchange` | one request and its response |
//! | `frontend` | client connections |
//!
//! Owns the client connections and the pool of server connections. Uses the node's tables and, through its links, the
//! owners of servers and prefix blocks.
mod backlogs;
pub mod event_stream;
pub(crate) mod exchange;
pub(crate) mod frontend;

pub(crate) use backlogs::WaitingPrompt;
