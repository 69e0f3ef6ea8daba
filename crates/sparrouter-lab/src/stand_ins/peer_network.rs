//! Datagrams between nodes pass through here, late or not at all. One socket a node: what reaches the
//! socket of node k goes on to node k, from the socket of the node that sent it.
use super::Lab;
use crate::nanos;
use crate::scenario::arrivals::scramble;
use sparrouter_shares::message::{QuotaMessage, QuotaRows};
use sparrouter_shares::size::ClusterSizeView;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// The sockets between nodes, and what becomes of datagrams there.
pub struct PeerNetwork {
    /// What nodes know as each other's addresses.
    pub peers: Vec<SocketAddr>,
    /// Where they listen.
    pub listen: Vec<SocketAddr>,
    now: Arc<Mutex<NetworkConditions>>,
}

#[derive(Clone, Copy, Default)]
struct NetworkConditions {
    lost_part: f64,
    /// On top, in ms.
    delay_ms: f64,
    /// Nothing passes between the first so many and the others, or nothing towards the first.
    partitioned_nodes: usize,
    one_way: bool,
    /// The node in whose name forged requests are sent; and the fingerprint of limits that real messages carry.
    liar: Option<usize>,
    fingerprint: Option<u16>,
}

impl NetworkConditions {
    fn connects(&self, from: usize, to: usize) -> bool {
        let (from, to) = (from < self.partitioned_nodes, to < self.partitioned_nodes);
        from == to || from && self.one_way
    }
}

impl PeerNetwork {
    /// Binds one socket for each node that the scenario ever has.
    ///
    /// # Errors
    ///
    /// No socket can be bound.
    pub fn start(lab: &Arc<Lab>) -> std::io::Result<PeerNetwork> {
        let count = lab.scenario.most_nodes();
        let now = Arc::new(Mutex::new(NetworkConditions {
            lost_part: lab.scenario.peers.lost_part,
            ..NetworkConditions::default()
        }));
        let sockets: Result<Vec<_>, _> = (0..count)
            .map(|_| std::net::UdpSocket::bind((lab.address(), 0)))
            .collect();
        let sockets = sockets?;
        let peers: Vec<SocketAddr> = sockets
            .iter()
            .map(|s| s.local_addr())
            .collect::<Result<_, _>>()?;
        let listen: Vec<SocketAddr> = (0..count)
            .map(|_| SocketAddr::from((lab.address(), 7946)))
            .collect();
        let (shared, own, state) = (listen.clone(), lab.clone(), now.clone());
        lab.workers.run(move || async move {
            let bound = sockets.into_iter().map(|s| {
                s.set_nonblocking(true)?;
                UdpSocket::from_std(s).map(Arc::new)
            });
            let Ok(sockets) = bound.collect::<std::io::Result<Vec<_>>>() else {
                return;
            };
            spawn_local(send_lies(sockets.clone(), shared.clone(), state.clone()));
            for (k, socket) in sockets.iter().enumerate() {
                let (socket, all) = (socket.clone(), sockets.clone());
                spawn_local(relay_datagrams(
                    own.clone(),
                    k,
                    socket,
                    all,
                    shared.clone(),
                    state.clone(),
                ));
            }
        });
        Ok(PeerNetwork { peers, listen, now })
    }
    /// Sets the part that is lost, and the additional delay in ms.
    ///
    /// # Panics
    ///
    /// If a thread panicked with the lock.
    pub fn set(&self, lost_part: f64, delay_ms: f64) {
        let mut now = self.now.lock().expect("not poisoned");
        (now.lost_part, now.delay_ms) = (lost_part, delay_ms);
    }
    /// Sends forged quota requests in this node's name, or no longer.
    ///
    /// # Panics
    ///
    /// If a thread panicked with the lock.
    pub fn set_liar(&self, node: Option<usize>) {
        self.now.lock().expect("not poisoned").liar = node;
    }
    /// Separates the first `first` nodes from the others; `one_way`: only datagrams towards the first are lost.
    ///
    /// # Panics
    ///
    /// If a thread panicked with the lock.
    pub fn partition(&self, first: usize, one_way: bool) {
        let mut now = self.now.lock().expect("not poisoned");
        (now.partitioned_nodes, now.one_way) = (first, one_way);
    }
}

const LIES: Duration = Duration::from_millis(50);

/// Asks for parts in the name of one node; what is given goes to that node, which did not ask.
async fn send_lies(
    all: Vec<Arc<UdpSocket>>,
    listen: Vec<SocketAddr>,
    state: Arc<Mutex<NetworkConditions>>,
) {
    let mut number = 0;
    loop {
        sleep(LIES).await;
        let now = *state.lock().expect("not poisoned");
        let (Some(liar), Some(fingerprint)) = (now.liar, now.fingerprint) else {
            continue;
        };
        number += 1;
        let rows = (0..8).map(|limit| (limit, 0.0, 1e6)).collect();
        let size_view = ClusterSizeView {
            nodes: all.len(),
            previous_nodes: 0,
            unchanged_for: 0,
        };
        let text = QuotaMessage {
            fingerprint,
            size_view,
            sequence: number,
            rows: QuotaRows::Request(rows),
        }
        .write();
        for (to, at) in listen.iter().enumerate().filter(|(to, _)| *to != liar) {
            if now.connects(liar, to) {
                let _ = all[liar].send_to(&text, at).await;
            }
        }
    }
}

async fn relay_datagrams(
    lab: Arc<Lab>,
    k: usize,
    socket: Arc<UdpSocket>,
    all: Vec<Arc<UdpSocket>>,
    listen: Vec<SocketAddr>,
    state: Arc<Mutex<NetworkConditions>>,
) {
    let mut buffer = [0; 512];
    let mut chance = lab.scenario.seed ^ k as u64;
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let Some(sender) = listen.iter().position(|a| *a == from) else {
            continue;
        };
        if let Some(note) = QuotaMessage::read(&buffer[..length]) {
            state.lock().expect("not poisoned").fingerprint = Some(note.fingerprint);
        }
        chance = scramble(chance);
        let draw = (chance >> 11) as f64 / (1u64 << 53) as f64;
        let now = *state.lock().expect("not poisoned");
        if draw < now.lost_part || !now.connects(sender, k) {
            continue;
        }
        let [least, most] = lab.scenario.peers.delay_ms;
        let (out, to, text) = (all[sender].clone(), listen[k], buffer[..length].to_vec());
        let late =
            Duration::from_nanos(nanos((least + (most - least) * draw + now.delay_ms) / 1e3));
        spawn_local(async move {
            sleep(late).await;
            let _ = out.send_to(&text, to).await;
        });
    }
}
