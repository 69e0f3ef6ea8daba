//! Processes on machines: started, ended, frozen, slowed.

use super::SimulatedCluster;
use crate::monitor::FaultScope;
use crate::network::interface::NetworkInterface;
use crate::process::SimulatedProcess;
use fastrand::Rng;
use sparrouter_fleet::control::disk::DiskContents;
use sparrouter_fleet::process::log_buffer::LogBuffer;
use sparrouter_fleet::process::run::{ProcessSignal, Role, serve};
use sparrouter_fleet::process::settings::ProcessSettings;
use std::net::IpAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::unbounded_channel;
use tokio::time::{Instant, sleep};

/// All processes are started within so many ms.
const START_SPREAD_MS: u64 = 300;
/// How long nodes may take until they are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const READY_POLL: Duration = Duration::from_millis(100);
/// How often an ending process is looked at.
const END_POLL: Duration = Duration::from_millis(50);

impl SimulatedCluster {
    /// Starts a process on a machine that has power. `first_start`: the fleet starts for the first time.
    ///
    /// # Panics
    ///
    /// If the process rejects its settings.
    pub fn start(&self, name: &str, first_start: bool) {
        let text = self.settings_text(name, first_start);
        let mut settings =
            ProcessSettings::parse(Path::new("simulation"), &text).expect("valid settings");
        settings.listen.metrics = Some(self.metrics_of(name));
        let mut rng = self.rng.borrow_mut().fork();
        let network = Rc::new(NetworkInterface::new(self.network.clone(), self.ip(name)));
        let (sender, signals) = unbounded_channel();
        let mut machines = self.machines.borrow_mut();
        let Some(machine) = machines.get_mut(name) else {
            return;
        };
        let (ip, is_core) = (machine.ip, machine.is_core);
        let (log_buffer, disk) = (machine.log_buffer.clone(), machine.disk.clone());
        let (monitor, label) = (self.monitor.clone(), name.to_owned());
        let process = SimulatedProcess::start(async move {
            let open =
                async move |_: Option<&Path>, log_buffer: &LogBuffer, rng: &mut Rng| match &disk {
                    Some(disk) => disk.open(log_buffer, rng).await,
                    None => Ok(DiskContents::empty(rng)),
                };
            let rng = rng.fork();
            let served = serve(
                Role::Proxy,
                settings,
                open,
                log_buffer,
                network,
                rng,
                signals,
            );
            if let Err(error) = served.await {
                monitor
                    .report_violation("FAULT", format!("{label} at {ip} did not start: {error}"));
            }
        });
        process.limit(self.settings.processor_polls);
        machine.process = Some(process);
        machine.signals = Some(sender);
        machine.started_at = Some(Instant::now());
        let was_started = std::mem::replace(&mut machine.was_started, true);
        drop(machines);
        if was_started {
            self.load_balancer.restarted(name);
        }
        self.monitor.trace(format!("{name} starts"));
        self.report_momentary_fault(ip, is_core);
        self.monitor.process_started(ip);
    }

