//! Asks core machines for updates, as other nodes do, and checks what each claims of its contact with a quorum.
//!
//! The rule: a machine that claims quorum contact has every configuration that was acknowledged more than the contact
//! window before it was asked. Answers that took longer than a node would wait are left out, as a node leaves them out.
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
/// What a node waits for the answer to a poll that asks for one at once.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Between two polls of one machine, where the moment of a claim matters.
pub const FAST_POLL: Duration = Duration::from_millis(5);
/// Between two polls of one machine over long times.
pub const SLOW_POLL: Duration = Duration::from_millis(30);
/// First of the ports that the settings of simulated machines leave to nodes among themselves.
const INTERNAL: u16 = 7360;

/// Where a machine takes the calls of other nodes.
pub fn internal_of(cluster: &SimulatedCluster, name: &str) -> SocketAddr {
    SocketAddr::new(cluster.ip(name), INTERNAL)
}

/// Calls machines as another node does.
pub struct Caller(Rc<Links>);

impl Caller {
    pub fn new(net: NetworkInterface) -> Caller {
        Caller(Links::new(Rc::new(net)))
    }

    pub async fn call(
        &self,
        to: SocketAddr,
        call: &Call,
        timeout_after: Duration,
    ) -> Option<Reply> {
        self.0.call(to, call, timeout_after).await.ok()
    }

    /// One poll that asks for everything at once.
    pub async fn poll(&self, to: SocketAddr) -> Option<Update> {
        let poll = Poll {
            name: "watcher".to_owned(),
            ..Poll::default()
        };
        match self.call(to, &Call::Poll(poll), CALL_TIMEOUT).await? {
            Reply::Update(update) => Some(update),
            _ => None,
        }
    }
}

/// What was acknowledged when, and which claims were made.
#[derive(Default)]
pub struct ContactWatch {
    acknowledged: RefCell<Vec<(Instant, u64)>>,
    claims: RefCell<Vec<(Instant, IpAddr)>>,
    stopped: Cell<bool>,
}

impl ContactWatch {
    /// Watches these machines until it is stopped, with a poll of each about this often.
    pub fn begin(
        cluster: &Rc<SimulatedCluster>,
        names: &[String],
        every: Duration,
    ) -> Rc<ContactWatch> {
        let watch = Rc::new(ContactWatch::default());
        for name in names {
            let (watch, cluster, name) = (watch.clone(), cluster.clone(), name.clone());
            spawn_local(async move { watch.follow(&cluster, &name, every).await });
        }
        watch
    }

    pub fn stop(&self) {
        self.stopped.set(true);
    }

    /// From now on this version is acknowledged.
    pub fn acknowledged(&self, version: u64) {
        self.acknowledged
            .borrow_mut()
            .push((Instant::now(), version));
    }

    /// When the polls were sent to which this machine answered that it has contact, within this time.
    pub fn claim_times(&self, ip: IpAddr, from: Instant, until: Instant) -> Vec<Instant> {
        let claims = self.claims.borrow();
        let within = claims
            .iter()
            .filter(|c| c.1 == ip && c.0 >= from && c.0 <= until);
        within.map(|c| c.0).collect()
    }

    /// How often this machine claimed contact in answer to polls that were sent within this time.
    pub fn claims(&self, ip: IpAddr, from: Instant, until: Instant) -> usize {
        self.claim_times(ip, from, until).len()
    }

    async fn follow(&self, cluster: &Rc<SimulatedCluster>, name: &str, every: Duration) {
        let (caller, to) = (
            Caller::new(cluster.outside_net()),
            internal_of(cluster, name),
        );
        while !self.stopped.get() {
            let sent = Instant::now();
            if let Some(update) = caller.poll(to).await
                && update.has_quorum_contact()
                && sent.elapsed() <= CALL_TIMEOUT
            {
                self.claims.borrow_mut().push((sent, to.ip()));
                self.check(cluster, name, sent, &update);
            }
            sleep(every).await;
        }
    }

    fn check(&self, cluster: &SimulatedCluster, name: &str, sent: Instant, update: &Update) {
        let version = update.config.as_ref().map_or(0, |c| c.version);
        let known_by = sent.checked_sub(CONTACT_WINDOW).unwrap_or(sent);
        let due = |a: &&(Instant, u64)| a.0 <= known_by;
        let unplaced_responses = self
            .acknowledged
            .borrow()
            .iter()
            .filter(due)
            .map(|a| a.1)
            .max();
        if unplaced_responses.is_some_and(|unplaced_responses| version < unplaced_responses) {
            self.stopped.set(true);
            cluster.monitor.report_violation(
                "CONTACT",
                format!(
                    "{name} claims quorum contact with {version}, {unplaced_responses:?} was acknowledged before"
                ),
            );
        }
    }
}
