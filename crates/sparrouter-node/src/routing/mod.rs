//! The actors and their mailboxes: the decision actor, which alone owns the policy, one actor for each peer, and the
//! one that follows the endpoint list.
//!
//! Every mailbox is bounded. Client connections, peers and the list wait while the decision actor's mailbox is full;
//! gossip is dropped. The decision actor never waits: a command that a full mailbox refuses counts as not sent.
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

/// Messages that a mailbox holds before its senders wait.
pub const MAILBOX_CAPACITY: usize = 256;

/// What the decision actor receives from all other tasks.
pub enum Message {
    /// From a client's connection.
    Client(ClientEvent),
    /// From another node.
    Gossip(GossipEvent),
    /// From the actor that follows the endpoint list.
    List(ListEvent),
    /// From the actor of a cache server or the origin.
    Peer(PeerEvent),
    /// SIGHUP: the files were read again and can be applied.
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
