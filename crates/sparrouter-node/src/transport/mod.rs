//! Sockets: the listener, client connections, links to peers with their pool, discovery's
//! connections, datagrams between nodes, and the descriptors that all of them share.
pub mod budget;
pub mod client;
pub mod discovery;
pub mod gossip;
pub mod link;
pub mod listener;
pub mod pool;
pub mod reading;

#[cfg(test)]
mod tests;
