//! The settings file of a process: parsed with a library, then validated as a whole. Each error names its field; unknown
//! fields are ignored. Source: the operators' DEPLOY.md, "Settings of a process".
#![deny(missing_docs)]
mod fields;

use fields::Fields;
use sparrouter_routing::RetryBudgetSettings;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Which doors a role opens beside the one for nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Takes clients, and servers and operators where the settings say so.
    Proxy,
    /// Takes servers and operators only.
    Control,
}

/// The environment variable that holds the path of the settings file.
pub const VARIABLE: &str = "SPARROUTER_BOOT";

/// Why a settings file cannot be used. Each message names the remedy.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The environment variable is not set.
    #[error("{VARIABLE} is not set: let it name the settings file")]
    NoVariable,
    /// The file cannot be read.
    #[error("{path}: cannot be read ({why}): check that the file exists and its owner may read it")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// The error of the operating system.
        why: String,
    },
    /// The file does not consist of settings.
    #[error("{path}: not lines of a.b=value ({why}): correct the line")]
    Malformed {
        /// Path of the file.
        path: String,
        /// The error of the parser.
        why: String,
    },
    /// A required field is missing.
    #[error("{path}: {field} is missing: add a line {field}=…")]
    Missing {
        /// Path of the file.
        path: String,
        /// Name of the field.
        field: String,
    },
    /// A field has the wrong type or is out of range.
    #[error("{path}: {field}={value} is not {wanted}: correct that line")]
    Value {
        /// Path of the file.
        path: String,
        /// Name of the field.
        field: String,
        /// Its value, shortened.
        value: String,
        /// What it must be.
        wanted: String,
    },
}

/// The addresses that this process listens on. Without an address the endpoint is not served.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listen {
    /// For clients.
    pub front: Option<SocketAddr>,
    /// For readiness checks of the platform.
    pub readiness: Option<SocketAddr>,
    /// For servers and operators.
    pub control: Option<SocketAddr>,
    /// For whoever collects figures. Not a field of the file: an option of the command line gives the port.
    pub metrics: Option<SocketAddr>,
}

/// The limits that the operators' RULES.md refers to, as set for this deployment (`bounds.*`).
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// How far the platform's list of seed addresses may lag behind.
    pub seed_lag: Duration,
    /// Shortest time until the address of a server that left is given to another one.
    pub address_reuse: Duration,
    /// How long a node must have been in touch with a quorum, and how recently, for the rules to apply to it.
    pub contact: Duration,
    /// Longest time until a change is acknowledged while a quorum is in touch.
    pub ack_timeout: Duration,
    /// How long a core machine that returned still counts as lost.
    pub catch_up: Duration,
    /// Time after the acknowledgement of a drain within which requests may still reach the server.
    pub drain_timeout: Duration,
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Tolerance, around planned work, for requests that are cut off.
    pub loss_slack: Duration,
    /// Time after the acknowledgement of a configuration within which every node must apply it.
    pub config_apply: Duration,
    /// Tolerance for a node that applies an older configuration after a newer one was seen.
    pub rollback_slack: Duration,
    /// Longest time by which an unstable core may delay a configuration beyond `config_apply`.
    pub max_stretch: Duration,
    /// A removed API key binds every node after `revoke_timeout`, also one that is cut off.
    pub strict_revocation: bool,
    /// Time after the acknowledgement of a configuration from which on nothing runs with a key that it removed.
    pub revoke_timeout: Duration,
    /// How long a rollout lease is valid without renewal.
    pub lease: Duration,
    /// Time after a frozen process continues during which orders may still arrive out of turn.
    pub thaw: Duration,
    /// Time after new weights are named within which requests may begin on older ones.
    pub version: Duration,
    /// The same as `version`, over several stretches in which the core is stable; 0: no limit.
    pub version_all: Duration,
    /// Longest time that an event of a stream may take through the fleet.
    pub transit: Duration,
    /// Time within which reading a shared part of a prompt again is priced. Informational: see docs/design/versions.md.
    pub retry_after: Duration,
    /// Time after a final fault until requests must be served again.
    pub recovery: Duration,
    /// Retries allowed a request; see [`RetryBudgetSettings::ratio`].
    pub retry_budget_ratio: f64,
    /// Further retries of all nodes in a window; see [`RetryBudgetSettings::slack`].
    pub retry_budget_slack: f64,
    /// Window of the retry budget.
    pub budget_window: Duration,
    /// Servers refuse a fencing token lower than one they have seen.
    pub fencing: bool,
}

