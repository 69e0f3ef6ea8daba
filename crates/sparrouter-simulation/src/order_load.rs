//! Several operators at once over a core in trouble, drawn by seed, for the check of their history.
//!
//! Each operator reads, builds orders on what it last knew, sends them to any node, sends them again or gives up, takes
//! up orders that others sent long ago, and puts other bodies under their numbers. One machine of the core at a time is
//! killed, frozen, cut off or without power, answers to the operators are lost, and at times every process ends.
use crate::cluster::{ClusterSettings, SimulatedCluster, initial_configuration};
use crate::configuration::{Configuration, Route, RouteKind};
use crate::network::Partition;
use crate::operator::{Encoding, Order};
use fastrand::Rng;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

const OPERATORS: usize = 4;
/// Troubles one after the other.
const TROUBLES: usize = 8;
/// A machine that is back counts as lost for so long.
const CATCH_UP: Duration = Duration::from_secs(4);

/// What a storm came to.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub violations: Vec<String>,
    pub story: Vec<String>,
    pub calls: usize,
    pub acknowledged: u32,
    pub refused: u32,
    pub unclear: u32,
}

#[derive(Clone, Copy, Debug)]
enum Trouble {
    Killed,
    PowerLost,
    Frozen,
    CutOff(Partition),
    /// Its answers to operators are lost.
    ServerResets,
    AllKilled,
}

const ALL_TROUBLES: [Trouble; 7] = [
    Trouble::Killed,
    Trouble::PowerLost,
    Trouble::Frozen,
    Trouble::CutOff(Partition::PacketsLost),
    Trouble::CutOff(Partition::Refusing),
    Trouble::ServerResets,
    Trouble::AllKilled,
];

struct OrderLoad {
    cluster: Rc<SimulatedCluster>,
    rng: RefCell<Rng>,
    /// Orders that were sent, whatever became of them.
    sent: RefCell<Vec<Order>>,
    /// Configurations by their text, to build on what was read.
    plans: RefCell<BTreeMap<String, Configuration>>,
    over: Cell<bool>,
    report: RefCell<Report>,
}

/// Plays a storm to its end and checks its history.
pub async fn play(seed: u64) -> Report {
    let mut rng = Rng::with_seed(seed ^ 0x0dde_4557);
    let cluster = SimulatedCluster::serving(ClusterSettings {
        core: if rng.u8(..4) == 0 { 5 } else { 3 },
        others: rng.usize(1..3),
        servers: 1,
        sync: Duration::from_millis([1, 2, 6, 30][rng.usize(..4)]),
        across: Duration::from_millis(rng.u64(2..12)),
        ..ClusterSettings::seeded(seed)
    })
    .await;
    let storm = Rc::new(OrderLoad {
        cluster: cluster.clone(),
        rng: RefCell::new(rng),
        sent: RefCell::default(),
        plans: RefCell::default(),
        over: Cell::new(false),
        report: RefCell::default(),
    });
    storm.remember(&initial_configuration());
    let operators: Vec<_> = (0..OPERATORS)
        .map(|n| spawn_local(storm.clone().operate(n)))
        .collect();
    for _ in 0..TROUBLES {
        storm.pause(100..1_500).await;
        storm.strike().await;
    }
    storm.over.set(true);
    for operator in operators {
        if operator.await.is_err() {
            cluster
                .monitor
                .report_violation("FAULT", "an operator did not come to its end");
        }
    }
    storm.settle().await;
    cluster.monitor.check_history();
    let mut report = storm.report.borrow().clone();
    report.calls = cluster.monitor.history.borrow().len();
    report.violations = cluster.monitor.violations();
    report.story = cluster.monitor.event_trace();
    report
}

impl OrderLoad {
    async fn pause(&self, ms: std::ops::Range<u64>) {
        let pause = Duration::from_millis(self.rng.borrow_mut().u64(ms));
        sleep(pause).await;
    }

    fn one_in(&self, many: u32) -> bool {
        self.rng.borrow_mut().u32(..many) == 0
    }

    fn any_node(&self) -> SocketAddr {
        let names = self.cluster.names();
        let index = self.rng.borrow_mut().usize(..names.len());
        self.cluster.control_of(&names[index])
    }

    fn remember(&self, configuration: &Configuration) {
        self.plans
            .borrow_mut()
            .insert(configuration.json(), configuration.clone());
    }

