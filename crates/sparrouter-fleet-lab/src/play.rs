//! Execution of a run: starts the fleet, sends requests while it executes the scenario's steps, shuts the fleet down and
//! audits the records.
use crate::addresses::Addresses;
use crate::client::{ClientRequest, Clients, RequestResult, check_readiness};
use crate::ledger::Ledger;
use crate::machine::{GRACE, Machine, ZONES};
use crate::model_server::{ModelServer, ServerSettings, kind_of};
use crate::operator::{Operator, extra};
use crate::page::{self, Phase};
use crate::scenario::{Action, Scenario, Step};
use crate::{LabError, audit};
use std::cell::{Cell, RefCell};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Time limit until the first configuration is active and all nodes are ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Time limit for the last requests and steps to end, and again for the processes to exit.
const END_TIMEOUT: Duration = Duration::from_secs(20);
/// Time to wait after a configuration change: slightly more than the default of `bounds.config_apply_ms`.
const CONFIG_APPLY_TIME: Duration = Duration::from_millis(2_100);
/// Time between the start, which counts as a fault, and the first request.
const STABILIZATION_TIME: Duration = Duration::from_millis(500);
/// Maximum number of seed nodes.
const MAX_SEEDS: usize = 3;

/// The result of a run.
pub struct Report {
    /// Outcomes and latencies of requests by phase, and the logs of the processes.
    pub table: String,
    /// The rule violations.
    pub violations: Vec<String>,
    /// The result of each request.
    pub results: Vec<RequestResult>,
}

struct Play {
    scenario: Scenario,
    addresses: Addresses,
    directory: PathBuf,
    ledger: Rc<Ledger>,
    machines: Vec<Rc<Machine>>,
    servers: RefCell<Vec<Rc<ModelServer>>>,
    /// Number of servers started so far.
    started: Cell<usize>,
    operator: Operator,
    clients: Clients,
    /// Latest acknowledged version of the configuration.
    version: Cell<u64>,
    /// Locked while the operator changes the configuration.
    configuration_lock: Mutex<()>,
    /// Latest acknowledged version of the model's weights.
    weights: Cell<u64>,
    /// Number of requests and steps in progress.
    in_progress: Cell<usize>,
    results: RefCell<Vec<RequestResult>>,
}

/// Runs a scenario with the fleet program `program`; `say` receives a progress line for each step. All processes have
/// exited when it returns.
///
/// # Errors
///
/// A [`LabError`] if the run could not be completed. Rule violations are not errors; the report lists them.
pub async fn play(
    scenario: Scenario,
    program: &Path,
    say: impl Fn(&str),
) -> Result<Report, LabError> {
    let directory = tempfile::Builder::new()
        .prefix("sparrouter-fleet-lab-")
        .tempdir();
    let directory = directory.map_err(|e| LabError::Write {
        subject: "a directory".into(),
        reason: e.to_string(),
    })?;
    let limit = START_TIMEOUT + scenario.length() + END_TIMEOUT * 2;
    let play = prepare(scenario, program, directory.path())?;
    let run_result = timeout(limit, play.clone().run(&say)).await;
    play.servers
        .borrow()
        .iter()
        .for_each(|server| server.stop());
    for machine in &play.machines {
        machine.kill().await;
    }
    run_result.unwrap_or_else(|_| Err(play.timed_out("the run did not end", limit)))
}

fn prepare(scenario: Scenario, program: &Path, directory: &Path) -> Result<Rc<Play>, LabError> {
    let mut rng = fastrand::Rng::with_seed(scenario.seed);
    let core = scenario.nodes.core;
    let nodes = core + scenario.nodes.plain;
    // Addresses do not depend on the scenario's seed, so that two runs of one scenario can run at the same time.
    let addresses = Addresses::find(nodes, &mut fastrand::Rng::new())?;
    let seeds = core.min(MAX_SEEDS);
    let machine =
        |n| Machine::new(n, n < core, seeds, addresses, directory, program, GRACE).map(Rc::new);
    let machines = (0..nodes).map(machine).collect::<Result<Vec<_>, _>>()?;
    let control = machines.iter().map(|m| m.control()).collect();
    let operator = Operator::new(control, START_TIMEOUT).map_err(|e| LabError::Start {
        program: "the operators' client".into(),
        reason: e.to_string(),
    })?;
    let ledger = Rc::new(Ledger::default());
    let clients = Clients {
        ledger: ledger.clone(),
        machines: machines.clone(),
        rng: RefCell::new(rng.fork()),
    };
    Ok(Rc::new(Play {
        scenario,
        addresses,
        directory: directory.to_owned(),
        ledger,
        machines,
        servers: RefCell::default(),
        started: Cell::new(0),
        operator,
        clients,
        version: Cell::new(0),
        configuration_lock: Mutex::new(()),
        weights: Cell::new(1),
        in_progress: Cell::new(0),
        results: RefCell::default(),
    }))
}