impl Bounds {
    /// The limits of the retry budget.
    pub fn budget(&self) -> RetryBudgetSettings {
        RetryBudgetSettings {
            ratio: self.retry_budget_ratio,
            slack: self.retry_budget_slack,
            window: nanos(self.budget_window),
        }
    }
}

/// The settings of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessSettings {
    /// Path of the settings file, for messages.
    pub path: PathBuf,
    /// Name of the node, the same after a restart.
    pub node_name: String,
    /// Role in the deploy file. Informational: the subcommand decides what the process does.
    pub role: String,
    /// Class of the machine in the deploy file. Informational.
    pub machine_class: String,
    /// Roles that the machine serves. Informational.
    pub served_roles: Vec<String>,
    /// Address of the machine.
    pub ip: IpAddr,
    /// Zone of the machine.
    pub zone: String,
    /// Region of the machine.
    pub region: String,
    /// The region of each zone (`zones.*`).
    pub regions: HashMap<String, String>,
    /// Addresses to listen on.
    pub listen: Listen,
    /// First of the ports for connections between nodes, the same on all machines.
    pub internal_port: u16,
    /// Last of these ports.
    pub last_internal_port: u16,
    /// Control addresses of nodes to contact first.
    pub seeds: Vec<SocketAddr>,
    /// The whole fleet starts for the first time, on empty disks.
    pub first_start: bool,
    /// The node counts toward the quorum.
    pub counts_toward_quorum: bool,
    /// Share of a processor core that the machine has.
    pub cpu_share: f64,
    /// Speed of that core, as a multiple of a reference core.
    pub cpu_cores: f64,
    /// Memory of the machine in MB.
    pub memory_mb: u64,
    /// Most open file descriptors.
    pub open_files: u64,
    /// Bandwidth of the machine's link, in megabits a second.
    pub link_mbps: f64,
    /// Size of the disk in MB; 0: no disk.
    pub disk_mb: u64,
    /// Directory for what must survive a restart; `None`: nothing does.
    pub data_directory: Option<PathBuf>,
    /// How servers are found. Informational.
    pub discovery: String,
    /// How clients reach the fleet. Informational.
    pub entry_mode: String,
    /// Time between two heartbeats of a server.
    pub heartbeat: Duration,
    /// Groups of rules that are in force.
    pub active_contracts: Vec<String>,
    /// How many counted machines may be lost at a time.
    pub tolerated_machines: u32,
    /// How many zones may be lost at a time.
    pub tolerated_zones: u32,
    /// How many regions may be lost at a time.
    pub tolerated_regions: u32,
    /// Limits of the rules.
    pub bounds: Bounds,
}

/// A duration in nanoseconds; `u64::MAX` if it is longer than that.
pub fn nanos(of: Duration) -> u64 {
    of.as_nanos().min(u128::from(u64::MAX)) as u64
}

/// Parts of a second in which a field ending in `_ms` is written.
const PER_MS: f64 = 1e3;
/// Shortest bound on removed keys where revocation is strict: a lease of that length is renewed several times over while a
/// quorum answers within some 100 ms.
const SHORTEST_REVOCATION: Duration = Duration::from_secs(1);
/// Largest whole number in a settings file.
const MANY: u64 = 1_000_000_000;

