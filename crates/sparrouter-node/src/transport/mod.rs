//! Sockets: the listener, client connections, pooled connections to peers, calls to discovery, gossip between nodes,
//! and the shared budget of file descriptors.
//!
//! | module | contents |
//! | --- | --- |
//! | `budget` | budgets of file descriptors and memory |
//! | `idle` | idle client connections, and which is closed when descriptors run out |
//! | `listener` | accepts clients |
//! | `client` | one client connection |
//! | `link`, `pool` | one connection to a peer, and the pool of idle connections |
//! | `discovery` | calls to discovery |
//! | `gossip` | datagrams between nodes |
//! | `reading` | reads complete messages from a stream |
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
