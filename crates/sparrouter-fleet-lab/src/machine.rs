//! One process of the fleet on an address of its own: settings file, start, signals, end. It never outlives the lab.
use crate::LabError;
use crate::ground::Ground;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::fs::File;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::process::{Child, Command};
use tokio::time::{Instant, timeout};

/// Zones of every run, each node in the next one.
pub const ZONES: [&str; 3] = ["field-1", "field-2", "field-3"];
/// In which a process told to end has to, in scenarios.
pub const GRACE: Duration = Duration::from_secs(8);

pub struct Machine {
    pub name: String,
    pub ip: IpAddr,
    ground: Ground,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: RefCell<Option<Child>>,
    /// When it last began or ended other than by its own will: its requests of that time may be cut off.
    pub troubles: RefCell<Vec<Instant>>,
    grace: Duration,
    pub counted: bool,
    pub ready: Cell<bool>,
}

impl Machine {
    /// Writes its settings under `directory`; the first `seeds` machines are seeds, `grace` is in whole seconds.
    pub fn new(
        n: usize,
        counted: bool,
        seeds: usize,
        ground: Ground,
        directory: &Path,
        program: &Path,
        grace: Duration,
    ) -> Result<Machine, LabError> {
        let name = format!("{}-{n}", if counted { "core" } else { "plain" });
        let machine = Machine {
            ip: ground.node(n),
            ground,
            program: program.to_owned(),
            settings: directory.join(format!("{name}.conf")),
            log: directory.join(format!("{name}.log")),
            child: RefCell::default(),
            troubles: RefCell::default(),
            grace,
            counted,
            ready: Cell::new(false),
            name,
        };
        if counted {
            let data = directory.join(&machine.name);
            std::fs::create_dir_all(&data).map_err(|e| written(&data, &e))?;
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
        let Ground {
            front,
            readiness,
            control,
            internal,
            ..
        } = self.ground;
        let (ip, name) = (self.ip, &self.name);
        let seeds: Vec<String> = (0..seeds)
            .map(|n| format!("{}:{control}", self.ground.node(n)))
            .collect();
        let mut text = String::new();
        // Writing into a String does not fail.
        let _ = write!(
            text,
            "node_name={name}\nrole=proxy\nmachine_class=frontend\nserved_roles=frontend,control_plane\n\
             ip_address={ip}\nzone={zone}\nregion=field\nlisten_addresses.front_http={ip}:{front}\n\
             listen_addresses.readiness={ip}:{readiness}\nlisten_addresses.control_plane={ip}:{control}\n\
             internal_port_range={internal},{internal}\nseed_nodes={}\nfirst_start={first}\n\
             counts_toward_quorum={}\nlimits.memory_mb=260\nlimits.max_open_files=1000\nheartbeat_ms=400\n\
             fault_tolerance.machines=1\nbounds.grace_period_s={}\n",
            seeds.join(","),
            self.counted,
            self.grace.as_secs()
        );
        for zone in ZONES {
            let _ = writeln!(text, "zones.{zone}=field");
        }
        if self.counted {
            let _ = writeln!(text, "data_directory={}", directory.join(name).display());
        }
        std::fs::write(&self.settings, text).map_err(|e| written(&self.settings, &e))
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ground.front)
    }
    pub fn readiness(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ground.readiness)
    }
    pub fn control(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ground.control)
    }

    pub fn start(&self) -> Result<(), LabError> {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.map_err(|e| written(&self.log, &e))?;
        let started = Command::new(&self.program)
            .arg("proxy")
            .env("SPARROUTER_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn();
        let program = self.program.display().to_string();
        let child = started.map_err(|e| LabError::Start {
            program,
            why: e.to_string(),
        })?;
        *self.child.borrow_mut() = Some(child);
        self.troubles.borrow_mut().push(Instant::now());
        Ok(())
    }

    /// From the second start on the system is no longer new.
    pub fn restart(&self) -> Result<(), LabError> {
        let text =
            std::fs::read_to_string(&self.settings).map_err(|e| written(&self.settings, &e))?;
        let text = text.replace("first_start=true", "first_start=false");
        std::fs::write(&self.settings, text).map_err(|e| written(&self.settings, &e))?;
        self.start()
    }

    /// SIGKILL, by id.
    pub async fn kill(&self) {
        self.troubles.borrow_mut().push(Instant::now());
        let child = self.child.borrow_mut().take();
        if let Some(mut child) = child {
            // It may have ended by itself.
            let _ = child.kill().await;
        }
    }

    /// SIGTERM, and its end. False where it did not end by itself, with success, in its time.
    pub async fn end(&self) -> bool {
        let child = self.child.borrow_mut().take();
        let Some(mut child) = child else { return true };
        let told = child
            .id()
            .is_some_and(|id| kill(Pid::from_raw(id as i32), Signal::SIGTERM).is_ok());
        let ended = timeout(self.grace, child.wait()).await;
        let well = told && matches!(&ended, Ok(Ok(status)) if status.success());
        if ended.is_err() {
            self.troubles.borrow_mut().push(Instant::now());
            let _ = child.kill().await;
        }
        well
    }

    /// It runs and has not ended by itself.
    pub fn runs(&self) -> bool {
        self.child
            .borrow_mut()
            .as_mut()
            .is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    /// What it wrote so far, dumps of its log_buffer.
    pub fn words(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

fn written(what: &Path, why: &std::io::Error) -> LabError {
    LabError::Write {
        what: what.display().to_string(),
        why: why.to_string(),
    }
}
