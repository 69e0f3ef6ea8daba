//! The whole run: a fleet comes up, serves through its steps, ends; then it is judged.
use crate::client::{Came, Clients, Wish, look_after};
use crate::engine::{Engine, Terms, kind_of};
use crate::ground::Ground;
use crate::ledger::Ledger;
use crate::machine::{GRACE, Machine, ZONES};
use crate::operator::{Operator, extra};
use crate::page::{self, Phase};
use crate::scenario::{Scenario, Step, What};
use crate::{LabError, audit};
use std::cell::{Cell, RefCell};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Until the first configuration is in force everywhere, and for the last requests and processes to end.
const COMES_UP: Duration = Duration::from_secs(30);
const ENDS: Duration = Duration::from_secs(20);
/// A little more than `bounds.config_apply_ms`.
const APPLIES: Duration = Duration::from_millis(2_100);

/// What a run came to.
pub struct Report {
    pub table: String,
    /// Rules that were broken; empty is well.
    pub broken: Vec<String>,
    pub came: Vec<Came>,
}

struct Play {
    scenario: Scenario,
    ground: Ground,
    directory: PathBuf,
    ledger: Rc<Ledger>,
    machines: Vec<Rc<Machine>>,
    engines: RefCell<Vec<Rc<Engine>>>,
    /// Servers that were ever started.
    started: Cell<usize>,
    operator: Operator,
    clients: Clients,
    version: Cell<u64>,
    turn: Mutex<()>,
    weights: Cell<u64>,
}

/// Plays it with this program, and says how it goes. Everything it started has ended when it returns.
pub async fn play(
    scenario: Scenario,
    program: &Path,
    say: impl Fn(&str),
) -> Result<Report, LabError> {
    let directory = tempfile::Builder::new()
        .prefix("sparrouter-fleet-lab-")
        .tempdir();
    let directory = directory.map_err(|e| LabError::Write {
        what: "a directory".into(),
        why: e.to_string(),
    })?;
    let most = COMES_UP + scenario.length() + ENDS * 2;
    let seconds = most.as_secs();
    let play = prepare(scenario, program, directory.path())?;
    let played = timeout(most, play.clone().run(&say)).await;
    play.engines.borrow().iter().for_each(|e| e.stop());
    for machine in &play.machines {
        machine.kill().await;
    }
    let late = || LabError::Late {
        what: "the run did not end".into(),
        seconds,
        logs: play.words(),
    };
    played.unwrap_or_else(|_| Err(late()))
}

fn prepare(scenario: Scenario, program: &Path, directory: &Path) -> Result<Rc<Play>, LabError> {
    let mut rng = fastrand::Rng::with_seed(scenario.seed);
    let (core, all) = (
        scenario.nodes.core,
        scenario.nodes.core + scenario.nodes.plain,
    );
    // The ground is drawn apart from the scenario's seed, so that two runs of one scenario don't meet.
    let ground = Ground::find(all, &mut fastrand::Rng::new())?;
    let machine =
        |n| Machine::new(n, n < core, core.min(3), ground, directory, program, GRACE).map(Rc::new);
    let machines = (0..all).map(machine).collect::<Result<Vec<_>, _>>()?;
    let control = machines.iter().map(|m| m.control()).collect();
    let start = |e: sparrouter_fleet::client::ClientError| LabError::Start {
        program: "the operators' client".into(),
        why: e.to_string(),
    };
    let ledger = Rc::new(Ledger::default());
    let clients = Clients {
        ledger: ledger.clone(),
        machines: machines.clone(),
        rng: RefCell::new(rng.fork()),
    };
    Ok(Rc::new(Play {
        scenario,
        ground,
        directory: directory.to_owned(),
        ledger,
        machines,
        engines: RefCell::default(),
        started: Cell::new(0),
        operator: Operator::new(control, COMES_UP).map_err(start)?,
        clients,
        version: Cell::new(0),
        turn: Mutex::new(()),
        weights: Cell::new(1),
    }))
}

