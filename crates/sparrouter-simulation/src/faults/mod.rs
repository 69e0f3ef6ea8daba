//! A simulated day by seed: a deployment, faults and planned work at random moments, a final fault, and what must hold after
//! it.
//!
//! The faults stay within what the fleet must tolerate: at most one core machine is lost at a time, and counts as lost for
//! a while after its return. Any number of other machines may be lost, and all processes may end at once, since their disks
//! are kept.
//!
//! | module | its one job |
//! | --- | --- |
//! | `kinds` | the kinds of faults |
//! | `core`, `nodes`, `servers` | faults of core machines, of other nodes, of servers and stores |
//! | `changes` | configurations and new weights |
//! | `combined` | sequences of several faults |
//! | `probes` | requests that show which configuration a node goes by |
//! | `closing` | the final fault, and the checks after it |
mod combined;
mod configuration;
mod core;
mod kinds;
mod nodes;
mod probes;
mod recovery;
mod servers;

pub use kinds::Fault;

use crate::checkers::Bounds;
use crate::cluster::{ClusterSettings, SimulatedCluster, ZONES, initial_configuration};
use crate::configuration::Configuration;
use crate::load::{ClientLoad, Traffic};
use crate::runtime;
use fastrand::Rng;
use kinds::{ALL, Fault::*, THEMES};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep};

/// How long a core machine that is back still counts as lost.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Faults begin within so many ms; then comes the final fault, or a calm time.
const LENGTH_MS: u64 = 16_000;
/// Separates the random numbers that draw a day from those of the world with the same seed.
const DRAW_SEED: u64 = 0xda75;
/// Clients that send requests throughout the day, and the pause of each between two.
const CLIENTS: usize = 14;
const CLIENT_PAUSE: Duration = Duration::from_millis(250);

/// What happens to the whole fleet at the end of the faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalFault {
    /// Nothing.
    None,
    /// All machines lose power.
    PowerOffAll,
    /// All processes are killed.
    KillAll,
    /// A core machine loses its disk, and all machines lose power.
    WipeOneOthersLosePower,
}

/// The plan of a simulated day.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The seed that it was drawn from.
    pub seed: u64,
    /// The deployment.
    pub settings: ClusterSettings,
    /// When each fault begins, in ms of the day, and its kind.
    pub faults: Vec<(u64, Fault)>,
    /// The final fault.
    pub final_fault: FinalFault,
    /// Its log contains each request.
    pub verbose: bool,
}

impl Scenario {
    /// Draws a day. The same seed gives the same day.
    pub fn from_seed(seed: u64) -> Scenario {
        let mut rng = Rng::with_seed(seed ^ DRAW_SEED);
        let settings = draw_terms(seed, &mut rng);
        let faults = draw_faults(&mut rng);
        let final_fault = match rng.u8(..6) {
            0 => FinalFault::PowerOffAll,
            1 => FinalFault::KillAll,
            2 => FinalFault::WipeOneOthersLosePower,
            _ => FinalFault::None,
        };
        Scenario {
            seed,
            settings,
            faults,
            final_fault,
            verbose: false,
        }
    }

    /// The same day with only those faults whose places are given, and the final fault only if asked for.
    pub fn restricted_to(mut self, indices: &[usize], final_fault: bool) -> Scenario {
        self.faults = indices
            .iter()
            .filter_map(|index| self.faults.get(*index).copied())
            .collect();
        if !final_fault {
            self.final_fault = FinalFault::None;
        }
        self
    }

    /// A smaller day for which `still_holds` is true, as the arguments of [`Scenario::only`]. Every fault is left out that can be,
    /// one after the other, the last first.
    pub fn shrink(&self, still_holds: impl Fn(&Scenario) -> bool) -> (Vec<usize>, bool) {
        let mut kept: Vec<usize> = (0..self.faults.len()).collect();
        let final_fault = !still_holds(&self.clone().restricted_to(&kept, false));
        for index in (0..self.faults.len()).rev() {
            let fewer: Vec<usize> = kept.iter().copied().filter(|p| *p != index).collect();
            if still_holds(&self.clone().restricted_to(&fewer, final_fault)) {
                kept = fewer;
            }
        }
        (kept, final_fault)
    }

