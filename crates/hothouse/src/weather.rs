//! A day by seed: a deployment, planned work and troubles at drawn moments, a final fault, and what must hold after it.
//!
//! Within what is to be borne: one machine of the core at a time is lost, and counts as lost for a while once it is
//! back; any number of others may go, and every process may end at once, as its disk stays.
use crate::fabric::Cut;
use crate::load::{self, Tally};
use crate::operator::How;
use crate::plan::{Kind, Plan, Route};
use crate::server::Faults;
use crate::world::{Terms, World, ZONES, first_plan, store};
use fastrand::Rng;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// A machine that is back counts as lost for so long.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Troubles fall into so long a time; then comes the calm, or the final fault.
const LENGTH_MS: u64 = 16_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    ServerCrash,
    ServerLost,
    Release,
    NodeKill,
    NodePower,
    CoreKill,
    CorePower,
    CoreFreeze,
    NodeFreeze,
    HerdKill,
    RollTerm,
    ReplaceCore,
    SeedTurnover,
    AckWipe,
    DiskSlow,
    DiskFull,
    DiskStall,
    CoreCut,
    CoreCutRefusing,
    OneWayCut,
    NodeCut,
    Resets,
    ConfigChange,
    ConfigStorm,
    ConfigRace,
    BadConfig,
    Revoke,
    VersionBump,
    StoreLost,
    AnswersLost,
    Garbled,
    Broken,
    AddressReused,
    Hanging,
    ZoneCut,
    CoreSlow,
    NodeSlow,
    Press,
    DrainRace,
}

use Trouble::*;
const ALL: [Trouble; 39] = [
    ServerCrash,
    ServerLost,
    Release,
    NodeKill,
    NodePower,
    CoreKill,
    CorePower,
    CoreFreeze,
    NodeFreeze,
    HerdKill,
    RollTerm,
    ReplaceCore,
    SeedTurnover,
    AckWipe,
    DiskSlow,
    DiskFull,
    DiskStall,
    CoreCut,
    CoreCutRefusing,
    OneWayCut,
    NodeCut,
    Resets,
    ConfigChange,
    ConfigStorm,
    ConfigRace,
    BadConfig,
    Revoke,
    VersionBump,
    StoreLost,
    AnswersLost,
    Garbled,
    Broken,
    AddressReused,
    Hanging,
    ZoneCut,
    CoreSlow,
    NodeSlow,
    Press,
    DrainRace,
];

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
            ..Terms::seeded(seed)
        };
        let count = rng.usize(3..9);
        let mut troubles: Vec<(u64, Trouble)> =
            (0..count).map(|_| (rng.u64(..LENGTH_MS), ALL[rng.usize(..ALL.len())])).collect();
        troubles.sort_by_key(|t| t.0);
        let closing = match rng.u8(..6) {
            0 => Closing::PowerOffAll,
            1 => Closing::KillAll,
            2 => Closing::WipeOneOthersLosePower,
            _ => Closing::None,
        };
        Day { seed, terms, troubles, closing }
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
}

