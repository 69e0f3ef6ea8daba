//! Polls core machines for updates, as other nodes do, and checks what each claims of its contact with a quorum.
//!
//! The rule (CONTACT): a machine that claims quorum contact has every configuration that was acknowledged more than the
//! contact window before it was polled. Answers that took longer than a node would wait are left out, as a node leaves
//! them out.

use crate::cluster::SimulatedCluster;
use crate::network::interface::NetworkInterface;
use sparrouter_fleet::peer::links::Links;
use sparrouter_fleet::peer::messages::{Call, Poll, Reply, Update};
use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// How far a claim of quorum contact may lag behind an acknowledgement.
pub const CONTACT_WINDOW: Duration = Duration::from_millis(1_600);
/// How long a node waits for the answer to a poll that asks for one at once.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two polls of one machine, where the moment of a claim matters.
pub const FAST_POLL: Duration = Duration::from_millis(5);
/// Time between two polls of one machine over long times.
pub const SLOW_POLL: Duration = Duration::from_millis(30);
/// First of the ports that the settings of simulated machines leave to nodes among themselves.
const INTERNAL_PORT: u16 = 7360;

/// Where a machine accepts calls of other nodes.
pub fn internal_address_of(cluster: &SimulatedCluster, name: &str) -> SocketAddr {
    SocketAddr::new(cluster.ip(name), INTERNAL_PORT)
}

/// Calls machines as another node does.
pub struct PeerClient(Rc<Links>);

impl PeerClient {
    /// A client without connections.
    pub fn new(network: NetworkInterface) -> PeerClient {
        PeerClient(Links::new(Rc::new(network)))
    }

    /// One call; `None` without an answer in time.
    pub async fn call(&self, to: SocketAddr, call: &Call, timeout: Duration) -> Option<Reply> {
        self.0.call(to, call, timeout).await.ok()
    }

    /// One poll that asks for everything at once.
    pub async fn poll(&self, to: SocketAddr) -> Option<Update> {
        let poll = Poll {
            name: "watcher".to_owned(),
            ..Poll::default()
        };
        match self.call(to, &Call::Poll(poll), POLL_TIMEOUT).await? {
            Reply::Update(update) => Some(update),
            _ => None,
        }
    }
}

struct Acknowledgement {
    version: u64,
    acknowledged_at: Instant,
}

/// A claim of quorum contact.
struct Claim {
    ip: IpAddr,
    /// When the poll was sent that the claim answers.
    polled_at: Instant,
}

/// What was acknowledged when, and which claims were made.
#[derive(Default)]
pub struct ContactWatch {
    acknowledgements: RefCell<Vec<Acknowledgement>>,
    claims: RefCell<Vec<Claim>>,
    is_stopped: Cell<bool>,
}

impl ContactWatch {
    /// Watches these machines until it is stopped, with a poll of each about this often.
    pub fn start(
        cluster: &Rc<SimulatedCluster>,
        names: &[String],
        interval: Duration,
    ) -> Rc<ContactWatch> {
        let watch = Rc::new(ContactWatch::default());
        for name in names {
            let (watch, cluster, name) = (watch.clone(), cluster.clone(), name.clone());
            spawn_local(async move { watch.watch(&cluster, &name, interval).await });
        }
        watch
    }

    /// Ends the watch.
    pub fn stop(&self) {
        self.is_stopped.set(true);
    }

    /// From now on this version is acknowledged.
    pub fn acknowledged(&self, version: u64) {
        self.acknowledgements.borrow_mut().push(Acknowledgement {
            version,
            acknowledged_at: Instant::now(),
        });
    }

    /// When the polls were sent that this machine answered with a claim of contact, within a period.
    pub fn claim_times(&self, ip: IpAddr, from: Instant, until: Instant) -> Vec<Instant> {
        let claims = self.claims.borrow();
        let of_machine = claims.iter().filter(|claim| claim.ip == ip);
        let times = of_machine.map(|claim| claim.polled_at);
        times
            .filter(|polled_at| (from..=until).contains(polled_at))
            .collect()
    }

    /// How often this machine claimed contact in answer to polls that were sent within a period.
    pub fn claims(&self, ip: IpAddr, from: Instant, until: Instant) -> usize {
        self.claim_times(ip, from, until).len()
    }

    async fn watch(&self, cluster: &Rc<SimulatedCluster>, name: &str, interval: Duration) {
        let client = PeerClient::new(cluster.outside_network());
        let address = internal_address_of(cluster, name);
        while !self.is_stopped.get() {
            let polled_at = Instant::now();
            if let Some(update) = client.poll(address).await
                && update.has_quorum_contact()
                && polled_at.elapsed() <= POLL_TIMEOUT
            {
                self.claims.borrow_mut().push(Claim {
                    ip: address.ip(),
                    polled_at,
                });
                self.check(cluster, name, polled_at, &update);
            }
            sleep(interval).await;
        }
    }

    fn check(&self, cluster: &SimulatedCluster, name: &str, polled_at: Instant, update: &Update) {
        let version = update.config.as_ref().map_or(0, |config| config.version);
        let known_by = polled_at.checked_sub(CONTACT_WINDOW).unwrap_or(polled_at);
        let acknowledgements = self.acknowledgements.borrow();
        let expected = acknowledgements
            .iter()
            .filter(|acknowledgement| acknowledgement.acknowledged_at <= known_by)
            .map(|acknowledgement| acknowledgement.version)
            .max();
        if let Some(expected) = expected
            && version < expected
        {
            self.is_stopped.set(true);
            cluster.monitor.report_violation(
                "CONTACT",
                format!(
                    "{name} claims quorum contact with {version}, {expected} was acknowledged before"
                ),
            );
        }
    }
}
