//! The actors and their mailboxes: the decision actor, which is the sole owner of the policy, one actor per peer, and
//! the endpoint list actor.
//!
//! Every mailbox is bounded. Client connections, peers and the endpoint list actor wait while the decision actor's
//! mailbox is full; gossip is dropped. The decision actor never waits: a command that a full mailbox rejects counts as
//! not sent.
pub mod clock;
pub mod decision;
pub mod endpoint_list;
pub mod peer;
pub mod quota;
#[cfg(test)]
pub mod tests;

use crate::transport::client::ClientEvent;
use crate::transport::gossip::GossipEvent;
use decision::ConfigurationChange;
use endpoint_list::ListEvent;
use peer::PeerEvent;

/// Capacity of a mailbox, in messages; senders wait while it is full.
pub const MAILBOX_CAPACITY: usize = 256;

/// A message from another task to the decision actor.
pub enum Message {
    /// An event from a client's connection.
    Client(ClientEvent),
    /// A datagram from another node.
    Gossip(GossipEvent),
    /// An event from the endpoint list actor.
    List(ListEvent),
    /// An event from the actor of a cache server or the origin.
    Peer(PeerEvent),
    /// A validated configuration change after SIGHUP.
    ConfigurationChanged(Box<ConfigurationChange>),
}

impl From<ClientEvent> for Message {
    fn from(event: ClientEvent) -> Message {
        Message::Client(event)
    }
}

impl From<GossipEvent> for Message {
    fn from(event: GossipEvent) -> Message {
        Message::Gossip(event)
    }
}
