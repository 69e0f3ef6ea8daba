//! What becomes of machines: processes start, end, freeze and slow down, power and disks are lost, ways are cut.
use super::{CONTROL, FRONT, Machine, READINESS, SimulatedCluster};
use crate::network::Partition;
use crate::network::interface::NetworkInterface;
use crate::process::SimulatedProcess;
use fastrand::Rng;
use sparrouter_fleet::process::log_buffer::LogBuffer;
use sparrouter_fleet::process::run::{ProcessSignal, Role, serve};
use sparrouter_fleet::process::settings::ProcessSettings;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::unbounded_channel;
use tokio::time::{Instant, sleep};

/// A machine that is gone for good, as it was.
pub struct RetiredMachine {
    name: String,
    machine: Machine,
    seeds: Vec<SocketAddr>,
}

impl SimulatedCluster {
    fn settings_text(&self, name: &str, first: bool) -> String {
        let machines = self.machines.borrow();
        let m = &machines[name];
        let (ip, b) = (m.ip, &self.settings.bounds);
        let seeds: Vec<String> = self
            .seeds
            .borrow()
            .iter()
            .map(ToString::to_string)
            .collect();
        let data = if m.disk.is_some() {
            "data_directory=/data/proxy\n"
        } else {
            ""
        };
        let ms = |d: Duration| d.as_millis();
        format!(
            "node_name={name}\nip_address={ip}\nzone={}\nregion=valley\n\
             listen_addresses.front_http={ip}:{FRONT}\nlisten_addresses.readiness={ip}:{READINESS}\n\
             listen_addresses.control_plane={ip}:{CONTROL}\ninternal_port_range=7360,7375\nseed_nodes={}\n\
             first_start={first}\ncounts_toward_quorum={}\nlimits.memory_mb=260\nlimits.max_open_files=4100\n{data}\
             heartbeat_ms={}\nfault_tolerance.machines={}\nbounds.contact_ms={}\nbounds.ack_timeout_ms={}\n\
             bounds.drain_timeout_ms={}\nbounds.grace_period_s={}\nbounds.config_apply_ms={}\n\
             bounds.lease_ms={}\nbounds.thaw_ms={}\nbounds.version_ms={}\nbounds.recovery_s={}\n\
             bounds.retry_budget_ratio={}\nbounds.retry_budget_slack={}\nbounds.budget_window_s={}\n\
             bounds.fencing_enabled={}\nbounds.strict_revocation={}\nbounds.revoke_timeout_ms={}\n\
             bounds.version_all_ms={}\n",
            m.zone,
            seeds.join(","),
            m.counted,
            ms(self.settings.heartbeat),
            self.settings.tolerated(),
            ms(b.contact),
            ms(b.ack_timeout),
            ms(b.drain_timeout),
            b.grace.as_secs_f64(),
            ms(b.config_apply),
            ms(b.lease),
            ms(b.thaw),
            ms(b.version),
            b.recovery.as_secs_f64(),
            b.budget_ratio,
            b.budget_slack,
            b.budget_window.as_secs_f64(),
            b.fencing,
            b.strict_revocation,
            ms(b.revoke_timeout),
            ms(b.version_all),
        )
    }

    /// Starts a process on a machine that has power; `first`: the whole system starts for the first time.
    pub fn start(&self, name: &str, first: bool) {
        let text = self.settings_text(name, first);
        let mut boot = ProcessSettings::parse(Path::new("story"), &text)
            .expect("settings that the page describes");
        boot.listen.metrics = Some(self.metrics_of(name));
        let mut rng = self.rng.borrow_mut().fork();
        let net = Rc::new(NetworkInterface::new(self.network.clone(), self.ip(name)));
        let (give, orders) = unbounded_channel();
        let mut machines = self.machines.borrow_mut();
        let Some(machine) = machines.get_mut(name) else {
            return;
        };
        let (log_buffer, disk) = (machine.log_buffer.clone(), machine.disk.clone());
        let (monitor, label, at) = (self.monitor.clone(), name.to_owned(), machine.ip);
        machine.process = Some(SimulatedProcess::start(async move {
            let open = move |_: Option<&Path>, log_buffer: &LogBuffer, rng: &mut Rng| match &disk {
                Some(disk) => disk.stock(log_buffer, rng),
                None => Ok(sparrouter_fleet::control::disk::DiskContents::empty(rng)),
            };
            let rng = rng.fork();
            if let Err(why) = serve(Role::Proxy, boot, open, log_buffer, net, rng, orders).await {
                monitor.report_violation("FAULT", format!("{label} at {at} did not start: {why}"));
            }
        }));
        machine.orders = Some(give);
        machine.up_since = Some(Instant::now());
        let again = std::mem::replace(&mut machine.started, true);
        let (ip, counted) = (machine.ip, machine.counted);
        drop(machines);
        if again {
            self.load_balancer.restarted(name);
        }
        self.monitor.trace(format!("{name} starts"));
        self.shake(ip, counted);
        self.monitor.process_started(ip);
    }