impl Bounds {
    fn read(fields: &Fields) -> Result<Bounds, SettingsError> {
        let ms = |field: &str, default: f64| fields.duration(field, PER_MS, 0.0, default);
        let seconds = |field: &str, default: f64| fields.duration(field, 1.0, 0.0, default);
        let bounds = Bounds {
            seed_lag: seconds("bounds.seed_lag_s", 3.0)?,
            address_reuse: seconds("bounds.address_reuse_s", 2.0)?,
            contact: ms("bounds.contact_ms", 3_000.0)?,
            ack_timeout: ms("bounds.ack_timeout_ms", 4_000.0)?,
            catch_up: seconds("bounds.catch_up_s", 4.0)?,
            drain_timeout: ms("bounds.drain_timeout_ms", 2_000.0)?,
            grace: seconds("bounds.grace_period_s", 8.0)?,
            loss_slack: ms("bounds.loss_slack_ms", 200.0)?,
            config_apply: ms("bounds.config_apply_ms", 2_000.0)?,
            rollback_slack: ms("bounds.rollback_slack_ms", 250.0)?,
            max_stretch: ms("bounds.max_stretch_ms", 5_000.0)?,
            strict_revocation: fields.flag("bounds.strict_revocation", false)?,
            revoke_timeout: ms("bounds.revoke_timeout_ms", 5_000.0)?,
            retry_budget_ratio: fields.number("bounds.retry_budget_ratio", 0.0..=100.0, 0.2)?,
            budget_window: seconds("bounds.budget_window_s", 10.0)?,
            retry_budget_slack: fields.number("bounds.retry_budget_slack", 0.0..=1e9, 10.0)?,
            recovery: seconds("bounds.recovery_s", 12.0)?,
            transit: ms("bounds.transit_ms", 120.0)?,
            retry_after: seconds("bounds.again_s", 0.0)?,
            fencing: fields.flag("bounds.fencing_enabled", true)?,
            lease: ms("bounds.lease_ms", 3_000.0)?,
            thaw: ms("bounds.thaw_ms", 300.0)?,
            version: ms("bounds.version_ms", 8_000.0)?,
            version_all: ms("bounds.version_all_ms", 0.0)?,
        };
        bounds.check_revocation(fields)?;
        Ok(bounds)
    }

    /// Strict revocation needs a bound that a lease can be renewed within.
    fn check_revocation(&self, fields: &Fields) -> Result<(), SettingsError> {
        if !self.strict_revocation || self.revoke_timeout >= SHORTEST_REVOCATION {
            return Ok(());
        }
        let (given, shortest) = (self.revoke_timeout, SHORTEST_REVOCATION.as_millis());
        Err(fields.invalid(
            "bounds.revoke_timeout_ms",
            &given.as_millis().to_string(),
            format!("at least {shortest} where bounds.strict_revocation is true"),
        ))
    }
}

impl ProcessSettings {
    /// Reads the file that the environment variable [`VARIABLE`] names.
    ///
    /// # Errors
    ///
    /// A [`SettingsError`] for the first problem found; so for all functions here.
    pub fn load() -> Result<ProcessSettings, SettingsError> {
        ProcessSettings::read(Path::new(
            &std::env::var_os(VARIABLE).ok_or(SettingsError::NoVariable)?,
        ))
    }

    /// Reads a settings file.
    pub fn read(path: &Path) -> Result<ProcessSettings, SettingsError> {
        ProcessSettings::parse(path, &text_of(path)?)
    }

    /// The settings of a file with defaults filled in, as text of a settings file.
    pub fn show(path: &Path) -> Result<String, SettingsError> {
        ProcessSettings::show_text(path, &text_of(path)?)
    }

    /// The same for a text; `path` is for error messages only.
    pub fn show_text(path: &Path, text: &str) -> Result<String, SettingsError> {
        let fields = Fields::read(path, text)?;
        ProcessSettings::from_fields(path, &fields)?;
        Ok(fields.show())
    }

