//! Discovery by its protocol: the whole list, or a watch on what changes. Each node has an address of its
//! own for it, so that the ledger knows whom it has told what.
use super::fleet::Fleet;
use super::{Lab, unix_ms};
use crate::http;
use crate::ledger::Record;
use crate::scenario::faults::DiscoveryFault;
use crate::scenario::schedule::Listed;
use bytes::BytesMut;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{sleep, timeout};

const HEARTBEAT: Duration = Duration::from_secs(2);

/// An entry of the list, as the protocol writes it.
#[derive(Clone, Debug, Serialize)]
struct Target {
    uid: String,
    endpoint: SocketAddr,
    az: String,
    model: &'static str,
    pod_group: u32,
    state: &'static str,
    capacity_hint: f64,
    boot_ms: u64,
    #[serde(skip)]
    number: u32,
    #[serde(skip)]
    rev: u64,
    #[serde(skip)]
    listed: Listed,
}

#[derive(Serialize)]
struct Listing {
    rev: u64,
    all: bool,
    targets: Vec<Target>,
}

struct State {
    targets: Vec<Target>,
    rev: u64,
    fault: Option<DiscoveryFault>,
    /// What came to be known while the list stood still.
    delayed_changes: Vec<Target>,
    /// By node, where it is found now; and the tasks that serve it there.
    at: Vec<SocketAddr>,
    tasks: Vec<AbortHandle>,
}

/// The discovery service, with one address for each node.
pub struct Discovery {
    lab: Arc<Lab>,
    fleet: Arc<Fleet>,
    /// Where nodes find each cache server and the origin: a link's address where one stands before it.
    ends: Vec<SocketAddr>,
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

fn uid(number: u32, seed: u64) -> String {
    format!(
        "s-{:08x}",
        crate::scenario::arrivals::scramble(seed ^ u64::from(number)) as u32
    )
}

impl Discovery {
    /// `ends`: addresses by cache server, the origin's last.
    pub fn new(lab: &Arc<Lab>, fleet: &Arc<Fleet>, ends: Vec<SocketAddr>) -> Arc<Discovery> {
        let nodes = lab.scenario.most_nodes();
        let at = (0..nodes)
            .map(|_| SocketAddr::from((lab.address(), 8500)))
            .collect();
        let origin = ends[ends.len() - 1];
        let target = Target {
            uid: "origin".into(),
            endpoint: origin,
            az: "z0".into(),
            model: "origin",
            pod_group: 0,
            state: "in_service",
            capacity_hint: 1.0,
            boot_ms: 0,
            number: u32::MAX,
            rev: 1,
            listed: Listed::Ready,
        };
        let state = State {
            targets: vec![target],
            rev: 1,
            fault: None,
            delayed_changes: vec![],
            at,
            tasks: vec![],
        };
        let (lab, fleet) = (lab.clone(), fleet.clone());
        Arc::new(Discovery {
            lab,
            fleet,
            ends,
            state: Mutex::new(state),
            changed: watch::Sender::new(1),
        })
    }

    /// Where this node finds it now.
    ///
    /// # Panics
    ///
    /// If a thread panicked with the lock.
    pub fn address(&self, node: usize) -> SocketAddr {
        self.state.lock().expect("not poisoned").at[node]
    }

    /// It comes to know this of a cache server. `cold`: its process has started during the run.
    ///
    /// # Panics
    ///
    /// If a thread panicked with the lock.
    pub fn list(&self, cache: usize, listed: Listed, cold: bool) {
        let number = cache as u32;
        let before = |t: &&Target| t.number == number;
        let mut state = self.state.lock().expect("not poisoned");
        let known = state.targets.iter().find(before).map(|t| t.boot_ms);
        let boot_ms = match (listed, cold) {
            (Listed::Ready, true) => unix_ms() - self.age_ms(cache),
            _ => known.unwrap_or(0),
        };
        let target = Target {
            uid: uid(number, self.lab.scenario.seed),
            endpoint: self.ends[cache],
            az: format!("z{}", cache % self.lab.scenario.caches.zones),
            model: "cache",
            pod_group: 0,
            state: match listed {
                Listed::Ready => "in_service",
                Listed::Draining => "terminating",
                Listed::Gone => "terminated",
            },
            capacity_hint: 1.0,
            boot_ms,
            number,
            rev: 0,
            listed,
        };
        self.lab.record(Record::Known {
            at: self.lab.now(),
            cache: number,
            listed,
        });
        if state.fault == Some(DiscoveryFault::Stale) {
            return state.delayed_changes.push(target);
        }
        self.publish(&mut state, target);
    }

