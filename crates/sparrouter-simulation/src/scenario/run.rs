//! Plays a scenario: injects its faults under load, checks that the fleet recovers, and reports what was found.

use super::{Scenario, hot_tenants};
use crate::cluster::{SimulatedCluster, ZONES, initial_configuration};
use crate::configuration::Configuration;
use crate::durability::{DurabilityMonitor, Losses};
use crate::load::{ClientLoad, Traffic};
use crate::runtime;
use crate::tenant_load::TenantLoad;
use fastrand::Rng;
use std::cell::{Cell, RefCell};
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

/// How long a core machine that is back still counts as lost.
pub(crate) const CATCH_UP: Duration = Duration::from_secs(4);
/// Clients that send requests throughout the scenario, and the mean time of each between two.
const CLIENTS: usize = 14;
const CLIENT_INTERVAL: Duration = Duration::from_millis(250);

/// The result of a scenario.
pub struct Report {
    /// Violations of rules, each beginning with the rule's name.
    pub violations: Vec<String>,
    /// Servers that loaded a version more than once, which costs more than it must but violates no rule.
    pub repeated_loads: Vec<String>,
    /// What happened, in order, with the time in seconds.
    pub trace: Vec<String>,
    /// Requests that the clients sent.
    pub sent: u32,
    /// Requests that were served.
    pub served: u32,
}

/// A scenario that is being played.
pub(crate) struct ScenarioRun {
    pub(crate) cluster: Rc<SimulatedCluster>,
    /// Locked while a core machine is lost.
    pub(crate) core_lock: Mutex<()>,
    /// The configuration; locked while it is changed.
    pub(crate) configuration: Mutex<Configuration>,
    /// The newest version of the weights; locked while it is named.
    pub(crate) weights: Mutex<u64>,
    pub(crate) rng: RefCell<Rng>,
    pub(super) load: Rc<ClientLoad>,
    /// What hot tenants send.
    pub(super) hot_loads: Vec<Rc<TenantLoad>>,
    /// No more probes are sent.
    pub(super) probes_stopped: Cell<bool>,
    pub(super) probes_in_flight: Cell<u32>,
}

/// Plays a scenario to its end.
pub async fn play(scenario: &Scenario) -> Report {
    let cluster = SimulatedCluster::serving(scenario.settings).await;
    cluster.monitor.trace.verbose.set(scenario.verbose);
    cluster.add_server("others", ZONES[0]);
    DurabilityMonitor::start(&cluster, Losses::MayExceedTolerance, CATCH_UP);
    let (configuration, hot_loads) =
        hot_tenants::start(scenario, &cluster, initial_configuration()).await;
    let load = ClientLoad::start_with(Traffic::Mixed, &cluster, CLIENTS, CLIENT_INTERVAL);
    let rng = cluster.rng.borrow_mut().fork();
    let run = Rc::new(ScenarioRun {
        cluster: cluster.clone(),
        core_lock: Mutex::new(()),
        configuration: Mutex::new(configuration),
        weights: Mutex::new(1),
        rng: RefCell::new(rng),
        load,
        hot_loads,
        probes_stopped: Cell::new(false),
        probes_in_flight: Cell::new(0),
    });
    spawn_local(run.clone().send_probes());
    if !scenario.hot_tenants.is_empty() {
        spawn_local(run.clone().change_limits(scenario.clone()));
    }
    let monitor = &cluster.monitor;
    for fault in run.begin_faults(scenario).await {
        if fault.await.is_err() {
            monitor.report_violation("FAULT", "an injected fault did not come to its end");
        }
    }
    run.recover(scenario.final_fault).await;
    for panic in runtime::take_panics() {
        monitor.report_violation("FAULT", format!("a task ended by a panic: {panic}"));
    }
    monitor.check_history();
    Report {
        violations: monitor.violations(),
        repeated_loads: repeated_loads(&cluster),
        trace: monitor.event_trace(),
        sent: run.load.sent.get(),
        served: run.load.served.get(),
    }
}

fn repeated_loads(cluster: &SimulatedCluster) -> Vec<String> {
    let counts = cluster.monitor.load_counts().into_iter();
    let repeated = counts.filter(|(_, count)| *count > 1);
    repeated
        .map(|((id, version), count)| format!("{id} loaded {version} {count} times"))
        .collect()
}

impl ScenarioRun {
    /// Begins each fault at its time; returns their tasks.
    async fn begin_faults(self: &Rc<Self>, scenario: &Scenario) -> Vec<JoinHandle<()>> {
        let started_at = Instant::now();
        let mut tasks = Vec::new();
        for scheduled in scenario.faults.iter() {
            sleep_until(started_at + scheduled.begins_after).await;
            let fault = scheduled.fault;
            self.cluster.monitor.trace(format!("-- {fault:?}"));
            let run = self.clone();
            tasks.push(spawn_local(async move { fault.inject(&run).await }));
        }
        tasks
    }

    /// A random element; draws nothing if there is none.
    pub(crate) fn any<T: Clone>(&self, elements: &[T]) -> Option<T> {
        if elements.is_empty() {
            return None;
        }
        let index = self.rng.borrow_mut().usize(..elements.len());
        Some(elements[index].clone())
    }

    /// A random duration.
    pub(crate) fn duration(&self, range_ms: Range<u64>) -> Duration {
        Duration::from_millis(self.rng.borrow_mut().u64(range_ms))
    }

    /// Waits for a random duration.
    pub(crate) async fn pause(&self, range_ms: Range<u64>) {
        sleep(self.duration(range_ms)).await;
    }

    /// Names of the running nodes outside of the core.
    pub(crate) fn running_edge(&self) -> Vec<String> {
        let core = self.cluster.core();
        let running = self.cluster.running().into_iter();
        running.filter(|name| !core.contains(name)).collect()
    }

    /// Ids of the servers that run and do not drain.
    pub(crate) fn ready_servers(&self) -> Vec<String> {
        let cluster = &self.cluster;
        let is_ready = |id: &String| cluster.server_runs(id) && !cluster.server(id).is_draining();
        cluster.server_ids().into_iter().filter(is_ready).collect()
    }
}
