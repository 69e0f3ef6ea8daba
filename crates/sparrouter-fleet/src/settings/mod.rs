//! The settings file of a process. It is parsed with a library, then validated as a whole. Each error names its field;
//! unknown fields are ignored. Source: the operators' DEPLOY.md, "Settings of a process".
//!
//! | module | responsibility |
//! | --- | --- |
//! | `bounds` | the limits that the operators' rules refer to |
//! | `error` | the errors of a settings file |
//! | `fields` | typed access to the fields of a settings file |
mod bounds;
mod error;
mod fields;

pub use bounds::Bounds;
pub use error::SettingsError;

use fields::{Fields, MS_PER_SECOND};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The endpoints that a process serves in addition to the one for other nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Serves clients; also servers and operators if the settings have a control address.
    Proxy,
    /// Serves servers and operators only.
    Control,
}

/// The environment variable that holds the path of the settings file.
pub const VARIABLE: &str = "SPARROUTER_BOOT";

/// The addresses that a process listens on. An endpoint without an address is not served.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listen {
    /// Address for clients.
    pub front: Option<SocketAddr>,
    /// Address for readiness checks of the platform.
    pub readiness: Option<SocketAddr>,
    /// Address for servers and operators.
    pub control: Option<SocketAddr>,
    /// Address for metrics scrapers. It is not a field of the file; a command-line option sets its port.
    pub metrics: Option<SocketAddr>,
}

/// The settings of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessSettings {
    /// Path of the settings file, for messages and to reread the seeds.
    pub path: PathBuf,
    /// Name of the node, the same after a restart.
    pub node_name: String,
    /// Role in the deploy file. Informational: the subcommand sets the role of the process.
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
    /// Last of the ports for connections between nodes.
    pub last_internal_port: u16,
    /// Control addresses of the seed nodes, which this node contacts first.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time, on empty disks.
    pub first_start: bool,
    /// Whether the node counts toward the quorum.
    pub counts_toward_quorum: bool,
    /// Share of a processor core that the machine has.
    pub cpu_share: f64,
    /// Speed of the machine's processor core, as a multiple of a reference core.
    pub cpu_cores: f64,
    /// Memory of the machine in MB.
    pub memory_mb: u64,
    /// Maximum number of open file descriptors.
    pub open_files: u64,
    /// Bandwidth of the machine's link, in megabits a second.
    pub link_mbps: f64,
    /// Size of the disk in MB; 0 if there is no disk.
    pub disk_mb: u64,
    /// Directory for data that must survive a restart; `None` if the process keeps no data.
    pub data_directory: Option<PathBuf>,
    /// How servers are found. Informational.
    pub discovery: String,
    /// How clients reach the fleet. Informational.
    pub entry_mode: String,
    /// Time between two heartbeats of a server.
    pub heartbeat: Duration,
    /// Groups of rules that are in force.
    pub active_contracts: Vec<String>,
    /// Maximum number of machines counted toward the quorum that may be lost at the same time.
    pub tolerated_machines: u32,
    /// Maximum number of zones that may be lost at the same time.
    pub tolerated_zones: u32,
    /// Maximum number of regions that may be lost at the same time.
    pub tolerated_regions: u32,
    /// Limits that the rules refer to.
    pub bounds: Bounds,
}

/// A duration in nanoseconds; at most `u64::MAX`.
pub fn nanos(duration: Duration) -> u64 {
    duration.as_nanos().min(u128::from(u64::MAX)) as u64
}

/// Description of a list of names in error messages.
const NAMES: &str = "names joined by commas";
/// Largest whole number in a settings file.
const MAX_INTEGER: u64 = 1_000_000_000;

impl ProcessSettings {
    /// Reads the file that the environment variable [`VARIABLE`] names.
    ///
    /// # Errors
    ///
    /// A [`SettingsError`] for the first problem found.
    pub fn load() -> Result<ProcessSettings, SettingsError> {
        ProcessSettings::read(Path::new(
            &std::env::var_os(VARIABLE).ok_or(SettingsError::NoVariable)?,
        ))
    }

    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// A [`SettingsError`] for the first problem found.
    pub fn read(path: &Path) -> Result<ProcessSettings, SettingsError> {
        ProcessSettings::parse(path, &text_of(path)?)
    }

    /// The settings of a file with defaults filled in, as text of a settings file.
    ///
    /// # Errors
    ///
    /// A [`SettingsError`] for the first problem found.
    pub fn show(path: &Path) -> Result<String, SettingsError> {
        ProcessSettings::show_text(path, &text_of(path)?)
    }

    /// The settings of a settings file's text with defaults filled in, as [`ProcessSettings::show`] returns them;
    /// `path` is for error messages only.
    ///
    /// # Errors
    ///
    /// A [`SettingsError`] for the first problem found.
    pub fn show_text(path: &Path, text: &str) -> Result<String, SettingsError> {
        let fields = Fields::read(path, text)?;
        ProcessSettings::from_fields(path, &fields)?;
        Ok(fields.show())
    }

    /// Parses and validates the text of a settings file; `path` is for error messages only.
    ///
    /// # Errors
    ///
    /// A [`SettingsError`] for the first problem found.
    pub fn parse(path: &Path, text: &str) -> Result<ProcessSettings, SettingsError> {
        ProcessSettings::from_fields(path, &Fields::read(path, text)?)
    }

