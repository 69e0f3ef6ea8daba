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
mod changes;
mod closing;
mod combined;
mod core;
mod kinds;
mod nodes;
mod probes;
mod servers;

pub use kinds::Fault;

use crate::judge::Bounds;
use crate::load::{self, Manner, Tally};
use crate::plan::Plan;
use crate::scenario;
use crate::world::{Terms, World, ZONES, first_plan};
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
pub struct Day {
    /// The seed that it was drawn from.
    pub seed: u64,
    /// The deployment.
    pub terms: Terms,
    /// When each fault begins, in ms of the day, and its kind.
    pub faults: Vec<(u64, Fault)>,
    /// The final fault.
    pub final_fault: FinalFault,
    /// Its log contains each request.
    pub verbose: bool,
}

impl Day {
    /// Draws a day. The same seed gives the same day.
    pub fn drawn(seed: u64) -> Day {
        let mut rng = Rng::with_seed(seed ^ DRAW_SEED);
        let terms = draw_terms(seed, &mut rng);
        let faults = draw_faults(&mut rng);
        let final_fault = match rng.u8(..6) {
            0 => FinalFault::PowerOffAll,
            1 => FinalFault::KillAll,
            2 => FinalFault::WipeOneOthersLosePower,
            _ => FinalFault::None,
        };
        Day {
            seed,
            terms,
            faults,
            final_fault,
            verbose: false,
        }
    }

    /// The same day with only those faults whose places are given, and the final fault only if asked for.
    pub fn only(mut self, places: &[usize], final_fault: bool) -> Day {
        self.faults = places
            .iter()
            .filter_map(|place| self.faults.get(*place).copied())
            .collect();
        if !final_fault {
            self.final_fault = FinalFault::None;
        }
        self
    }

