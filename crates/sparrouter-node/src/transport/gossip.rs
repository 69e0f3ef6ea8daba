//! Gossip between nodes, in datagrams. They may be lost, so nothing here waits or retries.
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// Longest datagram that may be sent, in bytes.
pub const MAX_DATAGRAM: usize = 256;

/// A datagram from another node.
pub struct GossipEvent {
    /// Number of the node.
    pub peer: usize,
    /// What it sent, at most `MAX_DATAGRAM` bytes.
    pub text: Vec<u8>,
}

/// The socket to the other nodes.
pub struct GossipSocket {
    socket: UdpSocket,
    /// Addresses of all nodes, by number.
    nodes: RefCell<Vec<SocketAddr>>,
}

impl GossipSocket {
    /// Binds the socket. `nodes`: addresses of all nodes, by number.
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

    /// Other nodes from now on, by number.
    pub fn apply_settings(&self, nodes: Vec<SocketAddr>) {
        *self.nodes.borrow_mut() = nodes;
    }

    /// Sends a datagram to a node; drops it where that can't be done at once.
    pub fn send(&self, peer: usize, text: &[u8]) {
        let Some(to) = self.nodes.borrow().get(peer).copied() else {
            return;
        };
        if text.len() > MAX_DATAGRAM {
            return log::error!("note of {} bytes not sent", text.len());
        }
        if let Err(error) = self.socket.try_send_to(text, to) {
            log::debug!("note to {to}: {error}");
        }
    }

    /// Receives datagrams for good and puts them into the mailbox; what comes from nobody known, or is too long, is
    /// dropped.
    pub async fn receive<M: From<GossipEvent>>(self: Rc<Self>, mailbox: mpsc::Sender<M>) {
        // One byte more than allowed shows what is too long.
        let mut buffer = [0; MAX_DATAGRAM + 1];
        loop {
            // An error here is about an earlier send (its receiver is down): the next read goes on.
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            let peer = self.nodes.borrow().iter().position(|node| *node == from);
            match peer {
                Some(peer) if length <= MAX_DATAGRAM => {
                    let text = buffer[..length].to_vec();
                    // Dropped where the mailbox is full: gossip is not worth a wait.
                    let _ = mailbox.try_send(GossipEvent { peer, text }.into());
                }
                _ => log::debug!("datagram of {length} bytes from {from} dropped"),
            }
        }
    }
}