impl Play {
    async fn run(self: Rc<Self>, say: &impl Fn(&str)) -> Result<Report, LabError> {
        self.start_fleet(say).await?;
        let began = Instant::now();
        let request_task = spawn_local(self.clone().send_requests(began));
        let phases = self.play_steps(began, say).await;
        sleep_until(began + self.scenario.length()).await;
        request_task.abort();
        self.wait_until("requests or steps do not end", END_TIMEOUT, || {
            self.in_progress.get() == 0
        })
        .await?;
        self.end_fleet().await;
        Ok(self.report(&phases, began))
    }

    /// Starts nodes and servers, and sends the first configuration.
    async fn start_fleet(&self, say: &impl Fn(&str)) -> Result<(), LabError> {
        let began = Instant::now();
        for machine in &self.machines {
            machine.start()?;
            spawn_local(check_readiness(machine.clone()));
        }
        for _ in 0..self.scenario.servers.count {
            self.add_server().await?;
        }
        self.ledger.record_sent_version(1);
        if let Err(error) = self.operator.put_first(self.scenario.servers.slots).await {
            return Err(self.timed_out(&format!("no first configuration ({error})"), START_TIMEOUT));
        }
        self.ledger.record_acknowledged_version(1);
        self.version.set(1);
        self.wait_until("not every node is ready", START_TIMEOUT, || {
            self.machines.iter().all(|m| m.ready.get())
        })
        .await?;
        sleep(STABILIZATION_TIME).await;
        say(&format!(
            "up after {:.1} s: {} nodes",
            began.elapsed().as_secs_f64(),
            self.machines.len()
        ));
        Ok(())
    }

    /// Starts each step at its time and returns the phases that the steps begin.
    async fn play_steps(self: &Rc<Self>, began: Instant, say: &impl Fn(&str)) -> Vec<Phase> {
        let mut phases = vec![Phase {
            name: "calm".into(),
            at_s: -1.0,
            from: began,
        }];
        for step in self.scenario.step.clone() {
            sleep_until(began + Duration::from_secs_f64(step.at_s)).await;
            let name = format!("{:?} {}", step.action, step.which).to_lowercase();
            say(&format!("{:>5.1} s: {name}", began.elapsed().as_secs_f64()));
            match phases.last_mut().filter(|p| p.at_s == step.at_s) {
                // Steps at the same time begin one phase.
                Some(phase) => phase.name.push_str(&format!(", {name}")),
                None => phases.push(Phase {
                    name,
                    at_s: step.at_s,
                    from: Instant::now(),
                }),
            }
            spawn_local(self.clone().step(step));
        }
        phases
    }

    fn report(&self, phases: &[Phase], began: Instant) -> Report {
        let violations = audit::violations(&self.ledger, &self.machines, self.scenario.load.events);
        let objective = Duration::from_millis(self.scenario.load.objective_ms);
        let results = self.results.borrow().clone();
        let mut table = page::table(phases, &results, objective, began);
        let logs = self.logs();
        if !logs.is_empty() {
            table.push_str(&format!("\nlogs of the processes:\n{logs}"));
        }
        Report {
            table,
            violations,
            results,
        }
    }

    /// Sends requests at a constant rate, regardless of their results.
    async fn send_requests(self: Rc<Self>, from: Instant) {
        let interval = Duration::from_secs_f64(1.0 / self.scenario.load.rate_per_s);
        for n in 0u32.. {
            sleep_until(from + interval * n).await;
            let route = ["swap", "assign", "notice", "audit"][n as usize % 4];
            let request = self.request(format!("/{route}/{n}"));
            let play = self.clone();
            play.in_progress.set(play.in_progress.get() + 1);
            spawn_local(async move {
                let result = play.clients.send(&request, None).await;
                play.results.borrow_mut().push(result);
                play.in_progress.set(play.in_progress.get() - 1);
            });
        }
    }

    fn request(&self, path: String) -> ClientRequest {
        ClientRequest {
            kind: kind_of(&path),
            path,
            patience: Duration::from_millis(self.scenario.load.client_timeout_ms),
        }
    }

    async fn step(self: Rc<Self>, step: Step) {
        self.in_progress.set(self.in_progress.get() + 1);
        let which = step.which as usize;
        let downtime = Duration::from_secs_f64(step.for_s);
        match step.action {
            Action::Kill => {
                self.machines[which].kill().await;
                sleep(downtime).await;
                self.restart(which);
            }
            Action::Restart => {
                self.terminate(which).await;
                sleep(downtime).await;
                self.restart(which);
            }
            Action::Drain => {
                if let Some(server) = self.server(which) {
                    server.drain().await;
                    self.replace(which).await;
                }
            }
            Action::Crash => {
                if let Some(server) = self.server(which) {
                    server.crash();
                    sleep(downtime).await;
                    self.replace(which).await;
                }
            }
            Action::Patch => self.patch().await,
            Action::Version => self.name_version(step.which).await,
        }
        self.in_progress.set(self.in_progress.get() - 1);
    }

    fn server(&self, which: usize) -> Option<Rc<ModelServer>> {
        self.servers.borrow().get(which).cloned()
    }