    /// Starts all processes within 0.3 s, in random order.
    pub async fn start_all(&self, first_start: bool) {
        let mut names = self.names();
        self.rng.borrow_mut().shuffle(&mut names);
        for name in names {
            self.start(&name, first_start);
            let max_pause_ms = START_SPREAD_MS / self.machines.borrow().len() as u64;
            let pause_ms = self.rng.borrow_mut().u64(0..max_pause_ms);
            sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    /// Whether the process of a machine runs.
    pub fn runs(&self, name: &str) -> bool {
        let machines = self.machines.borrow();
        let process = machines[name].process.as_ref();
        process.is_some_and(|process| !process.has_ended())
    }

    /// When the process of a machine started; `None` if none runs.
    pub fn up_since(&self, name: &str) -> Option<Instant> {
        let started_at = self.machines.borrow()[name].started_at;
        started_at.filter(|_| self.runs(name))
    }

    /// Names of the machines whose process runs.
    pub fn running(&self) -> Vec<String> {
        let names = self.names().into_iter();
        names.filter(|name| self.runs(name)).collect()
    }

    /// Names of the core machines whose process runs.
    pub fn running_core(&self) -> Vec<String> {
        let core = self.core().into_iter();
        core.filter(|name| self.runs(name)).collect()
    }

    /// Waits until all running processes serve clients.
    ///
    /// # Panics
    ///
    /// If that takes longer than 30 s.
    pub async fn wait_until_ready(&self) {
        let started_at = Instant::now();
        loop {
            let unready: Vec<String> = self
                .running()
                .into_iter()
                .filter(|name| !self.load_balancer.is_in_service(name))
                .collect();
            if unready.is_empty() {
                return;
            }
            assert!(
                started_at.elapsed() < READY_TIMEOUT,
                "nodes are not ready: {unready:?}"
            );
            sleep(READY_POLL).await;
        }
    }

    /// Ends the process between two steps; its machine stays.
    pub fn kill(&self, name: &str) {
        self.monitor.trace(format!("{name} is killed"));
        self.report_process_stopped(name);
        self.drop_process(name);
    }

    /// Ends a process, outside of a borrow of the machines, which its tasks may look at.
    pub(super) fn drop_process(&self, name: &str) {
        let process = self
            .machines
            .borrow_mut()
            .get_mut(name)
            .and_then(|machine| machine.process.take());
        drop(process);
    }

    /// Freezes a machine with its process, or lets it continue.
    pub fn freeze(&self, name: &str, is_frozen: bool) {
        let change = if is_frozen { "freezes" } else { "resumes" };
        self.monitor.trace(format!("{name} {change}"));
        if is_frozen {
            self.report_fault(name);
        }
        self.network.freeze(self.ip(name), is_frozen);
        if let Some(process) = &self.machines.borrow()[name].process {
            process.freeze(is_frozen);
        }
        if !is_frozen {
            self.report_resumed(name);
        }
    }

    /// Slows a process by a pause between two polls of its tasks; zero: full speed.
    pub fn slow(&self, name: &str, pace: Duration) {
        self.monitor
            .trace(format!("{name} takes {pace:?} for a poll"));
        let mut scopes = vec![FaultScope::Machine(self.ip(name))];
        if self.is_core(name) {
            scopes.push(FaultScope::Core);
        }
        for scope in scopes {
            if pace.is_zero() {
                self.monitor.fault_ended(scope);
            } else {
                self.monitor.fault_began(scope);
            }
        }
        if let Some(process) = &self.machines.borrow()[name].process {
            process.slow(pace);
        }
    }

    /// How many periods the process of a machine has ended with its quota spent.
    pub fn processor_stalls(&self, name: &str) -> u64 {
        let machines = self.machines.borrow();
        let process = machines[name].process.as_ref();
        process.map_or(0, SimulatedProcess::stalls)
    }

    /// Sends SIGTERM; the process ends by itself, or is killed after its grace period.
    pub async fn terminate(&self, name: &str) {
        self.monitor.trace(format!("{name} gets SIGTERM"));
        self.monitor.shutdown_requested(self.ip(name));
        if self.is_core(name) {
            self.monitor.momentary_fault(FaultScope::Core);
        }
        if let Some(signals) = &self.machines.borrow()[name].signals {
            // A process that has ended already needs none.
            let _ = signals.send(ProcessSignal::Leave);
        }
        let started_at = Instant::now();
        while self.runs(name) && started_at.elapsed() < self.settings.bounds.grace {
            sleep(END_POLL).await;
        }
        let has_ended = !self.runs(name);
        self.monitor.trace(format!("{name} has ended: {has_ended}"));
        self.drop_process(name);
    }

    fn is_core(&self, name: &str) -> bool {
        self.machines.borrow()[name].is_core
    }

    pub(super) fn report_momentary_fault(&self, ip: IpAddr, is_core: bool) {
        self.monitor.momentary_fault(FaultScope::Machine(ip));
        if is_core {
            self.monitor.momentary_fault(FaultScope::Core);
        }
    }

    pub(super) fn report_process_stopped(&self, name: &str) {
        self.monitor.process_stopped(self.ip(name));
        if self.is_core(name) {
            self.monitor.momentary_fault(FaultScope::Core);
        }
    }

    /// A fault of a machine begins.
    pub(super) fn report_fault(&self, name: &str) {
        self.monitor.fault_began(FaultScope::Machine(self.ip(name)));
        if self.is_core(name) {
            self.monitor.momentary_fault(FaultScope::Core);
        }
    }

    /// A fault of a machine ends.
    pub(super) fn report_resumed(&self, name: &str) {
        let ip = self.ip(name);
        self.monitor.fault_ended(FaultScope::Machine(ip));
        self.monitor.resumed(ip);
        self.report_momentary_fault(ip, self.is_core(name));
    }
}