impl Play {
    async fn run(self: Rc<Self>, say: &impl Fn(&str)) -> Result<Report, LabError> {
        let began = Instant::now();
        for machine in &self.machines {
            machine.start()?;
            spawn_local(look_after(machine.clone()));
        }
        for _ in 0..self.scenario.servers.count {
            self.add_server().await?;
        }
        self.ledger.sends(1);
        if let Err(why) = self.operator.put_first(self.scenario.servers.slots).await {
            return Err(self.late(&format!("no first configuration ({why})"), COMES_UP));
        }
        self.ledger.acknowledged(1);
        self.version.set(1);
        self.until("not every node is ready", COMES_UP, || {
            self.machines.iter().all(|m| m.ready.get())
        })
        .await?;
        // A start counts as trouble; what follows is judged.
        sleep(Duration::from_millis(500)).await;
        say(&format!(
            "up after {:.1} s: {} nodes",
            began.elapsed().as_secs_f64(),
            self.machines.len()
        ));
        let opened = Instant::now();
        let came: Rc<RefCell<Vec<Came>>> = Rc::default();
        let open = Rc::new(Cell::new(0usize));
        let asking = spawn_local(self.clone().ask(came.clone(), open.clone(), opened));
        let mut phases = vec![Phase {
            name: "calm".into(),
            at_s: -1.0,
            from: opened,
        }];
        for step in self.scenario.step.clone() {
            sleep_until(opened + Duration::from_secs_f64(step.at_s)).await;
            let name = format!("{:?} {}", step.what, step.which).to_lowercase();
            say(&format!(
                "{:>5.1} s: {name}",
                audit::at(opened, Instant::now())
            ));
            match phases.last_mut().filter(|p| p.at_s == step.at_s) {
                // Steps of one moment make one phase.
                Some(phase) => phase.name.push_str(&format!(", {name}")),
                None => phases.push(Phase {
                    name,
                    at_s: step.at_s,
                    from: Instant::now(),
                }),
            }
            spawn_local(self.clone().step(step, open.clone()));
        }
        sleep_until(opened + self.scenario.length()).await;
        asking.abort();
        self.until("requests or steps do not end", ENDS, || open.get() == 0)
            .await?;
        self.finish().await;
        let broken = audit::broken(&self.ledger, &self.machines, self.scenario.load.events);
        let objective = Duration::from_millis(self.scenario.load.objective_ms);
        let came = came.borrow().clone();
        let mut table = page::table(&phases, &came, objective, opened);
        let dumps = self.dumps();
        if !dumps.is_empty() {
            table.push_str(&format!("\nthe processes' own words:\n{dumps}"));
        }
        Ok(Report {
            table,
            broken,
            came,
        })
    }

    /// Clients that ask at a steady rate, whatever becomes of it.
    async fn ask(
        self: Rc<Self>,
        came: Rc<RefCell<Vec<Came>>>,
        open: Rc<Cell<usize>>,
        from: Instant,
    ) {
        let pause = Duration::from_secs_f64(1.0 / self.scenario.load.rate_per_s);
        let patience = Duration::from_millis(self.scenario.load.client_timeout_ms);
        for n in 0u32.. {
            sleep_until(from + pause * n).await;
            let route = ["swap", "assign", "notice", "audit"][n as usize % 4];
            let path = format!("/{route}/{n}");
            let wish = Wish {
                kind: kind_of(&path),
                path,
                patience,
            };
            let (play, came, open) = (self.clone(), came.clone(), open.clone());
            open.set(open.get() + 1);
            spawn_local(async move {
                let end = play.clients.wish(&wish, None).await;
                came.borrow_mut().push(end);
                open.set(open.get() - 1);
            });
        }
    }

    async fn step(self: Rc<Self>, step: Step, open: Rc<Cell<usize>>) {
        open.set(open.get() + 1);
        let which = step.which as usize;
        let away = Duration::from_secs_f64(step.for_s);
        match step.what {
            What::Kill => {
                self.machines[which].kill().await;
                sleep(away).await;
                self.again(which);
            }
            What::Restart => {
                if !self.machines[which].end().await {
                    self.ledger.breach(format!(
                        "LOST: {} did not end by itself",
                        self.machines[which].name
                    ));
                }
                sleep(away).await;
                self.again(which);
            }
            What::Drain => {
                let engine = self.engines.borrow().get(which).cloned();
                if let Some(engine) = engine {
                    engine.drain().await;
                    self.replace(which).await;
                }
            }
            What::Crash => {
                let engine = self.engines.borrow().get(which).cloned();
                if let Some(engine) = engine {
                    engine.crash();
                    sleep(away).await;
                    self.replace(which).await;
                }
            }
            What::Patch => self.patch().await,
            What::Version => match self.operator.name_version(step.which).await {
                Ok(()) => {
                    self.weights.set(self.weights.get().max(step.which));
                    self.ledger
                        .named
                        .borrow_mut()
                        .push((step.which, Instant::now()));
                }
                Err(why) => self
                    .ledger
                    .breach(format!("ACKS: version {} is not named: {why}", step.which)),
            },
        }
        open.set(open.get() - 1);
    }

