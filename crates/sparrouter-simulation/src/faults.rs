//! A day by seed: a deployment, planned work and troubles at drawn moments, a final fault, and what must hold after it.
//!
//! Within what is to be borne: one machine of the core at a time is lost, and counts as lost for a while once it is
//! back; any number of others may go, and every process may end at once, as its disk stays.
mod changes;
mod closing;
mod combined;
mod core;
mod nodes;
mod probes;
mod servers;
mod trouble;

pub use trouble::Trouble;

use crate::judge::Bounds;
use crate::load::{self, Manner, Tally};
use crate::plan::Plan;
use crate::scenario;
use crate::world::{Terms, World, ZONES, first_plan};
use fastrand::Rng;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};
use trouble::{ALL, THEMES, Trouble::*};

/// A machine that is back counts as lost for so long.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Troubles fall into so long a time; then comes the calm, or the final fault.
const LENGTH_MS: u64 = 16_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closing {
    None,
    PowerOffAll,
    KillAll,
    WipeOneOthersLosePower,
}

#[derive(Clone, Debug)]
pub struct Day {
    pub seed: u64,
    pub terms: Terms,
    /// When, in ms of the day, and what.
    pub troubles: Vec<(u64, Trouble)>,
    pub closing: Closing,
    /// Its story tells each request.
    pub verbose: bool,
}

impl Day {
    pub fn drawn(seed: u64) -> Day {
        let mut rng = Rng::with_seed(seed ^ 0xda75);
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
        let terms = Terms { bounds, ..terms };
        // Half of the days of all there is, half of what belongs together, close to each other.
        let theme = if rng.bool() {
            &ALL[..]
        } else {
            THEMES[rng.usize(..THEMES.len())]
        };
        let mut troubles: Vec<(u64, Trouble)> = Vec::new();
        let mut at = 0;
        for _ in 0..rng.usize(3..9) {
            at = if rng.u8(..3) == 0 {
                at + rng.u64(..400)
            } else {
                rng.u64(..LENGTH_MS)
            };
            troubles.push((at, theme[rng.usize(..theme.len())]));
        }
        troubles.sort_by_key(|t| t.0);
        let closing = match rng.u8(..6) {
            0 => Closing::PowerOffAll,
            1 => Closing::KillAll,
            2 => Closing::WipeOneOthersLosePower,
            _ => Closing::None,
        };
        Day {
            seed,
            terms,
            troubles,
            closing,
            verbose: false,
        }
    }
}

impl Day {
    /// The same day with these of its troubles alone, and no final fault unless it is asked for.
    pub fn only(mut self, places: &[usize], closing: bool) -> Day {
        self.troubles = places
            .iter()
            .filter_map(|p| self.troubles.get(*p).copied())
            .collect();
        if !closing {
            self.closing = Closing::None;
        }
        self
    }

    /// The places of the troubles, and whether the final fault, that it takes for `still` to hold: whatever can be
    /// left out alone is left out, the last first.
    pub fn shrunk(&self, still: impl Fn(&Day) -> bool) -> (Vec<usize>, bool) {
        let mut kept: Vec<usize> = (0..self.troubles.len()).collect();
        let closing = !still(&self.clone().only(&kept, false));
        for place in (0..self.troubles.len()).rev() {
            let fewer: Vec<usize> = kept.iter().copied().filter(|p| *p != place).collect();
            if still(&self.clone().only(&fewer, closing)) {
                kept = fewer;
            }
        }
        (kept, closing)
    }

    /// What is needed of a day, as a story begins.
    pub fn run_judged(&self) -> String {
        let when: Vec<String> = self
            .troubles
            .iter()
            .map(|(at, t)| format!("{t:?} after {:.1} s", *at as f64 / 1e3))
            .collect();
        let Terms {
            core,
            others,
            servers,
            ..
        } = self.terms;
        let closing = if self.closing == Closing::None {
            String::new()
        } else {
            format!(" and {:?}", self.closing)
        };
        format!(
            "given {core} core machines, {others} others, {servers} servers, when {}{closing}",
            when.join(", ")
        )
    }
}

pub struct Report {
    pub breaches: Vec<String>,
    /// What is dear but no rule.
    pub waste: Vec<String>,
    pub story: Vec<String>,
    pub sent: u32,
    pub served: u32,
}

