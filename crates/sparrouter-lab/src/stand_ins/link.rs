//! A stretch of network before a stand-in: passes bytes on late, thinly, in one direction only, or not.
use super::Lab;
use crate::http;
use crate::scenario::arrivals::scramble;
use crate::scenario::faults::LinkFault;
use crate::scenario::schedule::LinkConditions;
use crate::{Nanos, nanos};
use bytes::{Bytes, BytesMut};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Chunks under conditions in one direction before reading pauses.
const MAX_QUEUED_CHUNKS: usize = 256;

/// Accepts connections at one address and carries them to another.
pub struct Link {
    /// Where it listens.
    pub at: SocketAddr,
    to: SocketAddr,
    lab: Arc<Lab>,
    conditions: Mutex<LinkConditions>,
    /// Counts resets: connections older than that break.
    resets: watch::Sender<u64>,
    chance: AtomicU64,
}

/// One direction of one connection.
struct Pipe {
    link: Arc<Link>,
    towards_client: bool,
    bytes_back: Rc<Cell<u64>>,
}

impl Link {
    /// Listens on this port of an address of its own.
    pub fn start(
        lab: &Arc<Lab>,
        to: SocketAddr,
        port: u16,
        conditions: LinkConditions,
    ) -> Arc<Link> {
        let at = SocketAddr::from((lab.address(), port));
        let link = Link {
            at,
            to,
            lab: lab.clone(),
            conditions: Mutex::new(conditions),
            resets: watch::Sender::new(0),
            chance: AtomicU64::new(lab.scenario.seed),
        };
        let link = Arc::new(link);
        let own = link.clone();
        // Bound before its address is given to anybody.
        lab.workers.run_blocking(move || async move {
            match TcpListener::bind(at).await {
                Ok(listener) => drop(spawn_local(own.accept(listener))),
                Err(e) => eprintln!("lab: link on {at}: {e}"),
            }
        });
        link
    }

    /// Changes how it treats bytes from now on; [`LinkFault::Reset`] breaks open connections.
    ///
    /// # Panics
    ///
    /// If a thread panicked with the lock.
    pub fn set(&self, conditions: LinkConditions) {
        *self.conditions.lock().expect("not poisoned") = conditions;
        if conditions.fault == LinkFault::Reset {
            self.resets.send_modify(|n| *n += 1);
        }
    }
    fn conditions(&self) -> LinkConditions {
        *self.conditions.lock().expect("not poisoned")
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                return;
            };
            let Ok(stream) = stream.into_std() else {
                continue;
            };
            let link = self.clone();
            self.lab.workers.run(move || async move {
                if let Ok(stream) = TcpStream::from_std(stream) {
                    link.carry(stream).await;
                }
            });
        }
    }

    async fn carry(self: Arc<Self>, near: TcpStream) {
        let conditions = self.conditions();
        if conditions.fault == LinkFault::Reset {
            return http::reset(near);
        }
        let _ = near.set_nodelay(true);
        // Half open: it comes up here, and nobody is behind it.
        if conditions.fault == LinkFault::HalfOpen {
            sleep(Duration::from_secs(3600)).await;
        }
        let limit = Duration::from_secs(3);
        let Ok(Ok(far)) = timeout(limit, TcpStream::connect(self.to)).await else {
            return http::reset(near);
        };
        let _ = far.set_nodelay(true);
        let mut broken = self.resets.subscribe();
        let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
        let bytes_back = Rc::new(Cell::new(0));
        let pipe = |towards_client| Pipe {
            link: self.clone(),
            towards_client,
            bytes_back: bytes_back.clone(),
        };
        let (there, towards_client) = (pipe(false), pipe(true));
        // Dropped halves close the connection by themselves.
        tokio::select! {
            biased;
            _ = broken.changed() => {}
            () = async { tokio::join!(there.run(near_in, far_out), towards_client.run(far_in, near_out)); } => {}
        }
    }

    fn jitter(&self, ms: f64) -> Nanos {
        let draw = scramble(self.chance.fetch_add(1, Relaxed)) >> 11;
        nanos(ms / 1e3 * draw as f64 / (1u64 << 53) as f64)
    }
}

impl Pipe {
    /// Until its source has ended and all of it is through, or it is cut.
    async fn run(self, mut from: OwnedReadHalf, to: OwnedWriteHalf) {
        let (queue, delayed) = mpsc::channel::<(Nanos, Bytes)>(MAX_QUEUED_CHUNKS);
        let deliver = deliver(
            self.link.clone(),
            self.towards_client,
            self.bytes_back.clone(),
            delayed,
            to,
        );
        let read = async {
            let (mut latest, mut buffer) = (0, BytesMut::new());
            loop {
                buffer.reserve(16 << 10);
                let ended = !matches!(from.read_buf(&mut buffer).await, Ok(n) if n > 0);
                let conditions = self.link.conditions();
                let bytes = buffer.split().freeze();
                let mut at = self.link.lab.now()
                    + nanos(conditions.delay_ms / 1e3)
                    + self.link.jitter(conditions.jitter_ms);
                if conditions.kib_per_s > 0.0 {
                    at = at.max(latest) + nanos(bytes.len() as f64 / 1024.0 / conditions.kib_per_s);
                }
                // Bytes never overtake each other.
                latest = at.max(latest);
                if queue.send((latest, bytes)).await.is_err() || ended {
                    break;
                }
            }
            drop(queue);
            // The rest is up to what is still under conditions.
            std::future::pending::<()>().await;
        };
        tokio::select! {
            biased;
            () = deliver => {}
            () = read => {}
        }
    }
}

async fn deliver(
    link: Arc<Link>,
    towards_client: bool,
    bytes_back: Rc<Cell<u64>>,
    mut queue: mpsc::Receiver<(Nanos, Bytes)>,
    mut to: OwnedWriteHalf,
) {
    while let Some((at, bytes)) = queue.recv().await {
        let now = link.lab.now();
        if at > now {
            sleep(Duration::from_nanos(at - now)).await;
        }
        let conditions = link.conditions();
        let lost = match conditions.fault {
            LinkFault::LostThere => !towards_client,
            LinkFault::LostBack => towards_client,
            LinkFault::HalfOpen => true,
            _ => false,
        };
        if lost {
            // The end of a connection is lost like anything else: the other side hears nothing.
            if bytes.is_empty() {
                sleep(Duration::from_secs(3600)).await;
            }
            continue;
        }
        if bytes.is_empty() {
            let _ = to.shutdown().await;
            continue;
        }
        let mut bytes = bytes;
        let mut cut = false;
        if towards_client && conditions.fault == LinkFault::Cut {
            let left = conditions.bytes.saturating_sub(bytes_back.get()) as usize;
            cut = bytes.len() >= left;
            bytes.truncate(left);
        }
        if towards_client {
            bytes_back.set(bytes_back.get() + bytes.len() as u64);
        }
        if to.write_all(&bytes).await.is_err() || cut {
            return;
        }
    }
}
