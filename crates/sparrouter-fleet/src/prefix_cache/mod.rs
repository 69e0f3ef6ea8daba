//! Which server or store has which prefix of a prompt in its cache, as their events say.
//!
//! Owns the followers of events; what they find goes to the nodes that own the blocks.
pub mod event_follower;
mod location;
