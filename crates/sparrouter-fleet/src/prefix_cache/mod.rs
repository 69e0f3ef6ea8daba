//! Which server or store has which prefix of a prompt in its cache, as their events say.
//!
//! | module | its job |
//! | --- | --- |
//! | `assignment` | which sources of events this node follows |
//! | [`event_follower`] | the tasks that follow them |
//! | [`event_page`] | one request for events, and what its reply says |
//! | `location` | what is cached where: recorded and asked at the owner of each block |
//!
//! Owns the followers of events; what they find goes to the nodes that own the blocks. Uses `node` and what is below it.
mod assignment;
pub mod event_follower;
pub mod event_page;
mod location;
