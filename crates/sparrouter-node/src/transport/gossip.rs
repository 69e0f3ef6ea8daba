//! Short notes between nodes. They may be lost, so nothing here waits or tries again.
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// Longest datagram that may be sent.
pub const MAX: usize = 256;

/// A note from the node of this number.
pub struct GossipEvent {
    pub peer: usize,
    pub text: Vec<u8>,
}

pub struct GossipSocket {
    socket: UdpSocket,
    nodes: RefCell<Vec<SocketAddr>>,
}

impl GossipSocket {
    pub async fn bind(at: SocketAddr, nodes: Vec<SocketAddr>) -> std::io::Result<Rc<GossipSocket>> {
        Ok(Rc::new(GossipSocket {
            socket: UdpSocket::bind(at).await?,
            nodes: RefCell::new(nodes),
        }))
    }

    /// Other nodes from now on, by their numbers.
    pub fn apply_settings(&self, nodes: Vec<SocketAddr>) {
        *self.nodes.borrow_mut() = nodes;
    }

    pub fn send(&self, peer: usize, text: &[u8]) {
        let Some(to) = self.nodes.borrow().get(peer).copied() else {
            return;
        };
        if text.len() > MAX {
            return log::error!("note of {} bytes not sent", text.len());
        }
        if let Err(error) = self.socket.try_send_to(text, to) {
            log::debug!("note to {to}: {error}");
        }
    }

    pub async fn receive<M: From<GossipEvent>>(self: Rc<Self>, mailbox: mpsc::Sender<M>) {
        // One byte more than allowed shows what is too long.
        let mut buffer = [0; MAX + 1];
        loop {
            // An error here is about an earlier send (its receiver is down): the next read goes on.
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            let peer = self.nodes.borrow().iter().position(|n| *n == from);
            match peer {
                Some(peer) if length <= MAX => {
                    // Dropped where the mailbox is full: a note is worth no waiting.
                    let _ = mailbox.try_send(
                        GossipEvent {
                            peer,
                            text: buffer[..length].to_vec(),
                        }
                        .into(),
                    );
                }
                _ => log::debug!("datagram of {length} bytes from {from} dropped"),
            }
        }
    }
}