    fn again(&self, which: usize) {
        if let Err(why) = self.machines[which].restart() {
            self.ledger.breach(why.to_string());
        }
    }

    /// A route comes and one goes; then every node is asked for both.
    async fn patch(&self) {
        // One operator: what comes while a change is under way waits for it.
        let turn = self.turn.lock().await;
        let next = self.version.get() + 1;
        self.ledger.sends(next);
        if let Err(why) = self.operator.patch(next).await {
            return self
                .ledger
                .breach(format!("ACKS: version {next} is not taken: {why}"));
        }
        self.ledger.acknowledged(next);
        self.version.set(next);
        drop(turn);
        sleep(APPLIES).await;
        let patience = Duration::from_millis(self.scenario.load.client_timeout_ms);
        for n in (0..self.machines.len()).filter(|n| self.machines[*n].ready.get()) {
            for route in [next, next - 1] {
                let path = format!("/{}/look", extra(route));
                let wish = Wish {
                    kind: kind_of(&path),
                    path,
                    patience,
                };
                self.clients.wish(&wish, Some(n)).await;
            }
        }
    }

    async fn add_server(&self) -> Result<Rc<Engine>, LabError> {
        let n = self.started.get();
        self.started.set(n + 1);
        let of = &self.scenario.servers;
        let terms = Terms {
            id: format!("i-{n:04x}"),
            zone: ZONES[n % ZONES.len()].to_owned(),
            address: self.ground.server_at(n),
            slots: of.slots,
            work: Duration::from_millis(of.work_ms),
            gap: Duration::from_millis(of.gap_ms),
            load: Duration::from_millis(of.load_ms),
            events: self.scenario.load.events,
            version: self.weights.get(),
            control: self.machines.iter().map(|m| m.control()).collect(),
        };
        let address = terms.address;
        let rng = self.clients.rng.borrow_mut().fork();
        let started = Engine::start(terms, self.ledger.clone(), rng).await;
        let engine = started.map_err(|e| LabError::Start {
            program: format!("a server at {address}"),
            why: e.to_string(),
        })?;
        self.engines.borrow_mut().push(engine.clone());
        Ok(engine)
    }

    async fn replace(&self, which: usize) {
        match self.add_server().await {
            Ok(_) => {
                // The newcomer has the place of the one that left.
                self.engines.borrow_mut().swap_remove(which);
            }
            Err(why) => self.ledger.breach(why.to_string()),
        }
    }

    /// What was acknowledged is still there; every process ends when told to.
    async fn finish(&self) {
        match self.operator.read_back().await {
            Ok(version) if version == self.version.get() => {}
            Ok(version) => {
                let newest = self.version.get();
                self.ledger.breach(format!(
                    "LOST: {newest} was acknowledged, {version} is read back"
                ));
            }
            Err(why) => self
                .ledger
                .breach(format!("LOST: the configuration is not read back: {why}")),
        }
        for machine in &self.machines {
            if !machine.runs() {
                self.ledger
                    .breach(format!("{} ended by itself", machine.name));
            }
        }
        let ending: Vec<_> = self
            .machines
            .iter()
            .cloned()
            .map(|m| spawn_local(async move { m.end().await }))
            .collect();
        for (machine, ending) in self.machines.iter().zip(ending) {
            if !ending.await.unwrap_or(false) {
                self.ledger
                    .breach(format!("{} did not end well when told to", machine.name));
            }
        }
    }

    async fn until(
        &self,
        what: &str,
        patience: Duration,
        done: impl Fn() -> bool,
    ) -> Result<(), LabError> {
        let deadline = Instant::now() + patience;
        while !done() {
            if Instant::now() >= deadline {
                return Err(self.late(what, patience));
            }
            sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    fn late(&self, what: &str, patience: Duration) -> LabError {
        LabError::Late {
            what: what.to_owned(),
            seconds: patience.as_secs(),
            logs: self.words(),
        }
    }

    fn words(&self) -> String {
        format!("{}:\n{}", self.directory.display(), self.dumps())
    }

    fn dumps(&self) -> String {
        let said = self
            .machines
            .iter()
            .map(|m| (m, m.words()))
            .filter(|(_, w)| !w.is_empty());
        said.map(|(m, w)| format!("--- {}\n{w}", m.name)).collect()
    }
}
