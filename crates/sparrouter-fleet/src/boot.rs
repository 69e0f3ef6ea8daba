//! The settings file of a process: read with a library, checked whole, every fault named by its field.
//! Unknown fields are passed over. Source: DEPLOY.md of the operators, "Settings of a process".
mod fields;

use fields::Fields;
use sparrouter_routing::BudgetTerms;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Where the path of the settings file stands.
pub const VARIABLE: &str = "SPARROUTER_BOOT";

#[derive(Debug, thiserror::Error)]
pub enum BootError {
    #[error("{VARIABLE} is not set: let it name the settings file")]
    NoVariable,
    #[error("{path}: cannot be read ({why}): check that the file exists and its owner may read it")]
    Unreadable { path: String, why: String },
    #[error("{path}: not lines of a.b=value ({why}): mend the line")]
    Malformed { path: String, why: String },
    #[error("{path}: {field} is missing: add a line {field}=…")]
    Missing { path: String, field: String },
    #[error("{path}: {field}={value} is not {wanted}: mend that line")]
    Value {
        path: String,
        field: String,
        value: String,
        wanted: String,
    },
}

/// Where this process listens; an address that is not given is not served.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listen {
    pub front: Option<SocketAddr>,
    pub readiness: Option<SocketAddr>,
    pub control: Option<SocketAddr>,
}

/// The figures of the rules that are in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    pub seed_lag: Duration,
    pub address_reuse: Duration,
    pub contact: Duration,
    pub ack_timeout: Duration,
    pub catch_up: Duration,
    pub drain_timeout: Duration,
    pub grace: Duration,
    pub loss_slack: Duration,
    pub config_apply: Duration,
    pub rollback_slack: Duration,
    pub max_stretch: Duration,
    pub strict_revocation: bool,
    pub revoke_timeout: Duration,
    pub lease: Duration,
    pub thaw: Duration,
    pub version: Duration,
    /// 0: no bound.
    pub version_all: Duration,
    pub transit: Duration,
    pub again: Duration,
    pub recovery: Duration,
    pub retry_budget_ratio: f64,
    pub retry_budget_slack: f64,
    pub budget_window: Duration,
    pub fencing: bool,
}

impl Bounds {
    pub fn budget(&self) -> BudgetTerms {
        BudgetTerms {
            ratio: self.retry_budget_ratio,
            slack: self.retry_budget_slack,
            window: nanos(self.budget_window),
        }
    }
}

/// All that a process is told when it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Boot {
    pub path: PathBuf,
    pub node_name: String,
    /// As the deploy file calls it; the subcommand decides what the process does.
    pub role: String,
    pub machine_class: String,
    pub served_roles: Vec<String>,
    pub ip: IpAddr,
    pub zone: String,
    pub region: String,
    pub regions: HashMap<String, String>,
    pub listen: Listen,
    /// The first of the ports that nodes talk to each other on, alike on all machines.
    pub internal_port: u16,
    pub last_internal_port: u16,
    pub seeds: Vec<SocketAddr>,
    pub first_start: bool,
    pub counted: bool,
    /// Part of a core that the machine has, and how many times as fast it runs.
    pub cpu_share: f64,
    pub cpu_cores: f64,
    pub memory_mb: u64,
    pub open_files: u64,
    pub link_mbps: f64,
    /// 0: no disk.
    pub disk_mb: u64,
    pub data: Option<PathBuf>,
    pub discovery: String,
    pub entry_mode: String,
    pub heartbeat: Duration,
    /// Parts of the rules that are in force.
    pub active_contracts: Vec<String>,
    /// What may be lost at the same time: machines that count, or zones, or regions.
    pub tolerated_machines: u32,
    pub tolerated_zones: u32,
    pub tolerated_regions: u32,
    pub bounds: Bounds,
}

pub fn nanos(of: Duration) -> u64 {
    of.as_nanos().min(u128::from(u64::MAX)) as u64
}

/// Most of anything that is counted in a settings file.
const MANY: u64 = 1_000_000_000;

impl Bounds {
    fn read(f: &Fields) -> Result<Bounds, BootError> {
        let ms = |field: &str, usual: f64| f.span(field, 1e3, 0.0, usual);
        let s = |field: &str, usual: f64| f.span(field, 1.0, 0.0, usual);
        Ok(Bounds {
            seed_lag: s("bounds.seed_lag_s", 3.0)?,
            address_reuse: s("bounds.address_reuse_s", 2.0)?,
            contact: ms("bounds.contact_ms", 3_000.0)?,
            ack_timeout: ms("bounds.ack_timeout_ms", 4_000.0)?,
            catch_up: s("bounds.catch_up_s", 4.0)?,
            drain_timeout: ms("bounds.drain_timeout_ms", 2_000.0)?,
            grace: s("bounds.grace_period_s", 8.0)?,
            loss_slack: ms("bounds.loss_slack_ms", 200.0)?,
            config_apply: ms("bounds.config_apply_ms", 2_000.0)?,
            rollback_slack: ms("bounds.rollback_slack_ms", 250.0)?,
            max_stretch: ms("bounds.max_stretch_ms", 5_000.0)?,
            strict_revocation: f.flag("bounds.strict_revocation", false)?,
            revoke_timeout: ms("bounds.revoke_timeout_ms", 5_000.0)?,
            retry_budget_ratio: f.number("bounds.retry_budget_ratio", 0.0..=100.0, 0.2)?,
            budget_window: s("bounds.budget_window_s", 10.0)?,
            retry_budget_slack: f.number("bounds.retry_budget_slack", 0.0..=1e9, 10.0)?,
            recovery: s("bounds.recovery_s", 12.0)?,
            transit: ms("bounds.transit_ms", 120.0)?,
            again: s("bounds.again_s", 0.0)?,
            fencing: f.flag("bounds.fencing_enabled", true)?,
            lease: ms("bounds.lease_ms", 3_000.0)?,
            thaw: ms("bounds.thaw_ms", 300.0)?,
            version: ms("bounds.version_ms", 8_000.0)?,
            version_all: ms("bounds.version_all_ms", 0.0)?,
        })
    }
}