    /// The deployment and the faults in one sentence.
    pub fn description(&self) -> String {
        let faults: Vec<String> = self
            .faults
            .iter()
            .map(|(at, fault)| format!("{fault:?} after {:.1} s", *at as f64 / 1e3))
            .collect();
        let ClusterSettings {
            core,
            others,
            servers,
            ..
        } = self.settings;
        let final_fault = if self.final_fault == FinalFault::None {
            String::new()
        } else {
            format!(" and {:?}", self.final_fault)
        };
        format!(
            "given {core} core machines, {others} others, {servers} servers, when {}{final_fault}",
            faults.join(", ")
        )
    }
}

fn draw_terms(seed: u64, rng: &mut Rng) -> ClusterSettings {
    let settings = ClusterSettings {
        core: if rng.u8(..5) == 0 { 5 } else { 3 },
        others: rng.usize(1..6),
        servers: rng.usize(3..7),
        slots: rng.u32(3..17),
        sync: Duration::from_millis([1, 2, 6, 30][rng.usize(..4)]),
        across: Duration::from_millis(rng.u64(2..5)),
        load: Duration::from_millis([600, 1_500][rng.usize(..2)]),
        ..ClusterSettings::seeded(seed)
    };
    let bounds = Bounds {
        fencing: rng.bool(),
        budget_slack: if rng.bool() { 8.0 } else { 64.0 },
        ..settings.bounds
    };
    ClusterSettings { bounds, ..settings }
}

/// Half of the days draw from all kinds, the others from one theme. A third of the faults follow closely on another one.
fn draw_faults(rng: &mut Rng) -> Vec<(u64, Fault)> {
    let kinds = if rng.bool() {
        ALL
    } else {
        THEMES[rng.usize(..THEMES.len())]
    };
    let mut faults: Vec<(u64, Fault)> = Vec::new();
    let mut at = 0;
    for _ in 0..rng.usize(3..9) {
        at = if rng.u8(..3) == 0 {
            at + rng.u64(..400)
        } else {
            rng.u64(..LENGTH_MS)
        };
        faults.push((at, kinds[rng.usize(..kinds.len())]));
    }
    faults.sort_by_key(|fault| fault.0);
    faults
}

/// The result of a day.
pub struct Report {
    /// Violations of rules, each beginning with the rule's name.
    pub violations: Vec<String>,
    /// What costs more than it must, but violates no rule.
    pub waste: Vec<String>,
    /// What happened, in order, with the time in seconds.
    pub log: Vec<String>,
    /// Requests that the clients sent.
    pub sent: u32,
    /// Requests that were served.
    pub served: u32,
}

/// A day that is being played.
struct ScenarioRun {
    cluster: Rc<SimulatedCluster>,
    /// Held while a core machine is lost.
    core: Mutex<()>,
    /// The configuration; held while it is changed.
    configuration: Mutex<Configuration>,
    /// The newest version of the weights; held while it is named.
    weights: Mutex<u64>,
    rng: RefCell<Rng>,
    load: Rc<ClientLoad>,
    /// No more probes are sent.
    probing_ended: Cell<bool>,
    /// Probes under way.
    open_probes: Cell<u32>,
}

/// Plays a day to its end.
pub async fn play(day: &Scenario) -> Report {
    let cluster = SimulatedCluster::serving(day.settings).await;
    cluster.monitor.verbose.set(day.verbose);
    cluster.add_server("others", ZONES[0]);
    let load = ClientLoad::start_with(Traffic::Mixed, &cluster, CLIENTS, CLIENT_PAUSE);
    let run = Rc::new(ScenarioRun {
        cluster: cluster.clone(),
        core: Mutex::new(()),
        configuration: Mutex::new(initial_configuration()),
        weights: Mutex::new(1),
        rng: RefCell::new(cluster.rng.borrow_mut().fork()),
        load,
        probing_ended: Cell::new(false),
        open_probes: Cell::new(0),
    });
    spawn_local(run.clone().probe());
    for fault in run.begin_faults(day).await {
        if fault.await.is_err() {
            cluster
                .monitor
                .report_violation("FAULT", "a trouble of the day did not come to its end");
        }
    }
    run.close(day.final_fault).await;
    for panic in runtime::panics() {
        cluster
            .monitor
            .report_violation("FAULT", format!("a task ended by a panic: {panic}"));
    }
    cluster.monitor.check_history();
    Report {
        violations: cluster.monitor.violations(),
        waste: repeated_loads(&cluster),
        log: cluster.monitor.event_trace(),
        sent: run.load.sent.get(),
        served: run.load.served.get(),
    }
}