    /// One operator until the troubles are over.
    async fn operate(self: Rc<Self>, own: usize) {
        let mut known = initial_configuration();
        let mut round = 0;
        while !self.over.get() {
            self.pause(0..400).await;
            round += 1;
            if let Some(read) = self.read().await {
                known = read;
            }
            let order = match self.old_order() {
                Some(old) => old,
                None => self.new_order(&known, &format!("o{own}n{round}")),
            };
            if self.submit(&order).await == 200 && order.configuration.version > known.version {
                known = order.configuration.clone();
            }
        }
    }

    /// The configuration that a node reads, if it answers with one; half of the time nobody is asked.
    async fn read(&self) -> Option<Configuration> {
        if self.one_in(2) {
            return None;
        }
        let to = self.any_node();
        let reply = self.cluster.operator.get_from(to).await?;
        self.plans.borrow().get(reply.text()).cloned()
    }

    /// At times an order of anybody's is sent once more, as it was or with another body under its number.
    fn old_order(&self) -> Option<Order> {
        if !self.one_in(3) {
            return None;
        }
        let sent = self.sent.borrow();
        if sent.is_empty() {
            return None;
        }
        let old = sent[self.rng.borrow_mut().usize(..sent.len())].clone();
        drop(sent);
        if self.one_in(2) {
            return Some(old);
        }
        let mut configuration = old.configuration.clone();
        configuration.routes[0].timeout_ms += 1;
        self.remember(&configuration);
        Some(Order::new(&configuration, old.base, Encoding::Full, true))
    }

    fn new_order(&self, base: &Configuration, name: &str) -> Order {
        let step = self.rng.borrow_mut().u64(1..4);
        let configuration = base.next(step, |p| {
            p.routes.truncate(8);
            p.routes
                .push(Route::new(name, RouteKind::Idempotent, "models"));
        });
        self.remember(&configuration);
        let how = match self.one_in(2) {
            true => Encoding::Full,
            false => Encoding::Patch(base.clone()),
        };
        Order::new(&configuration, base.version, how, true)
    }

    /// Sends an order until there is a clear answer, or the operator gives up.
    async fn submit(&self, order: &Order) -> u16 {
        self.sent.borrow_mut().push(order.clone());
        let tries = self.rng.borrow_mut().u32(1..8);
        for _ in 0..tries {
            let to = self.any_node();
            let status = self.cluster.operator.send(to, order).await;
            self.count(status);
            if matches!(status, 200 | 400..=499) {
                return status;
            }
            self.pause(20..200).await;
        }
        0
    }

    fn count(&self, status: u16) {
        let mut report = self.report.borrow_mut();
        match status {
            200 => report.acknowledged += 1,
            400..=499 => report.refused += 1,
            _ => report.unclear += 1,
        }
    }

    async fn strike(&self) {
        let trouble = ALL_TROUBLES[self.rng.borrow_mut().usize(..ALL_TROUBLES.len())];
        let names = match self.one_in(4) {
            true => self.cluster.names(),
            false => self.cluster.core(),
        };
        let name = names[self.rng.borrow_mut().usize(..names.len())].clone();
        self.cluster.monitor.trace(format!("-- {trouble:?} {name}"));
        let w = &self.cluster;
        match trouble {
            Trouble::Killed => {
                w.kill(&name);
                self.pause(50..3_000).await;
                w.start(&name, false);
            }
            Trouble::PowerLost => {
                w.power_off(&name);
                self.pause(200..3_000).await;
                w.power_on(&name);
            }
            Trouble::Frozen => {
                w.freeze(&name, true);
                self.pause(200..6_000).await;
                w.freeze(&name, false);
            }
            Trouble::CutOff(cut) => {
                w.partition(&[&name], Some(cut));
                self.pause(200..6_000).await;
                w.partition(&[&name], None);
            }
            Trouble::ServerResets => {
                let (from, to) = (w.ip(&name), w.operator_ip());
                w.network.cut(from, to, Some(Partition::PacketsLost));
                self.pause(200..4_000).await;
                w.network.cut(from, to, None);
                return;
            }
            Trouble::AllKilled => {
                w.names().iter().for_each(|n| w.kill(n));
                self.pause(50..800).await;
                w.start_all(false).await;
            }
        }
        sleep(CATCH_UP).await;
    }

    /// In calm, every order is sent once more to a node that answers, and each node reads.
    async fn settle(&self) {
        let sent = self.sent.borrow().clone();
        for order in sent {
            let to = self.any_node();
            self.cluster.operator.send(to, &order).await;
        }
        for name in self.cluster.names() {
            let to = self.cluster.control_of(&name);
            let read = self.cluster.operator.get_from(to).await;
            if read.is_none_or(|r| r.status != 200) {
                self.cluster
                    .monitor
                    .report_violation("LOST", format!("{name} reads nothing in calm"));
            }
        }
    }
}
