//! Several operators at once over a core with faults, drawn by seed, for the check of their history.
//!
//! Each operator reads, builds orders on the configuration that it knows, sends them to any node, sends them again or gives
//! up, repeats orders that others sent long ago, and sends other bodies under their numbers. One core machine at a time is
//! killed, frozen, partitioned or without power, answers to the operators are lost, and at times all processes end.

use crate::cluster::{ClusterSettings, SimulatedCluster, initial_configuration};
use crate::configuration::{Configuration, Route, RouteKind};
use crate::network::Partition;
use crate::operator::{Encoding, Order};
use crate::scenario::CATCH_UP;
use fastrand::Rng;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Separates the random numbers of a load from those of its cluster with the same seed.
const DRAW_SEED: u64 = 0x0dde_4557;
/// Operators at once.
const OPERATORS: usize = 4;
/// Faults, one after the other.
const FAULTS: usize = 8;
/// Routes of a configuration that another one is added to, at most.
const MAX_ROUTES: usize = 8;

/// The result of a load.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Violations of rules, each beginning with the rule's name.
    pub violations: Vec<String>,
    /// What happened, in order, with the time in seconds.
    pub trace: Vec<String>,
    /// Calls in the history.
    pub calls: usize,
    /// Orders that a node acknowledged.
    pub acknowledged: u32,
    /// Orders that a node rejected.
    pub rejected: u32,
    /// Orders without a clear answer.
    pub unclear: u32,
}

#[derive(Clone, Copy, Debug)]
enum CoreFault {
    Killed,
    PowerLost,
    Frozen,
    Partitioned(Partition),
    /// Its answers to operators are lost.
    AnswersLost,
    AllKilled,
}

const CORE_FAULTS: [CoreFault; 7] = [
    CoreFault::Killed,
    CoreFault::PowerLost,
    CoreFault::Frozen,
    CoreFault::Partitioned(Partition::PacketsLost),
    CoreFault::Partitioned(Partition::Refusing),
    CoreFault::AnswersLost,
    CoreFault::AllKilled,
];

struct OrderLoad {
    cluster: Rc<SimulatedCluster>,
    rng: RefCell<Rng>,
    /// Orders that were sent, whatever became of them.
    sent: RefCell<Vec<Order>>,
    /// Configurations by their JSON, to build on what was read.
    configurations: RefCell<BTreeMap<String, Configuration>>,
    is_over: Cell<bool>,
    report: RefCell<Report>,
}

/// Plays a load to its end and checks its history.
pub async fn play(seed: u64) -> Report {
    let mut rng = Rng::with_seed(seed ^ DRAW_SEED);
    let settings = ClusterSettings {
        core_machines: if rng.u8(..4) == 0 { 5 } else { 3 },
        edge_machines: rng.usize(1..3),
        servers: 1,
        write_delay: Duration::from_millis([1, 2, 6, 30][rng.usize(..4)]),
        cross_zone_delay: Duration::from_millis(rng.u64(2..12)),
        ..ClusterSettings::with_seed(seed)
    };
    let cluster = SimulatedCluster::serving(settings).await;
    let load = Rc::new(OrderLoad {
        cluster: cluster.clone(),
        rng: RefCell::new(rng),
        sent: RefCell::default(),
        configurations: RefCell::default(),
        is_over: Cell::new(false),
        report: RefCell::default(),
    });
    load.remember(&initial_configuration());
    let operators: Vec<_> = (0..OPERATORS)
        .map(|n| spawn_local(load.clone().operate(n)))
        .collect();
    for _ in 0..FAULTS {
        load.pause(100..1_500).await;
        load.inject_fault().await;
    }
    load.is_over.set(true);
    let monitor = &cluster.monitor;
    for operator in operators {
        if operator.await.is_err() {
            monitor.report_violation("FAULT", "an operator did not come to its end");
        }
    }
    load.repeat_all().await;
    monitor.check_history();
    let mut report = load.report.borrow().clone();
    report.calls = monitor.history.borrow().len();
    report.violations = monitor.violations();
    report.trace = monitor.event_trace();
    report
}

impl OrderLoad {
    async fn pause(&self, range_ms: std::ops::Range<u64>) {
        let pause_ms = self.rng.borrow_mut().u64(range_ms);
        sleep(Duration::from_millis(pause_ms)).await;
    }

    /// True once in `n` draws on average.
    fn one_in(&self, n: u32) -> bool {
        self.rng.borrow_mut().u32(..n) == 0
    }

    fn any_node(&self) -> SocketAddr {
        let names = self.cluster.names();
        let index = self.rng.borrow_mut().usize(..names.len());
        self.cluster.control_of(&names[index])
    }

    fn remember(&self, configuration: &Configuration) {
        self.configurations
            .borrow_mut()
            .insert(configuration.json(), configuration.clone());
    }