/// Servers that loaded a version more than once.
fn repeated_loads(cluster: &SimulatedCluster) -> Vec<String> {
    let load_counts = cluster.monitor.load_counts();
    let repeated = load_counts.iter().filter(|(_, count)| **count > 1);
    repeated
        .map(|((id, version), count)| format!("{id} loaded {version} {count} times"))
        .collect()
}

impl ScenarioRun {
    /// Begins each fault at its time; gives their tasks.
    async fn begin_faults(self: &Rc<Self>, day: &Scenario) -> Vec<JoinHandle<()>> {
        let began = Instant::now();
        let mut tasks = Vec::new();
        for (at, fault) in &day.faults {
            tokio::time::sleep_until(began + Duration::from_millis(*at)).await;
            self.cluster.monitor.trace(format!("-- {fault:?}"));
            tasks.push(spawn_local(self.clone().inject(*fault)));
        }
        tasks
    }

    /// A random element.
    fn any<T: Clone>(&self, of: &[T]) -> Option<T> {
        (!of.is_empty()).then(|| of[self.rng.borrow_mut().usize(..of.len())].clone())
    }

    /// A random duration.
    fn span(&self, ms: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.borrow_mut().u64(ms))
    }

    /// Names of the running nodes outside of the core.
    fn edges(&self) -> Vec<String> {
        let core = self.cluster.core();
        self.cluster
            .names()
            .into_iter()
            .filter(|n| !core.contains(n) && self.cluster.runs(n))
            .collect()
    }

    /// Names of the running nodes of the core.
    fn core_running(&self) -> Vec<String> {
        self.cluster
            .core()
            .into_iter()
            .filter(|n| self.cluster.runs(n))
            .collect()
    }

    /// Ids of the servers that run and do not drain.
    fn servers(&self) -> Vec<String> {
        let cluster = &self.cluster;
        cluster
            .server_ids()
            .into_iter()
            .filter(|id| cluster.server_runs(id) && !cluster.server(id).is_draining())
            .collect()
    }

    /// Makes a fault happen, to its end.
    async fn inject(self: Rc<Self>, fault: Fault) {
        match fault {
            RacePartition | WipeBehindPartition | CoreTurnover | CoreSplit | LeaseOwnerFreeze
            | RetryBudgetPressure => self.inject_combined(fault).await,
            CoreKill
            | CorePower
            | CoreFreeze
            | ReplaceCore
            | WipeAcknowledgingMachine
            | DiskSlow
            | DiskFull
            | DiskStall
            | CorePartition
            | CoreConnectionsRefused
            | OneWayPartition
            | ZonePartition
            | CoreSlow => self.inject_core(fault).await,
            NodeKill | NodePower | NodeFreeze | NodePartition | ConnectionResets | NodeSlow => {
                self.inject_node(fault).await
            }
            KillAllNodes => self.restart_all().await,
            RollingRestart => self.roll().await,
            SeedChange => self.exchange_seeds(),
            ConfigurationChange
            | ConfigurationBurst
            | ConfigurationRace
            | ConfigurationRepeated
            | InvalidConfiguration
            | KeyReplaced => self.configure(fault).await,
            NewWeights => self.name_next_version().await,
            Overload => {
                let crowd = ClientLoad::start(&self.cluster, 60, Duration::from_millis(60));
                sleep(self.span(500..3_000)).await;
                crowd.stop().await;
            }
            _ => self.inject_servers(fault).await,
        }
    }

    fn exchange_seeds(&self) {
        let names = self.cluster.names();
        let seeds: Vec<_> = (0..3)
            .filter_map(|_| self.any(&names))
            .map(|n| self.cluster.control_of(&n))
            .collect();
        self.cluster.exchange_seeds(&seeds);
    }
}
