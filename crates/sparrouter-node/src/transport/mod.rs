//! Sockets: the listener, client connections, connections to peers with their pool, calls to discovery, gossip between
//! nodes, and the descriptors that all of them share.
//!
//! | module | its one job |
//! | --- | --- |
//! | `budget` | how many descriptors and how much memory each side may hold |
//! | `idle` | which idle client connection is closed when descriptors are short |
//! | `listener` | accepts clients |
//! | `client` | one client's connection |
//! | `link`, `pool` | one connection to a peer, and the idle ones of all peers |
//! | `discovery` | calls to discovery |
//! | `gossip` | datagrams between nodes |
//! | `reading` | complete messages from a stream |
pub mod budget;
pub mod client;
pub mod discovery;
pub mod gossip;
pub mod idle;
pub mod link;
pub mod listener;
pub mod pool;
pub mod reading;

#[cfg(test)]
mod tests;