    /// One operator until the faults are over.
    async fn operate(self: Rc<Self>, number: usize) {
        let mut known = initial_configuration();
        let mut orders = 0;
        while !self.is_over.get() {
            self.pause(0..400).await;
            orders += 1;
            if let Some(read) = self.read().await {
                known = read;
            }
            let order = match self.old_order() {
                Some(old) => old,
                None => self.new_order(&known, &format!("o{number}n{orders}")),
            };
            let status = self.submit(&order).await;
            if status == 200 && order.configuration.version > known.version {
                known = order.configuration.clone();
            }
        }
    }

    /// The configuration that a node has, if it answers with one; half of the time no node is asked.
    async fn read(&self) -> Option<Configuration> {
        if self.one_in(2) {
            return None;
        }
        let node = self.any_node();
        let reply = self.cluster.operator.get_from(node).await?;
        self.configurations.borrow().get(reply.text()).cloned()
    }

    /// At times an order of any operator, as it was or with another body under its number.
    fn old_order(&self) -> Option<Order> {
        if !self.one_in(3) {
            return None;
        }
        let old = {
            let sent = self.sent.borrow();
            if sent.is_empty() {
                return None;
            }
            sent[self.rng.borrow_mut().usize(..sent.len())].clone()
        };
        if self.one_in(2) {
            return Some(old);
        }
        let mut configuration = old.configuration.clone();
        configuration.routes[0].timeout_ms += 1;
        self.remember(&configuration);
        Some(Order::new(&configuration, old.base, Encoding::Full, true))
    }

    fn new_order(&self, base: &Configuration, route: &str) -> Order {
        let step = self.rng.borrow_mut().u64(1..4);
        let configuration = base.next(step, |next| {
            next.routes.truncate(MAX_ROUTES);
            next.routes
                .push(Route::new(route, RouteKind::Idempotent, "models"));
        });
        self.remember(&configuration);
        let encoding = if self.one_in(2) {
            Encoding::Full
        } else {
            Encoding::Patch(base.clone())
        };
        Order::new(&configuration, base.version, encoding, true)
    }

    /// Sends an order until there is a clear answer, or the operator gives up. Returns the status, 0 without one.
    async fn submit(&self, order: &Order) -> u16 {
        self.sent.borrow_mut().push(order.clone());
        let attempts = self.rng.borrow_mut().u32(1..8);
        for _ in 0..attempts {
            let node = self.any_node();
            let status = self.cluster.operator.send(node, order).await;
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
            400..=499 => report.rejected += 1,
            _ => report.unclear += 1,
        }
    }

    /// Injects a random fault at a random machine, and waits until that does not count as lost.
    async fn inject_fault(&self) {
        let fault = CORE_FAULTS[self.rng.borrow_mut().usize(..CORE_FAULTS.len())];
        let names = if self.one_in(4) {
            self.cluster.names()
        } else {
            self.cluster.core()
        };
        let name = names[self.rng.borrow_mut().usize(..names.len())].clone();
        self.cluster.monitor.trace(format!("-- {fault:?} {name}"));
        match fault {
            CoreFault::Killed => self.kill(&name).await,
            CoreFault::PowerLost => self.power_off(&name).await,
            CoreFault::Frozen => self.freeze(&name).await,
            CoreFault::Partitioned(partition) => self.partition(&name, partition).await,
            CoreFault::AllKilled => self.kill_all().await,
            // The machine itself is not lost.
            CoreFault::AnswersLost => return self.lose_answers(&name).await,
        }
        sleep(CATCH_UP).await;
    }

    async fn kill(&self, name: &str) {
        self.cluster.kill(name);
        self.pause(50..3_000).await;
        self.cluster.start(name, false);
    }

    async fn power_off(&self, name: &str) {
        self.cluster.power_off(name);
        self.pause(200..3_000).await;
        self.cluster.power_on(name);
    }

    async fn freeze(&self, name: &str) {
        self.cluster.freeze(name, true);
        self.pause(200..6_000).await;
        self.cluster.freeze(name, false);
    }

    async fn partition(&self, name: &str, partition: Partition) {
        self.cluster.partition(&[name], Some(partition));
        self.pause(200..6_000).await;
        self.cluster.partition(&[name], None);
    }

    async fn kill_all(&self) {
        for name in self.cluster.names() {
            self.cluster.kill(&name);
        }
        self.pause(50..800).await;
        self.cluster.start_all(false).await;
    }

    async fn lose_answers(&self, name: &str) {
        let network = &self.cluster.network;
        let (from, to) = (self.cluster.ip(name), self.cluster.operator_ip());
        network.partition(from, to, Some(Partition::PacketsLost));
        self.pause(200..4_000).await;
        network.partition(from, to, None);
    }

    /// Without faults, every order is sent once more to a node that answers, and each node is read.
    async fn repeat_all(&self) {
        let sent = self.sent.borrow().clone();
        for order in sent {
            let node = self.any_node();
            self.cluster.operator.send(node, &order).await;
        }
        for name in self.cluster.names() {
            let node = self.cluster.control_of(&name);
            let reply = self.cluster.operator.get_from(node).await;
            if reply.is_none_or(|reply| reply.status != 200) {
                let description = format!("{name} reads nothing without a fault");
                self.cluster.monitor.report_violation("LOST", description);
            }
        }
    }
}