struct Sky {
    world: Rc<World>,
    /// Held while a machine of the core is lost.
    core: Mutex<()>,
    /// Held by whoever changes the configuration, and what it is now.
    plan: Mutex<Plan>,
    weights: Mutex<u64>,
    rng: RefCell<Rng>,
    tally: Rc<Tally>,
    /// No direct questions any more; and how many are under way.
    over: Cell<bool>,
    asking: Cell<u32>,
}

/// Plays a day to its end.
pub async fn play(day: &Day) -> Report {
    let world = World::serving(day.terms).await;
    world.judge.verbose.set(day.verbose);
    world.add_server("others", ZONES[0]);
    let tally = load::begin_as(Manner::Mixed, &world, 14, Duration::from_millis(250));
    let sky = Rc::new(Sky {
        world: world.clone(),
        core: Mutex::new(()),
        plan: Mutex::new(first_plan()),
        weights: Mutex::new(1),
        rng: RefCell::new(world.rng.borrow_mut().fork()),
        tally,
        over: Cell::new(false),
        asking: Cell::new(0),
    });
    spawn_local(sky.clone().probe());
    let began = Instant::now();
    let mut under_way = Vec::new();
    for (at, trouble) in &day.troubles {
        tokio::time::sleep_until(began + Duration::from_millis(*at)).await;
        world.judge.note(format!("-- {trouble:?}"));
        let (sky, trouble) = (sky.clone(), *trouble);
        under_way.push(spawn_local(async move { sky.strike(trouble).await }));
    }
    for trouble in under_way {
        if trouble.await.is_err() {
            world
                .judge
                .breach("FAULT", "a trouble of the day did not come to its end");
        }
    }
    sky.close(day.closing).await;
    for panic in scenario::panics() {
        world
            .judge
            .breach("FAULT", format!("a task ended by a panic: {panic}"));
    }
    world.judge.check_history();
    let load_counts = world.judge.load_counts();
    let twice = load_counts.iter().filter(|(_, n)| **n > 1);
    let waste = twice
        .map(|((id, version), n)| format!("{id} loaded {version} {n} times"))
        .collect();
    Report {
        breaches: world.judge.breaches(),
        waste,
        story: world.judge.story(),
        sent: sky.tally.sent.get(),
        served: sky.tally.served.get(),
    }
}

impl Sky {
    fn any<T: Clone>(&self, of: &[T]) -> Option<T> {
        (!of.is_empty()).then(|| of[self.rng.borrow_mut().usize(..of.len())].clone())
    }

    fn span(&self, ms: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.borrow_mut().u64(ms))
    }

    fn edges(&self) -> Vec<String> {
        let core = self.world.core();
        self.world
            .names()
            .into_iter()
            .filter(|n| !core.contains(n) && self.world.runs(n))
            .collect()
    }

    fn core_running(&self) -> Vec<String> {
        self.world
            .core()
            .into_iter()
            .filter(|n| self.world.runs(n))
            .collect()
    }

    fn servers(&self) -> Vec<String> {
        let w = &self.world;
        w.server_ids()
            .into_iter()
            .filter(|id| w.server_runs(id) && !w.server(id).is_leaving())
            .collect()
    }

    async fn strike(self: Rc<Self>, trouble: Trouble) {
        match trouble {
            RaceCut | WipeBehindCut | CoreTurnover | CoreSplit | HolderFreeze | BudgetPress => {
                self.strike_combined(trouble).await
            }
            CoreKill | CorePower | CoreFreeze | ReplaceCore | AckWipe | DiskSlow | DiskFull
            | DiskStall | CoreCut | CoreCutRefusing | OneWayCut | ZoneCut | CoreSlow => {
                self.strike_core(trouble).await
            }
            NodeKill | NodePower | NodeFreeze | NodeCut | Resets | NodeSlow => {
                self.strike_node(trouble).await
            }
            HerdKill => self.herd().await,
            RollTerm => self.roll().await,
            SeedTurnover => {
                let names = self.world.names();
                let seeds: Vec<_> = (0..3)
                    .filter_map(|_| self.any(&names))
                    .map(|n| self.world.control_of(&n))
                    .collect();
                self.world.exchange_seeds(&seeds);
            }
            ConfigChange | ConfigStorm | ConfigRace | ConfigAgain | BadConfig | Revoke => {
                self.configure(trouble).await
            }
            VersionBump => self.bump().await,
            Press => {
                let crowd = load::begin(&self.world, 60, Duration::from_millis(60));
                sleep(self.span(500..3_000)).await;
                crowd.stop().await;
            }
            _ => self.strike_servers(trouble).await,
        }
    }
}
