//! One node process of the fleet: its address, settings file, start, signals and exit. The process is killed when its
//! handle is dropped.
use crate::LabError;
use crate::addresses::Addresses;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::fs::File;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;
use tokio::process::{Child, Command};
use tokio::time::{Instant, timeout};

/// Names of the zones, assigned to nodes and servers round-robin.
pub const ZONES: [&str; 3] = ["zone-1", "zone-2", "zone-3"];
/// Grace period of a process after SIGTERM.
pub const GRACE: Duration = Duration::from_secs(8);
/// Interval between checks whether a terminating process has exited.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A machine of the fleet, with its node process if one is running.
pub struct Machine {
    /// Name of the node.
    pub name: String,
    /// IP address of the node.
    pub ip: IpAddr,
    addresses: Addresses,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: RefCell<Option<Child>>,
    /// Times at which the process was started or killed: requests near these times may be interrupted.
    pub fault_times: RefCell<Vec<Instant>>,
    grace: Duration,
    /// Whether the node counts toward the quorum; such a node has a disk.
    pub counted: bool,
    /// Whether the node is ready according to the platform's readiness checks.
    pub ready: Cell<bool>,
}

impl Machine {
    /// Creates the `n`th machine and writes its settings file to `directory`. The first `seeds` machines are seed nodes;
    /// `grace` is in whole seconds.
    ///
    /// # Errors
    ///
    /// [`LabError::Write`] if the settings cannot be written.
    pub fn new(
        n: usize,
        counted: bool,
        seeds: usize,
        addresses: Addresses,
        directory: &Path,
        program: &Path,
        grace: Duration,
    ) -> Result<Machine, LabError> {
        let name = format!("{}-{n}", if counted { "core" } else { "plain" });
        let machine = Machine {
            ip: addresses.node(n),
            addresses,
            program: program.to_owned(),
            settings: directory.join(format!("{name}.conf")),
            log: directory.join(format!("{name}.log")),
            child: RefCell::default(),
            fault_times: RefCell::default(),
            grace,
            counted,
            ready: Cell::new(false),
            name,
        };
        if counted {
            let data = directory.join(&machine.name);
            std::fs::create_dir_all(&data).map_err(|e| write_error(&data, &e))?;
        }
        machine.write_settings(ZONES[n % ZONES.len()], seeds, directory, true)?;
        Ok(machine)
    }

    fn write_settings(
        &self,
        zone: &str,
        seeds: usize,
        directory: &Path,
        first: bool,
    ) -> Result<(), LabError> {
        let Addresses {
            front,
            readiness,
            control,
            internal,
            ..
        } = self.addresses;
        let (ip, name) = (self.ip, &self.name);
        let seeds: Vec<String> = (0..seeds)
            .map(|n| format!("{}:{control}", self.addresses.node(n)))
            .collect();
        let mut text = String::new();
        // Writing to a String cannot fail.
        let _ = write!(
            text,
            "node_name={name}\nrole=proxy\nmachine_class=frontend\nserved_roles=frontend,control_plane\n\
             ip_address={ip}\nzone={zone}\nregion=region-1\nlisten_addresses.front_http={ip}:{front}\n\
             listen_addresses.readiness={ip}:{readiness}\nlisten_addresses.control_plane={ip}:{control}\n\
             internal_port_range={internal},{internal}\nseed_nodes={}\nfirst_start={first}\n\
             counts_toward_quorum={}\nlimits.memory_mb=260\nlimits.max_open_files=1000\nheartbeat_ms=400\n\
             fault_tolerance.machines=1\nbounds.grace_period_s={}\n",
            seeds.join(","),
            self.counted,
            self.grace.as_secs()
        );
        for zone in ZONES {
            let _ = writeln!(text, "zones.{zone}=region-1");
        }
        if self.counted {
            let _ = writeln!(text, "data_directory={}", directory.join(name).display());
        }
        std::fs::write(&self.settings, text).map_err(|e| write_error(&self.settings, &e))
    }

