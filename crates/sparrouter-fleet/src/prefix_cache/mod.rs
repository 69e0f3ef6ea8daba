//! Tracks which servers and stores have which prompt prefixes in their KV caches, from the cache events that they
//! report.
//!
//! | module | its job |
//! | --- | --- |
//! | `assignment` | selection of the event sources that this node follows |
//! | [`event_follower`] | tasks that follow the event sources |
//! | [`event_page`] | one request for cache events, and parsing of its reply |
//! | `location` | location of cached blocks, recorded and queried at the owner of each block |
//!
//! Owns the tasks that follow events; they report cached blocks to the nodes that own the blocks. Uses `node` and the
//! modules below it.
mod assignment;
pub mod event_follower;
pub mod event_page;
mod location;