    fn age_ms(&self, cache: usize) -> u64 {
        // The climb tells when it began.
        let s = &self.lab.scenario.caches;
        let warmth = self.fleet.caches[cache].warmth();
        let part = (warmth - s.cold_from) / (1.0 - s.cold_from).max(1e-9);
        (part.clamp(0.0, 1.0) * s.cold_s * 1e3) as u64
    }

    fn publish(&self, state: &mut State, mut target: Target) {
        state.rev += 1;
        target.rev = state.rev;
        state.targets.retain(|t| t.number != target.number);
        state.targets.push(target);
        self.changed.send_replace(state.rev);
    }

    /// Begins a fault, or ends it.
    ///
    /// # Panics
    ///
    /// If a thread panicked with the lock.
    pub fn set_fault(self: &Arc<Self>, fault: Option<DiscoveryFault>) {
        let before = {
            let mut state = self.state.lock().expect("not poisoned");
            let before = std::mem::replace(&mut state.fault, fault);
            let refuses = |t| matches!(t, Some(DiscoveryFault::Down | DiscoveryFault::Errors));
            if refuses(before) != refuses(fault) {
                self.lab.record(Record::DiscoveryAway {
                    at: self.lab.now(),
                    away: refuses(fault),
                });
            }
            if fault == Some(DiscoveryFault::Down) {
                state.tasks.drain(..).for_each(|t| t.abort());
            }
            let lies = |t| matches!(t, Some(DiscoveryFault::Empty | DiscoveryFault::Wrong));
            if (lies(before) || lies(fault)) && fault != before {
                // Watchers must see a forged state as a change, and the true state afterwards as another.
                state.rev += 1;
                let rev = state.rev;
                state.targets.iter_mut().for_each(|t| t.rev = rev);
                self.changed.send_replace(rev);
            }
            if fault.is_none() {
                let delayed_changes = std::mem::take(&mut state.delayed_changes);
                delayed_changes
                    .into_iter()
                    .for_each(|t| self.publish(&mut state, t));
            }
            before
        };
        if before == Some(DiscoveryFault::Down) && fault != before {
            self.start();
        }
    }

    /// New addresses from now on; nobody answers at the old ones.
    ///
    /// # Panics
    ///
    /// If a thread panicked with the lock.
    pub fn moves(self: &Arc<Self>) {
        let mut state = self.state.lock().expect("not poisoned");
        state.tasks.drain(..).for_each(|t| t.abort());
        state
            .at
            .iter_mut()
            .for_each(|at| *at = SocketAddr::from((self.lab.address(), 8500)));
        drop(state);
        self.start();
    }

    /// Listens for each node.
    ///
    /// # Panics
    ///
    /// If a thread panicked with the lock.
    pub fn start(self: &Arc<Self>) {
        for node in 0..self.lab.scenario.most_nodes() {
            let (discovery, at) = (self.clone(), self.address(node));
            let ready = self.lab.workers.run_blocking(move || async move {
                for _ in 0..200 {
                    if let Ok(listener) = TcpListener::bind(at).await {
                        let task = spawn_local(discovery.clone().accept(listener, node));
                        discovery
                            .state
                            .lock()
                            .expect("not poisoned")
                            .tasks
                            .push(task.abort_handle());
                        return true;
                    }
                    sleep(Duration::from_millis(5)).await;
                }
                false
            });
            if !ready {
                eprintln!("lab: discovery could not listen on {at}");
            }
        }
    }

    async fn accept(self: Arc<Self>, listener: TcpListener, node: usize) {
        while let Ok((stream, _)) = listener.accept().await {
            let task = spawn_local(self.clone().serve_connection(stream, node));
            self.state
                .lock()
                .expect("not poisoned")
                .tasks
                .push(task.abort_handle());
        }
    }