    pub(super) fn shake(&self, ip: IpAddr, counted: bool) {
        self.monitor.momentary_fault(Some(ip));
        if counted {
            self.monitor.momentary_fault(None);
        }
    }

    fn process_stopped(&self, name: &str) {
        self.monitor.process_stopped(self.ip(name));
        if self.machines.borrow()[name].counted {
            self.monitor.momentary_fault(None);
        }
    }

    pub(super) fn fault_began(&self, name: &str) {
        let (ip, counted) = {
            let machines = self.machines.borrow();
            (machines[name].ip, machines[name].counted)
        };
        self.monitor.fault_began(Some(ip));
        if counted {
            self.monitor.momentary_fault(None);
        }
    }

    /// Every machine within 0.3 s, in no fixed order.
    pub async fn start_all(&self, first: bool) {
        let mut names = self.names();
        self.rng.borrow_mut().shuffle(&mut names);
        for name in names {
            self.start(&name, first);
            let pause = self
                .rng
                .borrow_mut()
                .u64(0..300 / self.machines.borrow().len() as u64);
            sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Until all that run take clients.
    pub async fn wait_until_ready(&self) {
        let began = Instant::now();
        let all = || {
            self.names()
                .into_iter()
                .all(|n| !self.runs(&n) || self.load_balancer.is_in_service(&n))
        };
        while !all() {
            assert!(
                began.elapsed() < Duration::from_secs(30),
                "nodes are not ready: {:?}",
                self.unready()
            );
            sleep(Duration::from_millis(100)).await;
        }
    }

    fn unready(&self) -> Vec<String> {
        self.names()
            .into_iter()
            .filter(|n| self.runs(n) && !self.load_balancer.is_in_service(n))
            .collect()
    }

    /// The process ends between two steps; its machine stays.
    pub fn kill(&self, name: &str) {
        self.monitor.trace(format!("{name} is killed"));
        self.process_stopped(name);
        let process = self
            .machines
            .borrow_mut()
            .get_mut(name)
            .and_then(|m| m.process.take());
        drop(process);
    }

    /// The machine loses power, and its disk what was not synced.
    pub fn power_off(&self, name: &str) {
        self.monitor.trace(format!("{name} loses power"));
        self.process_stopped(name);
        self.network.power(self.ip(name), false);
        let process = self
            .machines
            .borrow_mut()
            .get_mut(name)
            .and_then(|m| m.process.take());
        drop(process);
        if let Some(disk) = self.machines.borrow()[name].disk.as_ref() {
            disk.files.lose_power();
        }
    }

    /// Power is back, and the process starts.
    pub fn power_on(&self, name: &str) {
        self.network.power(self.ip(name), true);
        self.start(name, false);
    }

    /// The disk is replaced by an empty one while no process runs.
    pub fn wipe(&self, name: &str) {
        self.monitor.trace(format!("the disk of {name} is lost"));
        self.disk(name).files.wipe();
    }

    pub fn freeze(&self, name: &str, frozen: bool) {
        self.monitor.trace(format!(
            "{name} {}",
            if frozen { "freezes" } else { "wakes" }
        ));
        if frozen {
            self.fault_began(name);
        }
        let ip = self.ip(name);
        self.network.freeze(ip, frozen);
        if let Some(process) = &self.machines.borrow()[name].process {
            process.freeze(frozen);
        }
        if !frozen {
            let counted = self.machines.borrow()[name].counted;
            self.monitor.fault_ended(Some(ip));
            self.monitor.resumed(ip);
            self.shake(ip, counted);
        }
    }

    /// A machine whose processor hardly gets to it; zero: as it should.
    pub fn slow(&self, name: &str, pace: Duration) {
        self.monitor
            .trace(format!("{name} takes {pace:?} for a turn"));
        let (ip, counted) = {
            let machines = self.machines.borrow();
            (machines[name].ip, machines[name].counted)
        };
        let whose = [Some(Some(ip)), counted.then_some(None)]
            .into_iter()
            .flatten();
        whose.for_each(|w| {
            if pace.is_zero() {
                self.monitor.fault_ended(w)
            } else {
                self.monitor.fault_began(w)
            }
        });
        if let Some(process) = &self.machines.borrow()[name].process {
            process.slow(pace);
        }
    }

    /// SIGTERM; the process ends by itself, or is killed after its grace period.
    pub async fn terminate(&self, name: &str) {
        self.monitor.trace(format!("{name} is told to end"));
        self.monitor.shutdown_requested(self.ip(name));
        if self.machines.borrow()[name].counted {
            self.monitor.momentary_fault(None);
        }
        if let Some(orders) = &self.machines.borrow()[name].orders {
            // One that has ended already needs none.
            let _ = orders.send(ProcessSignal::Leave);
        }
        let began = Instant::now();
        while self.runs(name) && began.elapsed() < self.settings.bounds.grace {
            sleep(Duration::from_millis(50)).await;
        }
        self.monitor
            .trace(format!("{name} has ended: {}", !self.runs(name)));
        self.machines
            .borrow_mut()
            .get_mut(name)
            .and_then(|m| m.process.take());
    }

    /// A machine of the core goes for good; an empty one at another address takes its place.
    pub fn replace(&self, name: &str) -> String {
        let zone = self.zone_of(name);
        self.retire(name);
        self.add_core(zone)
    }

    /// A machine goes for good, without power if its process runs; it may be brought back as it was.
    pub fn retire(&self, name: &str) -> RetiredMachine {
        if self.machines.borrow()[name].process.is_some() {
            self.power_off(name);
        }
        self.monitor.trace(format!("{name} is gone for good"));
        self.load_balancer.remove(name);
        let gone = self.control_of(name);
        self.control.borrow_mut().retain(|a| *a != gone);
        let machine = self.machines.borrow_mut().remove(name);
        self.monitor.process_started(gone.ip());
        RetiredMachine {
            name: name.to_owned(),
            machine: machine.expect("a machine of this name"),
            seeds: self.seeds.borrow().clone(),
        }
    }

    /// An empty machine at a new address joins the core; the seeds are the newest machines.
    pub fn add_core(&self, zone: &'static str) -> String {
        let new = format!("core-{}", self.next_ip.get());
        self.add_machine(&new, zone, true);
        self.refresh_seeds();
        self.start(&new, false);
        new
    }

    /// A machine that was gone for good starts with its old disk and the seeds of its time. It is on none of the
    /// operator's lists.
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

    /// The seeds are the first three of the operator's list now; running processes are told.
    pub fn refresh_seeds(&self) {
        let seeds: Vec<SocketAddr> = self
            .core()
            .iter()
            .rev()
            .take(3)
            .map(|n| self.control_of(n))
            .collect();
        self.exchange_seeds(&seeds);
    }

    pub fn exchange_seeds(&self, seeds: &[SocketAddr]) {
        *self.seeds.borrow_mut() = seeds.to_vec();
        for machine in self.machines.borrow().values() {
            if let Some(orders) = &machine.orders {
                // A process that ended needs none.
                let _ = orders.send(ProcessSignal::Seeds(seeds.to_vec()));
            }
        }
    }

    /// Cuts machines off from all others of the fleet, or joins them again.
    pub fn partition(&self, names: &[&str], cut: Option<Partition>) {
        self.monitor.trace(format!("{names:?} cut off: {cut:?}"));
        for inside in names {
            for other in self.names().iter().filter(|n| !names.contains(&n.as_str())) {
                self.network
                    .partition_both(self.ip(inside), self.ip(other), cut);
            }
            let ip = self.ip(inside);
            match cut {
                Some(_) => self.fault_began(inside),
                None => {
                    self.monitor.fault_ended(Some(ip));
                    self.monitor.resumed(ip);
                    self.shake(ip, self.machines.borrow()[*inside].counted);
                }
            }
        }
    }

    /// A zone's machines and servers cut off from all others, or joined again.
    pub fn partition_zone(&self, zone: &str, cut: Option<Partition>) {
        let names = self.names();
        let inside: Vec<&str> = names
            .iter()
            .map(String::as_str)
            .filter(|n| self.zone_of(n) == zone)
            .collect();
        self.partition(&inside, cut);
        for hosted in self.servers.borrow().values() {
            let t = &hosted.server.settings;
            for name in &names {
                if (self.zone_of(name) == zone) != (t.zone == zone) {
                    self.network
                        .partition_both(self.ip(name), t.address.ip(), cut);
                }
            }
        }
    }
}