    async fn terminate(&self, which: usize) {
        let machine = &self.machines[which];
        if !machine.terminate().await {
            self.ledger.record_violation(format!(
                "LOST: {} did not exit cleanly after SIGTERM",
                machine.name
            ));
        }
    }

    fn restart(&self, which: usize) {
        if let Err(error) = self.machines[which].restart() {
            self.ledger.record_violation(error.to_string());
        }
    }

    async fn name_version(&self, version: u64) {
        if let Err(error) = self.operator.name_version(version).await {
            let violation =
                format!("ACKS: weights version {version} was not acknowledged: {error}");
            return self.ledger.record_violation(violation);
        }
        self.weights.set(self.weights.get().max(version));
        let mut named = self.ledger.named.borrow_mut();
        named.push((version, Instant::now()));
    }

    /// Adds a route and removes the previous one, then sends a request for each of the two to every ready node.
    async fn patch(&self) {
        // There is one operator, so concurrent changes are serialized.
        let configuration_lock = self.configuration_lock.lock().await;
        let next = self.version.get() + 1;
        self.ledger.record_sent_version(next);
        if let Err(error) = self.operator.patch(next).await {
            let violation =
                format!("ACKS: configuration version {next} was not acknowledged: {error}");
            return self.ledger.record_violation(violation);
        }
        self.ledger.record_acknowledged_version(next);
        self.version.set(next);
        drop(configuration_lock);
        sleep(CONFIG_APPLY_TIME).await;
        for node in (0..self.machines.len()).filter(|n| self.machines[*n].ready.get()) {
            for route in [next, next - 1] {
                let request = self.request(format!("/{}/look", extra(route)));
                self.clients.send(&request, Some(node)).await;
            }
        }
    }

    async fn add_server(&self) -> Result<Rc<ModelServer>, LabError> {
        let n = self.started.get();
        self.started.set(n + 1);
        let servers = &self.scenario.servers;
        let settings = ServerSettings {
            id: format!("i-{n:04x}"),
            zone: ZONES[n % ZONES.len()].to_owned(),
            address: self.addresses.server_at(n),
            slots: servers.slots,
            work: Duration::from_millis(servers.work_ms),
            gap: Duration::from_millis(servers.gap_ms),
            load: Duration::from_millis(servers.load_ms),
            events: self.scenario.load.events,
            version: self.weights.get(),
            control: self.machines.iter().map(|m| m.control()).collect(),
        };
        let address = settings.address;
        let rng = self.clients.rng.borrow_mut().fork();
        let started = ModelServer::start(settings, self.ledger.clone(), rng).await;
        let server = started.map_err(|e| LabError::Start {
            program: format!("a server at {address}"),
            reason: e.to_string(),
        })?;
        self.servers.borrow_mut().push(server.clone());
        Ok(server)
    }

    /// Starts a new server as the replacement of a removed one.
    async fn replace(&self, which: usize) {
        match self.add_server().await {
            Ok(_) => {
                self.servers.borrow_mut().swap_remove(which);
            }
            Err(error) => self.ledger.record_violation(error.to_string()),
        }
    }

    /// Checks that the latest configuration can be read and that every process is running, then terminates all processes.
    async fn end_fleet(&self) {
        match self.operator.read_back().await {
            Ok(version) if version == self.version.get() => {}
            Ok(version) => {
                let newest = self.version.get();
                self.ledger.record_violation(format!(
                    "LOST: configuration version {newest} was acknowledged, but {version} was read"
                ));
            }
            Err(error) => self.ledger.record_violation(format!(
                "LOST: the configuration could not be read: {error}"
            )),
        }
        for machine in self.machines.iter().filter(|m| !m.is_running()) {
            self.ledger
                .record_violation(format!("{} exited unexpectedly", machine.name));
        }
        let ending: Vec<_> = self
            .machines
            .iter()
            .cloned()
            .map(|m| spawn_local(async move { m.terminate().await }))
            .collect();
        for (machine, ending) in self.machines.iter().zip(ending) {
            if !ending.await.unwrap_or(false) {
                self.ledger.record_violation(format!(
                    "{} did not exit cleanly after SIGTERM",
                    machine.name
                ));
            }
        }
    }

    async fn wait_until(
        &self,
        condition: &str,
        time_limit: Duration,
        is_done: impl Fn() -> bool,
    ) -> Result<(), LabError> {
        let deadline = Instant::now() + time_limit;
        while !is_done() {
            if Instant::now() >= deadline {
                return Err(self.timed_out(condition, time_limit));
            }
            sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    fn timed_out(&self, condition: &str, time_limit: Duration) -> LabError {
        LabError::TimedOut {
            subject: condition.to_owned(),
            seconds: time_limit.as_secs(),
            logs: format!("{}:\n{}", self.directory.display(), self.logs()),
        }
    }

    /// Returns the text that the processes wrote to standard error.
    fn logs(&self) -> String {
        let logs = self.machines.iter().map(|m| (m, m.log_text()));
        let logs = logs.filter(|(_, log)| !log.is_empty());
        logs.map(|(m, log)| format!("--- {}\n{log}", m.name))
            .collect()
    }
}
