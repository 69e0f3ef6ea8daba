//! Actors with mailboxes: the module, which alone owns the decisions, one for each peer, and the list.
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

/// What the module is told, by all the others.
pub enum Message {
    Client(ClientEvent),
    Gossip(GossipEvent),
    List(ListEvent),
    Peer(PeerEvent),
    ConfigurationChanged(Box<ConfigurationChange>),
}

impl From<ClientEvent> for Message {
    fn from(says: ClientEvent) -> Message {
        Message::Client(says)
    }
}
impl From<GossipEvent> for Message {
    fn from(says: GossipEvent) -> Message {
        Message::Gossip(says)
    }
}