    /// Returns the address for clients.
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.addresses.front)
    }
    /// Returns the address for readiness checks.
    pub fn readiness(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.addresses.readiness)
    }
    /// Returns the control address for model servers and operators.
    pub fn control(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.addresses.control)
    }

    /// Returns the address for metrics scrapers.
    pub fn metrics(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.addresses.metrics)
    }

    /// Returns the id of the running process; `None` if no process is running.
    pub fn process_id(&self) -> Option<u32> {
        self.child.borrow().as_ref().and_then(Child::id)
    }

    /// Replaces the memory of the machine in the settings file, in MB. A running process keeps the former value.
    ///
    /// # Errors
    ///
    /// [`LabError::Write`] if the settings cannot be updated.
    pub fn set_memory_mb(&self, memory_mb: u64) -> Result<(), LabError> {
        let replacement = format!("limits.memory_mb={memory_mb}");
        let text =
            std::fs::read_to_string(&self.settings).map_err(|e| write_error(&self.settings, &e))?;
        let updated = text.lines().map(|line| match line {
            line if line.starts_with("limits.memory_mb=") => replacement.as_str(),
            line => line,
        });
        let text = updated.collect::<Vec<_>>().join("\n");
        std::fs::write(&self.settings, text + "\n").map_err(|e| write_error(&self.settings, &e))
    }

    /// Starts the process.
    ///
    /// # Errors
    ///
    /// [`LabError::Start`] if the program cannot be executed; [`LabError::Write`] if its log cannot be written.
    pub fn start(&self) -> Result<(), LabError> {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.map_err(|e| write_error(&self.log, &e))?;
        let spawned = Command::new(&self.program)
            .arg("proxy")
            .args(["--metrics-port", &self.addresses.metrics.to_string()])
            .env("SPARROUTER_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn();
        let program = self.program.display().to_string();
        let child = spawned.map_err(|e| LabError::Start {
            program,
            reason: e.to_string(),
        })?;
        *self.child.borrow_mut() = Some(child);
        self.fault_times.borrow_mut().push(Instant::now());
        Ok(())
    }

    /// Restarts the process with `first_start=false`, since the fleet already has state.
    ///
    /// # Errors
    ///
    /// The errors of [`Machine::start`]; [`LabError::Write`] if the settings cannot be updated.
    pub fn restart(&self) -> Result<(), LabError> {
        let text =
            std::fs::read_to_string(&self.settings).map_err(|e| write_error(&self.settings, &e))?;
        let text = text.replace("first_start=true", "first_start=false");
        std::fs::write(&self.settings, text).map_err(|e| write_error(&self.settings, &e))?;
        self.start()
    }

    /// Kills the process (SIGKILL).
    pub async fn kill(&self) {
        self.fault_times.borrow_mut().push(Instant::now());
        let child = self.child.borrow_mut().take();
        if let Some(mut child) = child {
            // An error means that the process has already exited.
            let _ = child.kill().await;
        }
    }

    /// Sends SIGTERM and waits for the process to exit. Returns whether it exited successfully within its grace period; if
    /// it did not exit in time, it is killed.
    pub async fn terminate(&self) -> bool {
        let child = self.child.borrow_mut().take();
        let Some(mut child) = child else { return true };
        let Some(id) = child.id() else { return false };
        let signalled = kill(Pid::from_raw(id as i32), Signal::SIGTERM).is_ok();
        let exit_status = self.wait_for_exit(&mut child, id).await;
        let exited_cleanly = signalled && exit_status.is_some_and(|status| status.success());
        if exit_status.is_none() {
            self.fault_times.borrow_mut().push(Instant::now());
            let _ = child.kill().await;
        }
        exited_cleanly
    }

    /// Returns the exit status of a process, or `None` if it does not exit within its grace period. Time that the process
    /// spends waiting for a processor does not count: next to 60 busy processes this wait exceeds the margin by which the
    /// process otherwise exits before the end of the period.
    async fn wait_for_exit(&self, child: &mut Child, id: u32) -> Option<ExitStatus> {
        let (began, waited_before) = (Instant::now(), processor_wait(id));
        loop {
            if let Ok(exit_status) = timeout(END_CHECK_INTERVAL, child.wait()).await {
                return exit_status.ok();
            }
            let waited = processor_wait(id).saturating_sub(waited_before);
            if began.elapsed().saturating_sub(waited) >= self.grace {
                return None;
            }
        }
    }

    /// Returns whether the process is running.
    pub fn is_running(&self) -> bool {
        self.child
            .borrow_mut()
            .as_mut()
            .is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    /// Returns the text that the process has written to standard error.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

/// Returns the total time that a runnable process has waited for a processor, from `/proc/ID/schedstat`; zero if this
/// is not available.
fn processor_wait(id: u32) -> Duration {
    let schedstat = std::fs::read_to_string(format!("/proc/{id}/schedstat")).unwrap_or_default();
    let waited = schedstat.split_whitespace().nth(1);
    Duration::from_nanos(waited.and_then(|nanos| nanos.parse().ok()).unwrap_or(0))
}

fn write_error(path: &Path, error: &std::io::Error) -> LabError {
    LabError::Write {
        subject: path.display().to_string(),
        reason: error.to_string(),
    }
}