    /// Changes after a version, or the whole list; marks them as told.
    fn listing(&self, after: Option<u64>, node: usize) -> (u64, String) {
        let state = self.state.lock().expect("not poisoned");
        let (empty, wrong) = match state.fault {
            Some(DiscoveryFault::Empty) => (true, false),
            Some(DiscoveryFault::Wrong) => (false, true),
            _ => (false, false),
        };
        let lies = empty || wrong;
        let (all, after) = match after {
            Some(after) if after > 0 && after <= state.rev && !lies => (false, after),
            _ => (true, 0),
        };
        let wanted = |t: &&Target| {
            let named = t.rev > after && (!all || wrong || t.listed != Listed::Gone);
            named && (!empty || t.model == "origin")
        };
        let said = |t: &Target| Target {
            state: if wrong { "in_service" } else { t.state },
            ..t.clone()
        };
        let targets: Vec<Target> = state.targets.iter().filter(wanted).map(said).collect();
        let at = self.lab.now();
        // An empty list notifies the node of nothing; a wrong one counts as a notification.
        for t in targets.iter().filter(|t| t.model != "origin" && !empty) {
            let listed = if wrong { Listed::Ready } else { t.listed };
            self.lab.record(Record::Notified {
                at,
                node: node as u16,
                cache: t.number,
                listed,
            });
        }
        if all && !lies {
            // Whatever the whole list does not name is gone.
            for t in state.targets.iter().filter(|t| t.listed == Listed::Gone) {
                let cache = t.number;
                self.lab.record(Record::Notified {
                    at,
                    node: node as u16,
                    cache,
                    listed: Listed::Gone,
                });
            }
        }
        let listing = Listing {
            rev: state.rev,
            all,
            targets,
        };
        (
            state.rev,
            serde_json::to_string(&listing).expect("a list is plain"),
        )
    }

    /// The list as a node last had it, for its configuration.
    ///
    /// # Panics
    ///
    /// If a thread panicked with the lock.
    pub fn known(&self, node: usize) -> serde_json::Value {
        serde_json::from_str(&self.listing(None, node).1).expect("just written")
    }

    fn now(&self) -> Option<DiscoveryFault> {
        self.state.lock().expect("not poisoned").fault
    }

    async fn serve_connection(self: Arc<Self>, mut stream: TcpStream, node: usize) {
        let mut buffer = BytesMut::new();
        let Ok(call) = http::read(&mut stream, &mut buffer, |_| {}).await else {
            return;
        };
        match self.now() {
            Some(DiscoveryFault::Unresponsive) => return sleep(Duration::from_secs(3600)).await,
            Some(DiscoveryFault::Errors) => {
                http::write(
                    &mut stream,
                    &http::reply("503 Service Unavailable", "", b""),
                )
                .await;
                return;
            }
            _ => {}
        }
        if !call.start_line.1.contains("watch=1") {
            let (_, listing) = self.listing(None, node);
            http::write(&mut stream, &http::reply("200 OK", "", listing.as_bytes())).await;
            return;
        }
        let after = call.start_line.1.rsplit("after=").next();
        let after = after.and_then(|a| a.parse().ok()).unwrap_or(0);
        self.push_changes(stream, node, after).await;
    }

    /// A watch: each change after this version, and an empty line where there is none for a while.
    async fn push_changes(&self, mut stream: TcpStream, node: usize, after: u64) {
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        if !http::write(&mut stream, head).await {
            return;
        }
        let mut changed = self.changed.subscribe();
        let mut rev = after;
        let mut first = true;
        loop {
            let changed_since = first || *changed.borrow_and_update() > rev;
            if self.now() != Some(DiscoveryFault::Unresponsive) {
                let listing = if changed_since {
                    let (now, listing) = self.listing(Some(rev), node);
                    rev = now;
                    listing + "\n"
                } else {
                    "\n".into()
                };
                let chunk = format!("{:x}\r\n{listing}\r\n", listing.len());
                if !http::write(&mut stream, chunk.as_bytes()).await {
                    return;
                }
            }
            first = false;
            let _ = timeout(HEARTBEAT, changed.changed()).await;
        }
    }
}
