//! Actors with mailboxes: the module, which alone owns the decisions, one for each peer, and the list.
pub mod clock;
pub mod list;
pub mod module;
pub mod parts;
pub mod peer;
#[cfg(test)]
pub mod tests;

use crate::transport::client::ClientSays;
use crate::transport::datagrams::NodeSays;
use list::ListSays;
use module::Change;
use peer::PeerSays;

/// Messages that a mailbox holds before its senders wait.
pub const MAILBOX: usize = 256;

/// What the module is told, by all the others.
pub enum Told {
    Client(ClientSays),
    Node(NodeSays),
    List(ListSays),
    Peer(PeerSays),
    Changed(Box<Change>),
}

impl From<ClientSays> for Told {
    fn from(says: ClientSays) -> Told {
        Told::Client(says)
    }
}
impl From<NodeSays> for Told {
    fn from(says: NodeSays) -> Told {
        Told::Node(says)
    }
}
