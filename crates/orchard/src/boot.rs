//! The settings file of a process: read with a library, checked whole, every fault named by its field.
//! Unknown fields are passed over. Source: DEPLOY.md of the operators, "Settings of a process".
use espalier::BudgetTerms;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::str::FromStr;
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
    Value { path: String, field: String, value: String, wanted: &'static str },
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
    pub contact: Duration,
    pub ack_timeout: Duration,
    pub drain_timeout: Duration,
    pub grace: Duration,
    pub loss_slack: Duration,
    pub config_apply: Duration,
    pub lease: Duration,
    pub thaw: Duration,
    pub version: Duration,
    pub transit: Duration,
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
    pub ip: IpAddr,
    pub zone: String,
    pub region: String,
    pub regions: HashMap<String, String>,
    pub listen: Listen,
    /// The first of the ports that nodes talk to each other on, alike on all machines.
    pub internal_port: u16,
    pub seeds: Vec<SocketAddr>,
    pub first_start: bool,
    pub counted: bool,
    pub memory_mb: u64,
    pub open_files: u64,
    pub data: Option<PathBuf>,
    pub heartbeat: Duration,
    pub tolerated_machines: u32,
    pub bounds: Bounds,
}

pub fn nanos(of: Duration) -> u64 {
    of.as_nanos().min(u128::from(u64::MAX)) as u64
}

struct Fields<'a> {
    path: &'a Path,
    map: HashMap<String, String>,
}

impl Fields<'_> {
    fn text(&self, field: &str) -> Result<&str, BootError> {
        let missing = || BootError::Missing { path: self.path.display().to_string(), field: field.into() };
        self.map.get(field).map(|v| v.trim()).filter(|v| !v.is_empty()).ok_or_else(missing)
    }
    fn parse<T: FromStr>(&self, field: &str, wanted: &'static str) -> Result<T, BootError> {
        let value = self.text(field)?;
        value.parse().map_err(|_| BootError::Value {
            path: self.path.display().to_string(),
            field: field.into(),
            value: value.into(),
            wanted,
        })
    }
    fn or<T: FromStr>(&self, field: &str, wanted: &'static str, usual: T) -> Result<T, BootError> {
        if self.map.contains_key(field) { self.parse(field, wanted) } else { Ok(usual) }
    }
    fn span(&self, field: &str, per_s: f64, usual: f64) -> Result<Duration, BootError> {
        let value: f64 = self.or(field, "a number of 0 or more", usual)?;
        if !(0.0..=1e9).contains(&value) {
            return Err(BootError::Value {
                path: self.path.display().to_string(),
                field: field.into(),
                value: value.to_string(),
                wanted: "a number from 0 to 1e9",
            });
        }
        Ok(Duration::from_secs_f64(value / per_s))
    }
    fn address(&self, field: &str) -> Result<Option<SocketAddr>, BootError> {
        self.map.get(field).map(|_| self.parse(field, "an address such as 10.1.0.21:8683")).transpose()
    }
}

impl Boot {
    /// From the file that the environment names.
    pub fn load() -> Result<Boot, BootError> {
        Boot::read(Path::new(&std::env::var_os(VARIABLE).ok_or(BootError::NoVariable)?))
    }

    pub fn read(path: &Path) -> Result<Boot, BootError> {
        let shown = path.display().to_string();
        let unreadable =
            |e: std::io::Error| BootError::Unreadable { path: shown.clone(), why: e.to_string() };
        let text = std::fs::read_to_string(path).map_err(unreadable)?;
        Boot::parse(path, &text)
    }

    /// Checks the whole text; `path` is only for what errors say.
    pub fn parse(path: &Path, text: &str) -> Result<Boot, BootError> {
        let malformed = |e: java_properties::PropertiesError| BootError::Malformed {
            path: path.display().to_string(),
            why: e.to_string(),
        };
        let map = java_properties::read(text.as_bytes()).map_err(malformed)?;
        let f = Fields { path, map };
        let ports: String = f.parse("internal_port_range", "two ports, such as 7360,7375")?;
        let first = ports.split(',').next().and_then(|p| p.trim().parse().ok());
        let bad = |field: &str, value: &str, wanted| BootError::Value {
            path: path.display().to_string(),
            field: field.into(),
            value: value.into(),
            wanted,
        };
        let internal_port: u16 =
            first.ok_or_else(|| bad("internal_port_range", &ports, "two ports, such as 7360,7375"))?;
        let listed = f.map.get("seed_nodes").map(String::as_str).unwrap_or_default();
        let mut seeds = Vec::new();
        for seed in listed.split(',').map(str::trim).filter(|s| !s.is_empty()) {
            seeds
                .push(seed.parse().map_err(|_| bad("seed_nodes", seed, "addresses such as 10.1.0.21:8683"))?);
        }
        let regions =
            f.map.iter().filter_map(|(k, v)| Some((k.strip_prefix("zones.")?.to_owned(), v.clone())));
        Ok(Boot {
            path: path.to_owned(),
            node_name: f.text("node_name")?.to_owned(),
            ip: f.parse("ip_address", "an IP address")?,
            zone: f.map.get("zone").cloned().unwrap_or_default(),
            region: f.map.get("region").cloned().unwrap_or_default(),
            regions: regions.collect(),
            listen: Listen {
                front: f.address("listen_addresses.front_http")?,
                readiness: f.address("listen_addresses.readiness")?,
                control: f.address("listen_addresses.control_plane")?,
            },
            internal_port,
            seeds,
            first_start: f.or("first_start", "true or false", false)?,
            counted: f.or("counts_toward_quorum", "true or false", false)?,
            memory_mb: f.or("limits.memory_mb", "a whole number", 256)?,
            open_files: f.or("limits.max_open_files", "a whole number", 1024)?,
            data: f
                .map
                .get("data_directory")
                .filter(|d| !d.trim().is_empty())
                .map(|d| PathBuf::from(d.trim())),
            heartbeat: f.span("heartbeat_ms", 1e3, 1_000.0)?,
            tolerated_machines: f.or("fault_tolerance.machines", "a whole number", 1)?,
            bounds: Bounds {
                contact: f.span("bounds.contact_ms", 1e3, 3_000.0)?,
                ack_timeout: f.span("bounds.ack_timeout_ms", 1e3, 4_000.0)?,
                drain_timeout: f.span("bounds.drain_timeout_ms", 1e3, 2_000.0)?,
                grace: f.span("bounds.grace_period_s", 1.0, 8.0)?,
                loss_slack: f.span("bounds.loss_slack_ms", 1e3, 200.0)?,
                config_apply: f.span("bounds.config_apply_ms", 1e3, 2_000.0)?,
                lease: f.span("bounds.lease_ms", 1e3, 3_000.0)?,
                thaw: f.span("bounds.thaw_ms", 1e3, 300.0)?,
                version: f.span("bounds.version_ms", 1e3, 8_000.0)?,
                transit: f.span("bounds.transit_ms", 1e3, 120.0)?,
                recovery: f.span("bounds.recovery_s", 1.0, 12.0)?,
                retry_budget_ratio: f.or("bounds.retry_budget_ratio", "a number", 0.2)?,
                retry_budget_slack: f.or("bounds.retry_budget_slack", "a number", 10.0)?,
                budget_window: f.span("bounds.budget_window_s", 1.0, 10.0)?,
                fencing: f.or("bounds.fencing_enabled", "true or false", true)?,
            },
        })
    }

    /// Where another node on that machine takes the calls of nodes.
    pub fn internal_of(&self, machine: IpAddr) -> SocketAddr {
        SocketAddr::new(machine, self.internal_port)
    }
}
