//! Machines: added, replaced, removed; power and disks; the seeds that processes know.

use super::{CONTROL_PORT, FRONT_PORT, READINESS_PORT, SEEDS, SimulatedCluster};
use crate::disk::SimulatedDisk;
use crate::process::SimulatedProcess;
use sparrouter_fleet::process::log_buffer::LogBuffer;
use sparrouter_fleet::process::run::ProcessSignal;
use std::io::{self, Write};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

/// What processes write to standard error.
#[derive(Clone, Default)]
pub(super) struct Stderr(Arc<Mutex<Vec<u8>>>);

impl Stderr {
    pub(super) fn text(&self) -> String {
        let bytes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

impl Write for Stderr {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut written = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        written.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A machine of the fleet.
pub(super) struct Machine {
    /// The name that its processes give themselves.
    pub(super) node_name: String,
    pub(super) ip: IpAddr,
    pub(super) zone: &'static str,
    /// It counts toward the quorum.
    pub(super) is_core: bool,
    /// Core machines have one.
    pub(super) disk: Option<SimulatedDisk>,
    /// The last process that started; `None` once it was killed.
    pub(super) process: Option<SimulatedProcess>,
    /// Signals to that process.
    pub(super) signals: Option<UnboundedSender<ProcessSignal>>,
    pub(super) log_buffer: LogBuffer,
    pub(super) stderr: Stderr,
    /// A process has run on it.
    pub(super) was_started: bool,
    /// When its last process started.
    pub(super) started_at: Option<Instant>,
}

/// A machine that was removed, as it was.
pub struct RetiredMachine {
    name: String,
    machine: Machine,
    /// The seeds of its time.
    seeds: Vec<SocketAddr>,
}

impl SimulatedCluster {
    pub(super) fn add_machine(&self, name: &str, zone: &'static str, is_core: bool) {
        let ip = self.next_address();
        self.network.add(ip, zone);
        let disk = is_core.then(|| {
            let seed = self.rng.borrow_mut().u64(..);
            SimulatedDisk::new(seed, self.settings.write_delay)
        });
        let stderr = Stderr::default();
        let machine = Machine {
            node_name: name.to_owned(),
            ip,
            zone,
            is_core,
            disk,
            process: None,
            signals: None,
            log_buffer: LogBuffer::to(stderr.clone()),
            stderr,
            was_started: false,
            started_at: None,
        };
        self.machines.borrow_mut().insert(name.to_owned(), machine);
        self.control
            .borrow_mut()
            .push(SocketAddr::new(ip, CONTROL_PORT));
        self.load_balancer.add(
            name,
            zone,
            SocketAddr::new(ip, FRONT_PORT),
            SocketAddr::new(ip, READINESS_PORT),
        );
    }

    /// The next free address of a machine or a server.
    pub(super) fn next_address(&self) -> IpAddr {
        let last = self.next_ip.get();
        self.next_ip.set(last + 1);
        IpAddr::from([10, 0, 0, last])
    }

    /// The machine loses power, and its disk what was not synced.
    pub fn power_off(&self, name: &str) {
        self.monitor.trace(format!("{name} loses power"));
        self.report_process_stopped(name);
        self.network.power(self.ip(name), false);
        self.drop_process(name);
        if let Some(disk) = self.machines.borrow()[name].disk.as_ref() {
            disk.files.lose_power();
        }
    }

    /// Power is back, and a process starts.
    pub fn power_on(&self, name: &str) {
        self.network.power(self.ip(name), true);
        self.start(name, false);
    }

    /// The disk is replaced by an empty one while no process runs.
    pub fn wipe(&self, name: &str) {
        self.monitor.trace(format!("the disk of {name} is lost"));
        self.disk(name).files.wipe();
    }

    /// Removes a core machine; an empty one at another address replaces it. Returns the new one's name.
    pub fn replace(&self, name: &str) -> String {
        let zone = self.zone_of(name);
        self.retire(name);
        self.add_core(zone)
    }

    /// Removes a machine, without power if its process runs; [`SimulatedCluster::restore`] brings it back as it was.
    ///
    /// # Panics
    ///
    /// If there is no machine of this name.
    pub fn retire(&self, name: &str) -> RetiredMachine {
        if self.machines.borrow()[name].process.is_some() {
            self.power_off(name);
        }
        self.monitor.trace(format!("{name} is removed"));
        self.load_balancer.remove(name);
        let address = self.control_of(name);
        self.control.borrow_mut().retain(|other| *other != address);
        let machine = self.machines.borrow_mut().remove(name);
        self.monitor.process_started(address.ip());
        RetiredMachine {
            name: name.to_owned(),
            machine: machine.expect("a machine of this name"),
            seeds: self.seeds.borrow().clone(),
        }
    }

    /// Adds an empty core machine at a new address and starts it. The seeds are the newest machines then.
    pub fn add_core(&self, zone: &'static str) -> String {
        let name = format!("core-{}", self.next_ip.get());
        self.add_machine(&name, zone, true);
        self.refresh_seeds();
        self.start(&name, false);
        name
    }

    /// Adds a machine in the place of none, whose processes give themselves the name of another one, and starts it.
    ///
    /// # Panics
    ///
    /// If there is no machine of that name.
    pub fn add_namesake(&self, of: &str) -> String {
        let name = format!("{of}-{}", self.next_ip.get());
        let is_core = self.machines.borrow()[of].is_core;
        self.add_machine(&name, self.zone_of(of), is_core);
        let mut machines = self.machines.borrow_mut();
        let machine = machines.get_mut(&name).expect("the machine just added");
        of.clone_into(&mut machine.node_name);
        drop(machines);
        self.start(&name, false);
        name
    }

    /// Starts a machine that was removed, with its old disk and the seeds of its time. It is on none of the operator's
    /// lists.
    pub fn restore(&self, retired: RetiredMachine) -> String {
        let RetiredMachine {
            name,
            machine,
            seeds,
        } = retired;
        self.network.power(machine.ip, true);
        self.machines.borrow_mut().insert(name.clone(), machine);
        let newer = std::mem::replace(&mut *self.seeds.borrow_mut(), seeds);
        self.start(&name, false);
        *self.seeds.borrow_mut() = newer;
        name
    }

    /// Makes the newest core machines the seeds; running processes are notified.
    pub fn refresh_seeds(&self) {
        let core = self.core();
        let newest = core.iter().rev().take(SEEDS);
        let seeds: Vec<SocketAddr> = newest.map(|name| self.control_of(name)).collect();
        self.exchange_seeds(&seeds);
    }

    /// Changes the seeds; running processes are notified.
    pub fn exchange_seeds(&self, seeds: &[SocketAddr]) {
        *self.seeds.borrow_mut() = seeds.to_vec();
        for machine in self.machines.borrow().values() {
            if let Some(signals) = &machine.signals {
                // A process that has ended needs none.
                let _ = signals.send(ProcessSignal::Seeds(seeds.to_vec()));
            }
        }
    }
}