    /// Parses and validates a text; `path` is for error messages only.
    pub fn parse(path: &Path, text: &str) -> Result<ProcessSettings, SettingsError> {
        ProcessSettings::from_fields(path, &Fields::read(path, text)?)
    }

    fn from_fields(path: &Path, fields: &Fields) -> Result<ProcessSettings, SettingsError> {
        let node_name: String = fields.required("node_name", "a name")?;
        let (role, machine_class) = (fields.text("role"), fields.text("machine_class"));
        let served_roles = fields.list("served_roles", "names joined by commas")?;
        let ip: IpAddr = fields.required("ip_address", "an IP address such as 10.1.0.21")?;
        let (zone, region) = (fields.text("zone"), fields.text("region"));
        let regions = fields.with_prefix("zones.").into_iter().collect();
        let listen = Listen {
            front: fields.address("listen_addresses.front_http")?,
            readiness: fields.address("listen_addresses.readiness")?,
            control: fields.address("listen_addresses.control_plane")?,
            metrics: None,
        };
        let (internal_port, last_internal_port) = internal_ports(fields)?;
        let seeds = fields.list("seed_nodes", "addresses such as 10.1.0.21:8683")?;
        let first_start = fields.flag("first_start", false)?;
        let counted = fields.flag("counts_toward_quorum", false)?;
        Ok(ProcessSettings {
            path: path.to_owned(),
            node_name,
            role,
            machine_class,
            served_roles,
            ip,
            zone,
            region,
            regions,
            listen,
            internal_port,
            last_internal_port,
            seeds,
            first_start,
            counts_toward_quorum: counted,
            cpu_share: fields.number("limits.cpu_share", 0.0..=1e6, 1.0)?,
            cpu_cores: fields.number("limits.cpu_cores", 0.0..=1e6, 1.0)?,
            memory_mb: fields.integer("limits.memory_mb", 1..=MANY, 256)?,
            open_files: fields.integer("limits.max_open_files", 1..=MANY, 1024)?,
            link_mbps: fields.number("limits.link_mbps", 0.0..=1e9, 1_000.0)?,
            disk_mb: fields.integer("limits.disk_mb", 0..=MANY, 0)?,
            data_directory: Some(fields.text("data_directory"))
                .filter(|d| !d.is_empty())
                .map(PathBuf::from),
            discovery: fields.text("discovery"),
            entry_mode: fields.text("entry_mode"),
            heartbeat: fields.duration("heartbeat_ms", PER_MS, 1.0, 1_000.0)?,
            active_contracts: fields.list("active_contracts", "names joined by commas")?,
            tolerated_machines: fields.integer("fault_tolerance.machines", 0..=1_000, 1)? as u32,
            tolerated_zones: fields.integer("fault_tolerance.zones", 0..=1_000, 0)? as u32,
            tolerated_regions: fields.integer("fault_tolerance.regions", 0..=1_000, 0)? as u32,
            bounds: Bounds::read(fields)?,
        })
    }

    /// The address for connections between nodes on another machine.
    pub fn internal_of(&self, machine: IpAddr) -> SocketAddr {
        SocketAddr::new(machine, self.internal_port)
    }
}

fn text_of(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|e| SettingsError::Unreadable {
        path: path.display().to_string(),
        why: e.to_string(),
    })
}

/// The first and the last port for connections between nodes.
fn internal_ports(fields: &Fields) -> Result<(u16, u16), SettingsError> {
    const FIELD: &str = "internal_port_range";
    const WANTED: &str = "two ports above 0, the lower first, such as 7360,7375";
    let ports: String = fields.required(FIELD, WANTED)?;
    let both = ports
        .split_once(',')
        .and_then(|(a, b)| Some((a.trim().parse().ok()?, b.trim().parse().ok()?)));
    both.filter(|(first, last)| *first > 0 && first <= last)
        .ok_or_else(|| fields.invalid(FIELD, &ports, WANTED))
}