/// Plays a day to its end.
pub async fn play(day: &Day) -> Report {
    let world = World::serving(day.terms).await;
    let tally = load::begin(&world, 10, Duration::from_millis(250));
    let sky = Rc::new(Sky {
        world: world.clone(),
        core: Mutex::new(()),
        plan: Mutex::new(first_plan()),
        weights: Mutex::new(1),
        rng: RefCell::new(world.rng.borrow_mut().fork()),
        tally,
    });
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
            world.judge.breach("FAULT", "a trouble of the day did not come to its end");
        }
    }
    sky.close(day.closing).await;
    let load_counts = world.judge.load_counts();
    let twice = load_counts.iter().filter(|(_, n)| **n > 1);
    let waste = twice.map(|((id, version), n)| format!("{id} loaded {version} {n} times")).collect();
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
        self.world.names().into_iter().filter(|n| !core.contains(n) && self.world.runs(n)).collect()
    }

    fn core_running(&self) -> Vec<String> {
        self.world.core().into_iter().filter(|n| self.world.runs(n)).collect()
    }

    fn servers(&self) -> Vec<String> {
        let w = &self.world;
        w.server_ids().into_iter().filter(|id| w.server_runs(id) && !w.server(id).is_leaving()).collect()
    }

    async fn strike(self: Rc<Self>, trouble: Trouble) {
        match trouble {
            CoreKill | CorePower | CoreFreeze | ReplaceCore | AckWipe | DiskSlow | DiskFull | DiskStall
            | CoreCut | CoreCutRefusing | OneWayCut | ZoneCut | CoreSlow => self.strike_core(trouble).await,
            NodeKill | NodePower | NodeFreeze | NodeCut | Resets | NodeSlow => {
                self.strike_node(trouble).await
            }
            HerdKill => self.herd().await,
            RollTerm => self.roll().await,
            SeedTurnover => {
                let names = self.world.names();
                let seeds: Vec<_> =
                    (0..3).filter_map(|_| self.any(&names)).map(|n| self.world.control_of(&n)).collect();
                self.world.exchange_seeds(&seeds);
            }
            ConfigChange | ConfigStorm | ConfigRace | BadConfig | Revoke => self.configure(trouble).await,
            VersionBump => self.bump().await,
            Press => {
                let crowd = load::begin(&self.world, 60, Duration::from_millis(60));
                sleep(self.span(500..3_000)).await;
                crowd.stop().await;
            }
            _ => self.strike_servers(trouble).await,
        }
    }

    async fn strike_core(&self, trouble: Trouble) {
        let _lost = self.core.lock().await;
        let w = &self.world;
        let Some(name) = self.any(&self.core_running()) else { return };
        let lasting = self.span(500..5_000);
        match trouble {
            CoreKill => {
                w.kill(&name);
                sleep(lasting).await;
                w.start(&name, false);
            }
            CorePower => {
                w.power_off(&name);
                sleep(lasting).await;
                w.power_on(&name);
            }
            CoreFreeze => {
                w.freeze(&name, true);
                sleep(lasting).await;
                w.freeze(&name, false);
            }
            ReplaceCore => drop(w.replace(&name)),
            CoreSlow => {
                w.slow(&name, Duration::from_millis(40));
                sleep(lasting).await;
                w.slow(&name, Duration::ZERO);
            }
            ZoneCut => {
                let zone = w.zone_of(&name);
                w.cut_zone(zone, Some(Cut::Silent));
                sleep(lasting).await;
                w.cut_zone(zone, None);
            }
            AckWipe => {
                let mut plan = self.plan.lock().await;
                let next = self.another(&plan);
                let (status, by) = w.operator.change(&next, plan.version, How::Whole, true).await;
                if status == 200 {
                    *plan = next;
                }
                let by = by.and_then(|a| w.name_of(a.ip())).filter(|n| w.core().contains(n) && w.runs(n));
                let name = by.unwrap_or(name);
                w.power_off(&name);
                w.wipe(&name);
                sleep(lasting).await;
                w.power_on(&name);
            }
            DiskSlow | DiskStall | DiskFull => {
                w.judge.note(format!("disk trouble at {name}"));
                w.judge.trouble(Some(w.ip(&name)));
                w.judge.trouble(None);
                let shelf = w.shelf(&name);
                match trouble {
                    DiskSlow => shelf.delay.set(w.terms.sync * 16),
                    DiskStall => shelf.stalled.set(Instant::now() + lasting),
                    _ => shelf.files.set_room(Some(0)),
                }
                sleep(lasting).await;
                shelf.delay.set(w.terms.sync);
                shelf.files.set_room(None);
                w.judge.calm(Some(w.ip(&name)));
                w.judge.calm(None);
            }
            OneWayCut => {
                w.judge.note(format!("{name} is heard by nobody of the core"));
                w.judge.trouble(Some(w.ip(&name)));
                w.judge.trouble(None);
                let others: Vec<String> = w.core().into_iter().filter(|n| *n != name).collect();
                others.iter().for_each(|o| w.fabric.cut(w.ip(&name), w.ip(o), Some(Cut::Silent)));
                sleep(lasting).await;
                others.iter().for_each(|o| w.fabric.cut(w.ip(&name), w.ip(o), None));
                w.judge.calm(Some(w.ip(&name)));
                w.judge.calm(None);
                w.judge.thawed(w.ip(&name));
            }
            _ => {
                let cut = if trouble == CoreCutRefusing { Cut::Refusing } else { Cut::Silent };
                w.cut_off(&[&name], Some(cut));
                sleep(lasting).await;
                w.cut_off(&[&name], None);
            }
        }
        sleep(CATCH_UP).await;
    }

    async fn strike_node(&self, trouble: Trouble) {
        let w = &self.world;
        let Some(name) = self.any(&self.edges()) else { return };
        let lasting = self.span(300..4_000);
        match trouble {
            NodeKill => {
                w.kill(&name);
                sleep(lasting).await;
                w.start(&name, false);
            }
            NodePower => {
                w.power_off(&name);
                sleep(lasting).await;
                w.power_on(&name);
            }
            NodeFreeze => {
                w.freeze(&name, true);
                sleep(lasting).await;
                w.freeze(&name, false);
            }
            NodeSlow => {
                w.slow(&name, Duration::from_millis(40));
                sleep(lasting).await;
                w.slow(&name, Duration::ZERO);
            }
            NodeCut => {
                w.cut_off(&[&name], Some(Cut::Silent));
                sleep(lasting).await;
                w.cut_off(&[&name], None);
            }
            _ => {
                w.judge.shaken(Some(w.ip(&name)));
                w.fabric.reset(w.ip(&name));
            }
        }
    }

    async fn herd(&self) {
        let _lost = self.core.lock().await;
        let running: Vec<String> = self.world.names().into_iter().filter(|n| self.world.runs(n)).collect();
        running.iter().for_each(|n| self.world.kill(n));
        sleep(self.span(200..1_000)).await;
        for name in running {
            // Another trouble may have started it meanwhile.
            if !self.world.runs(&name) {
                self.world.start(&name, false);
            }
        }
        sleep(CATCH_UP).await;
    }

    async fn roll(&self) {
        let _lost = self.core.lock().await;
        for name in self.world.names() {
            if !self.world.runs(&name) || self.rng.borrow_mut().bool() {
                continue;
            }
            self.world.term(&name).await;
            sleep(self.span(300..1_000)).await;
            if !self.world.runs(&name) {
                self.world.start(&name, false);
            }
            sleep(CATCH_UP).await;
        }
    }

    /// The next configuration: a route added or taken away, or moved to another time-out.
    fn another(&self, plan: &Plan) -> Plan {
        let mut rng = self.rng.borrow_mut();
        let (step, name) = (rng.u64(1..4), format!("r{}", plan.version));
        let what = rng.u8(..4);
        plan.next(step, |p| match what {
            0 => p.routes[0].timeout_ms = rng.u64(5_000..9_000),
            1 if p.routes.len() > 4 => drop(p.routes.remove(4)),
            _ => p.routes.push(Route::new(&name, Kind::Idempotent, "models")),
        })
    }

    async fn configure(&self, trouble: Trouble) {
        let w = &self.world;
        let mut plan = self.plan.lock().await;
        match trouble {
            ConfigRace => {
                let (left, right) = (self.another(&plan), self.another(&plan));
                let right = Plan { version: left.version + 1, ..right };
                let (l, r) =
                    tokio::join!(w.operator.put(&left, plan.version), w.operator.put(&right, plan.version));
                match (l, r) {
                    (200, _) => *plan = left,
                    (_, 200) => *plan = right,
                    // Neither is known: what is in force has to be read.
                    _ => self.reread(&mut plan, &[left, right]).await,
                }
            }
            BadConfig => {
                let next = self.another(&plan);
                let body = next.json().replace("\"service\":\"models\"", "\"service\":\"nobody\"");
                w.operator.change(&next, plan.version, How::Body(body), false).await;
            }
            Revoke => {
                let key = format!("key-{}", self.rng.borrow_mut().u32(..));
                let next = plan.next(2, |p| p.tenants[1].keys = vec![key]);
                if w.operator.patch(&next, &plan).await == 200 {
                    *plan = next;
                }
            }
            _ => {
                for _ in 0..if trouble == ConfigStorm { 8 } else { 1 } {
                    let next = self.another(&plan);
                    let whole = self.rng.borrow_mut().bool();
                    let sent = if whole {
                        w.operator.put(&next, plan.version).await
                    } else {
                        w.operator.patch(&next, &plan).await
                    };
                    match sent {
                        200 => *plan = next,
                        // Taken after all, or not: the newest is read.
                        _ => self.reread(&mut plan, &[next]).await,
                    }
                }
            }
        }
    }

    async fn reread(&self, plan: &mut Plan, sent: &[Plan]) {
        for name in self.world.names() {
            let Some(reply) = self.world.operator.get_from(self.world.control_of(&name)).await else {
                continue;
            };
            let is = |p: &&Plan| reply.text().contains(&format!("\"version\":{},", p.version));
            if let Some(found) = sent.iter().find(is) {
                return *plan = found.clone();
            }
        }
    }

    async fn bump(&self) {
        let mut weights = self.weights.lock().await;
        *weights += 1;
        self.world.newest_weights.set(*weights);
        if !self.world.operator.name_version(*weights).await {
            self.world.judge.breach("ACKS", format!("weights {} were never acknowledged", *weights));
        }
    }

    async fn strike_servers(&self, trouble: Trouble) {
        let w = &self.world;
        let Some(id) = self.any(&self.servers()) else { return };
        let lasting = self.span(500..4_000);
        let server = w.server(&id);
        match trouble {
            ServerCrash => {
                w.crash_server(&id);
                sleep(lasting).await;
                w.restart_server(&server);
            }
            ServerLost => {
                if self.servers().len() > 2 {
                    w.crash_server(&id);
                }
            }
            AddressReused => {
                let address = w.crash_server(&id);
                sleep(Duration::from_secs(2)).await;
                w.host("others", ZONES[0], address, w.newest_weights.get());
                w.add_server("models", ZONES[1]);
            }
            Release => {
                for id in self.servers() {
                    w.add_server("models", ZONES[2]);
                    sleep(self.span(300..1_200)).await;
                    if w.server_runs(&id) {
                        w.server(&id).late_beat.set(self.rng.borrow_mut().bool());
                        w.server(&id).drain();
                    }
                    sleep(self.span(300..1_200)).await;
                }
            }
            DrainRace => {
                w.add_server("models", ZONES[0]);
                server.drain();
                let began = Instant::now();
                while server.drained_by.get().is_none() && began.elapsed() < Duration::from_secs(3) {
                    sleep(Duration::from_millis(1)).await;
                }
                // Whoever acknowledged it is gone the next moment.
                let by = server.drained_by.get().and_then(|a| w.name_of(a.ip()));
                if let Some(name) = by.filter(|n| self.edges().contains(n)) {
                    w.power_off(&name);
                    sleep(lasting).await;
                    w.power_on(&name);
                }
            }
            StoreLost => {
                if let Some(memory) = w.memories.borrow().get(&store()) {
                    memory.borrow_mut().clear();
                }
            }
            _ => {
                w.judge.note(format!("{id} answers badly"));
                let faults = match trouble {
                    AnswersLost => Faults { resets: 0.2, ..Faults::default() },
                    Garbled => Faults { garbles: 0.05, surplus: 0.3, ..Faults::default() },
                    Hanging => Faults { hangs: 0.1, ..Faults::default() },
                    _ => Faults { breaks: 0.3, ..Faults::default() },
                };
                server.faults.set(faults);
                sleep(lasting).await;
                server.faults.set(Faults::default());
            }
        }
    }

    /// The final fault, and what must hold once it is over.
    async fn close(&self, closing: Closing) {
        let w = &self.world;
        w.judge.note(format!("-- closing: {closing:?}"));
        if closing != Closing::None {
            let plan = self.plan.lock().await.clone();
            let next = self.another(&plan);
            w.operator.put(&next, plan.version).await;
            let names = w.names();
            let wiped = (closing == Closing::WipeOneOthersLosePower).then(|| self.any(&w.core())).flatten();
            for name in &names {
                if closing == Closing::KillAll { w.kill(name) } else { w.power_off(name) }
            }
            wiped.iter().for_each(|n| w.wipe(n));
            sleep(Duration::from_millis(1_300)).await;
            for name in &names {
                if closing == Closing::KillAll { w.start(name, false) } else { w.power_on(name) }
            }
            sleep(w.terms.bounds.recovery).await;
        } else {
            sleep(w.terms.bounds.contact * 2).await;
        }
        self.tally.count_anew();
        sleep(Duration::from_secs(3)).await;
        self.tally.stop().await;
        let (sent, served) = self.tally.late.get();
        // Nothing is wrong by now: more than the page asks for.
        if f64::from(served) < 0.9 * f64::from(sent) {
            w.judge.breach("RECOVER", format!("{served} of {sent} are served once all is calm"));
        }
        let out: Vec<String> = w.names().into_iter().filter(|n| !w.platform.is_in(n)).collect();
        if !out.is_empty() {
            w.judge.breach("DUTY", format!("{out:?} are not ready once all is calm"));
        }
        let newest = *self.weights.lock().await;
        let old: Vec<String> =
            self.servers().into_iter().filter(|id| w.server(id).version() < newest).collect();
        if !old.is_empty() {
            sleep(w.terms.bounds.version).await;
            let old: Vec<&String> =
                old.iter().filter(|id| w.server_runs(id) && w.server(id).version() < newest).collect();
            if !old.is_empty() {
                w.judge.breach("VERSION", format!("{old:?} never come to weights {newest}"));
            }
        }
        w.operator.read_back().await;
    }
}