    fn from_fields(path: &Path, fields: &Fields) -> Result<ProcessSettings, SettingsError> {
        let identity = Identity::read(fields)?;
        let listen = Listen::read(fields)?;
        let (internal_port, last_internal_port) = internal_ports(fields)?;
        let seeds = fields.list("seed_nodes", "addresses such as 10.1.0.21:8683")?;
        let first_start = fields.flag("first_start", false)?;
        let counts_toward_quorum = fields.flag("counts_toward_quorum", false)?;
        Ok(ProcessSettings {
            path: path.to_owned(),
            node_name: identity.node_name,
            role: identity.role,
            machine_class: identity.machine_class,
            served_roles: identity.served_roles,
            ip: identity.ip,
            zone: identity.zone,
            region: identity.region,
            regions: identity.regions,
            listen,
            internal_port,
            last_internal_port,
            seeds,
            first_start,
            counts_toward_quorum,
            cpu_share: fields.number("limits.cpu_share", 0.0..=1e6, 1.0)?,
            cpu_cores: fields.number("limits.cpu_cores", 0.0..=1e6, 1.0)?,
            memory_mb: fields.integer("limits.memory_mb", 1..=MAX_INTEGER, 256)?,
            open_files: fields.integer("limits.max_open_files", 1..=MAX_INTEGER, 1024)?,
            link_mbps: fields.number("limits.link_mbps", 0.0..=1e9, 1_000.0)?,
            disk_mb: fields.integer("limits.disk_mb", 0..=MAX_INTEGER, 0)?,
            data_directory: Some(fields.text("data_directory"))
                .filter(|d| !d.is_empty())
                .map(PathBuf::from),
            discovery: fields.text("discovery"),
            entry_mode: fields.text("entry_mode"),
            heartbeat: fields.duration("heartbeat_ms", MS_PER_SECOND, 1.0, 1_000.0)?,
            active_contracts: fields.list("active_contracts", NAMES)?,
            tolerated_machines: fields.integer("fault_tolerance.machines", 0..=1_000, 1)? as u32,
            tolerated_zones: fields.integer("fault_tolerance.zones", 0..=1_000, 0)? as u32,
            tolerated_regions: fields.integer("fault_tolerance.regions", 0..=1_000, 0)? as u32,
            bounds: Bounds::read(fields)?,
        })
    }

    /// Warnings about seeds that this node cannot reach, with the remedy. The settings name a seed by its control
    /// address; its internal address is derived from that IP address and this node's own internal port. Another node on
    /// this node's IP address is therefore unreachable, since it cannot listen on the same port.
    pub fn seed_warnings(&self) -> Vec<String> {
        let is_other_node = |seed: &&SocketAddr| {
            seed.ip() == self.ip && self.listen.control.is_none_or(|own| own != **seed)
        };
        let warning = |seed: &SocketAddr| {
            format!(
                "seed_nodes: {seed} is another node on this node's own IP address and can't be reached: give each node an \
                 IP address of its own, on one machine 127.0.0.1, 127.0.0.2 and so on"
            )
        };
        self.seeds
            .iter()
            .filter(is_other_node)
            .map(warning)
            .collect()
    }

    /// The address on `machine` for connections between nodes.
    pub fn internal_of(&self, machine: IpAddr) -> SocketAddr {
        SocketAddr::new(machine, self.internal_port)
    }
}

/// Name, role and location of the node.
struct Identity {
    node_name: String,
    role: String,
    machine_class: String,
    served_roles: Vec<String>,
    ip: IpAddr,
    zone: String,
    region: String,
    regions: HashMap<String, String>,
}

impl Identity {
    /// Reads the fields in the order in which [`ProcessSettings::show`] prints them.
    fn read(fields: &Fields) -> Result<Identity, SettingsError> {
        Ok(Identity {
            node_name: fields.required("node_name", "a name")?,
            role: fields.text("role"),
            machine_class: fields.text("machine_class"),
            served_roles: fields.list("served_roles", NAMES)?,
            ip: fields.required("ip_address", "an IP address such as 10.1.0.21")?,
            zone: fields.text("zone"),
            region: fields.text("region"),
            regions: fields.with_prefix("zones.").into_iter().collect(),
        })
    }
}

impl Listen {
    fn read(fields: &Fields) -> Result<Listen, SettingsError> {
        Ok(Listen {
            front: fields.address("listen_addresses.front_http")?,
            readiness: fields.address("listen_addresses.readiness")?,
            control: fields.address("listen_addresses.control_plane")?,
            metrics: None,
        })
    }
}

fn text_of(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|e| SettingsError::Unreadable {
        path: path.display().to_string(),
        reason: e.to_string(),
    })
}

/// Reads the first and the last port for connections between nodes.
fn internal_ports(fields: &Fields) -> Result<(u16, u16), SettingsError> {
    const FIELD: &str = "internal_port_range";
    const EXPECTED: &str = "two ports above 0, the lower first, such as 7360,7375";
    let ports: String = fields.required(FIELD, EXPECTED)?;
    let both = ports
        .split_once(',')
        .and_then(|(a, b)| Some((a.trim().parse().ok()?, b.trim().parse().ok()?)));
    both.filter(|(first, last)| *first > 0 && first <= last)
        .ok_or_else(|| fields.invalid(FIELD, &ports, EXPECTED))
}