impl Boot {
    /// From the file that the environment names.
    pub fn load() -> Result<Boot, BootError> {
        Boot::read(Path::new(
            &std::env::var_os(VARIABLE).ok_or(BootError::NoVariable)?,
        ))
    }

    pub fn read(path: &Path) -> Result<Boot, BootError> {
        Boot::parse(path, &text_of(path)?)
    }

    /// The settings of a file as they are used, themselves a settings file.
    pub fn show(path: &Path) -> Result<String, BootError> {
        Boot::show_text(path, &text_of(path)?)
    }

    /// `path` is only for what errors say.
    pub fn show_text(path: &Path, text: &str) -> Result<String, BootError> {
        let fields = Fields::read(path, text)?;
        Boot::take(path, &fields)?;
        Ok(fields.show())
    }

    /// Checks the whole text; `path` is only for what errors say.
    pub fn parse(path: &Path, text: &str) -> Result<Boot, BootError> {
        Boot::take(path, &Fields::read(path, text)?)
    }

    fn take(path: &Path, f: &Fields) -> Result<Boot, BootError> {
        let node_name: String = f.needed("node_name", "a name")?;
        let (role, machine_class) = (f.text("role"), f.text("machine_class"));
        let served_roles = f.list("served_roles", "names joined by commas")?;
        let ip: IpAddr = f.needed("ip_address", "an IP address such as 10.1.0.21")?;
        let (zone, region) = (f.text("zone"), f.text("region"));
        let regions = f.under("zones.").into_iter().collect();
        let listen = Listen {
            front: f.address("listen_addresses.front_http")?,
            readiness: f.address("listen_addresses.readiness")?,
            control: f.address("listen_addresses.control_plane")?,
        };
        let (internal_port, last_internal_port) = internal_ports(f)?;
        let seeds = f.list("seed_nodes", "addresses such as 10.1.0.21:8683")?;
        let first_start = f.flag("first_start", false)?;
        let counted = f.flag("counts_toward_quorum", false)?;
        Ok(Boot {
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
            counted,
            cpu_share: f.number("limits.cpu_share", 0.0..=1e6, 1.0)?,
            cpu_cores: f.number("limits.cpu_cores", 0.0..=1e6, 1.0)?,
            memory_mb: f.whole("limits.memory_mb", 1..=MANY, 256)?,
            open_files: f.whole("limits.max_open_files", 1..=MANY, 1024)?,
            link_mbps: f.number("limits.link_mbps", 0.0..=1e9, 1_000.0)?,
            disk_mb: f.whole("limits.disk_mb", 0..=MANY, 0)?,
            data: Some(f.text("data_directory"))
                .filter(|d| !d.is_empty())
                .map(PathBuf::from),
            discovery: f.text("discovery"),
            entry_mode: f.text("entry_mode"),
            heartbeat: f.span("heartbeat_ms", 1e3, 1.0, 1_000.0)?,
            active_contracts: f.list("active_contracts", "names joined by commas")?,
            tolerated_machines: f.whole("fault_tolerance.machines", 0..=1_000, 1)? as u32,
            tolerated_zones: f.whole("fault_tolerance.zones", 0..=1_000, 0)? as u32,
            tolerated_regions: f.whole("fault_tolerance.regions", 0..=1_000, 0)? as u32,
            bounds: Bounds::read(f)?,
        })
    }

    /// Where another node on that machine takes the calls of nodes.
    pub fn internal_of(&self, machine: IpAddr) -> SocketAddr {
        SocketAddr::new(machine, self.internal_port)
    }
}

fn text_of(path: &Path) -> Result<String, BootError> {
    std::fs::read_to_string(path).map_err(|e| BootError::Unreadable {
        path: path.display().to_string(),
        why: e.to_string(),
    })
}

fn internal_ports(f: &Fields) -> Result<(u16, u16), BootError> {
    const FIELD: &str = "internal_port_range";
    const WANTED: &str = "two ports above 0, the lower first, such as 7360,7375";
    let ports: String = f.needed(FIELD, WANTED)?;
    let two = ports
        .split_once(',')
        .and_then(|(a, b)| Some((a.trim().parse().ok()?, b.trim().parse().ok()?)));
    two.filter(|(first, last)| *first > 0 && first <= last)
        .ok_or_else(|| f.wrong(FIELD, &ports, WANTED))
}
