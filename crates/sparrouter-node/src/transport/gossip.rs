//! Gossip between nodes by UDP datagrams, which may be lost: nothing here waits or retries.
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// Maximum size of a datagram, in bytes.
pub const MAX_DATAGRAM: usize = 256;

/// A datagram from another node.
pub struct GossipEvent {
    /// Number of the sending node.
    pub peer: usize,
    /// Payload, at most `MAX_DATAGRAM` bytes.
    pub text: Vec<u8>,
}

/// The gossip socket.
pub struct GossipSocket {
    socket: UdpSocket,
    /// Addresses of all nodes, indexed by node number.
    nodes: RefCell<Vec<SocketAddr>>,
}

impl GossipSocket {
    /// Binds the socket. `nodes` are the addresses of all nodes, indexed by node number.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        nodes: Vec<SocketAddr>,
    ) -> std::io::Result<Rc<GossipSocket>> {
        Ok(Rc::new(GossipSocket {
            socket: UdpSocket::bind(address).await?,
            nodes: RefCell::new(nodes),
        }))
    }

    /// Replaces the addresses of the nodes, indexed by node number.
    pub fn apply_settings(&self, nodes: Vec<SocketAddr>) {
        *self.nodes.borrow_mut() = nodes;
    }

    /// Sends a datagram to a node, or drops it if the send would block.
    pub fn send(&self, peer: usize, text: &[u8]) {
        let Some(to) = self.nodes.borrow().get(peer).copied() else {
            return;
        };
        if text.len() > MAX_DATAGRAM {
            return log::error!("note of {} bytes not sent", text.len());
        }
        if let Err(error) = self.socket.try_send_to(text, to) {
            log::debug!("gossip message to {to} not sent: {error}");
        }
    }

    /// Receives datagrams and puts them into the mailbox until the task ends. Datagrams from unknown addresses and too
    /// long ones are dropped.
    pub async fn receive<M: From<GossipEvent>>(self: Rc<Self>, mailbox: mpsc::Sender<M>) {
        // The additional byte detects datagrams that are too long.
        let mut buffer = [0; MAX_DATAGRAM + 1];
        loop {
            // The error belongs to an earlier send (its receiver is down); reading continues.
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            let peer = self.nodes.borrow().iter().position(|node| *node == from);
            match peer {
                Some(peer) if length <= MAX_DATAGRAM => {
                    let text = buffer[..length].to_vec();
                    // A datagram is dropped if the mailbox is full: gossip may be lost, so nothing waits for it.
                    let _ = mailbox.try_send(GossipEvent { peer, text }.into());
                }
                _ => log::debug!("datagram of {length} bytes from {from} dropped"),
            }
        }
    }
}