    /// A smaller day for which `still_holds` is true, as the arguments of [`Day::only`]. Every fault is left out that can be,
    /// one after the other, the last first.
    pub fn shrunk(&self, still_holds: impl Fn(&Day) -> bool) -> (Vec<usize>, bool) {
        let mut kept: Vec<usize> = (0..self.faults.len()).collect();
        let final_fault = !still_holds(&self.clone().only(&kept, false));
        for place in (0..self.faults.len()).rev() {
            let fewer: Vec<usize> = kept.iter().copied().filter(|p| *p != place).collect();
            if still_holds(&self.clone().only(&fewer, final_fault)) {
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
        let Terms {
            core,
            others,
            servers,
            ..
        } = self.terms;
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

fn draw_terms(seed: u64, rng: &mut Rng) -> Terms {
    let terms = Terms {
        core: if rng.u8(..5) == 0 { 5 } else { 3 },
        others: rng.usize(1..6),
        servers: rng.usize(3..7),
        slots: rng.u32(3..17),
        sync: Duration::from_millis([1, 2, 6, 30][rng.usize(..4)]),
        across: Duration::from_millis(rng.u64(2..5)),
        load: Duration::from_millis([600, 1_500][rng.usize(..2)]),
        ..Terms::seeded(seed)
    };
    let bounds = Bounds {
        fencing: rng.bool(),
        budget_slack: if rng.bool() { 8.0 } else { 64.0 },
        ..terms.bounds
    };
    Terms { bounds, ..terms }
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
    pub breaches: Vec<String>,
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
struct DayRun {
    world: Rc<World>,
    /// Held while a core machine is lost.
    core: Mutex<()>,
    /// The configuration; held while it is changed.
    plan: Mutex<Plan>,
    /// The newest version of the weights; held while it is named.
    weights: Mutex<u64>,
    rng: RefCell<Rng>,
    tally: Rc<Tally>,
    /// No more probes are sent.
    probing_ended: Cell<bool>,
    /// Probes under way.
    open_probes: Cell<u32>,
}

/// Plays a day to its end.
pub async fn play(day: &Day) -> Report {
    let world = World::serving(day.terms).await;
    world.judge.verbose.set(day.verbose);
    world.add_server("others", ZONES[0]);
    let tally = load::begin_as(Manner::Mixed, &world, CLIENTS, CLIENT_PAUSE);
    let run = Rc::new(DayRun {
        world: world.clone(),
        core: Mutex::new(()),
        plan: Mutex::new(first_plan()),
        weights: Mutex::new(1),
        rng: RefCell::new(world.rng.borrow_mut().fork()),
        tally,
        probing_ended: Cell::new(false),
        open_probes: Cell::new(0),
    });
    spawn_local(run.clone().probe());
    for fault in run.begin_faults(day).await {
        if fault.await.is_err() {
            world
                .judge
                .breach("FAULT", "a trouble of the day did not come to its end");
        }
    }
    run.close(day.final_fault).await;
    for panic in scenario::panics() {
        world
            .judge
            .breach("FAULT", format!("a task ended by a panic: {panic}"));
    }
    world.judge.check_history();
    Report {
        breaches: world.judge.breaches(),
        waste: repeated_loads(&world),
        log: world.judge.event_log(),
        sent: run.tally.sent.get(),
        served: run.tally.served.get(),
    }
}

/// Servers that loaded a version more than once.
fn repeated_loads(world: &World) -> Vec<String> {
    let load_counts = world.judge.load_counts();
    let repeated = load_counts.iter().filter(|(_, count)| **count > 1);
    repeated
        .map(|((id, version), count)| format!("{id} loaded {version} {count} times"))
        .collect()
}

impl DayRun {
    /// Begins each fault at its time; gives their tasks.
    async fn begin_faults(self: &Rc<Self>, day: &Day) -> Vec<JoinHandle<()>> {
        let began = Instant::now();
        let mut tasks = Vec::new();
        for (at, fault) in &day.faults {
            tokio::time::sleep_until(began + Duration::from_millis(*at)).await;
            self.world.judge.note(format!("-- {fault:?}"));
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
        let core = self.world.core();
        self.world
            .names()
            .into_iter()
            .filter(|n| !core.contains(n) && self.world.runs(n))
            .collect()
    }

    /// Names of the running nodes of the core.
    fn core_running(&self) -> Vec<String> {
        self.world
            .core()
            .into_iter()
            .filter(|n| self.world.runs(n))
            .collect()
    }

    /// Ids of the servers that run and do not drain.
    fn servers(&self) -> Vec<String> {
        let world = &self.world;
        world
            .server_ids()
            .into_iter()
            .filter(|id| world.server_runs(id) && !world.server(id).is_leaving())
            .collect()
    }

    /// Makes a fault happen, to its end.
    async fn inject(self: Rc<Self>, fault: Fault) {
        match fault {
            RaceCut | WipeBehindCut | CoreTurnover | CoreSplit | HolderFreeze | BudgetPress => {
                self.inject_combined(fault).await
            }
            CoreKill | CorePower | CoreFreeze | ReplaceCore | AckWipe | DiskSlow | DiskFull
            | DiskStall | CoreCut | CoreCutRefusing | OneWayCut | ZoneCut | CoreSlow => {
                self.inject_core(fault).await
            }
            NodeKill | NodePower | NodeFreeze | NodeCut | Resets | NodeSlow => {
                self.inject_node(fault).await
            }
            HerdKill => self.restart_all().await,
            RollTerm => self.roll().await,
            SeedTurnover => self.exchange_seeds(),
            ConfigChange | ConfigStorm | ConfigRace | ConfigAgain | BadConfig | Revoke => {
                self.configure(fault).await
            }
            VersionBump => self.name_next_version().await,
            Press => {
                let crowd = load::begin(&self.world, 60, Duration::from_millis(60));
                sleep(self.span(500..3_000)).await;
                crowd.stop().await;
            }
            _ => self.inject_servers(fault).await,
        }
    }

    fn exchange_seeds(&self) {
        let names = self.world.names();
        let seeds: Vec<_> = (0..3)
            .filter_map(|_| self.any(&names))
            .map(|n| self.world.control_of(&n))
            .collect();
        self.world.exchange_seeds(&seeds);
    }
}
