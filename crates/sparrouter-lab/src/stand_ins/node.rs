//! Real nodes as processes: their configuration, start, signals and what procfs tells of them.
use super::Lab;
use crate::scenario::{Effect, Scenario};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// What is asked of procfs now and then.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Seconds of CPU since its start.
    pub cpu_s: f64,
    /// Resident memory, in MB.
    pub memory_mb: f64,
    /// Open descriptors.
    pub descriptors: usize,
}

/// What runs as a node, and what distinguishes it from another version.
#[derive(Clone, Debug, Default)]
pub struct Version {
    /// Path of the program.
    pub program: PathBuf,
    /// Its arguments.
    pub args: Vec<String>,
    /// Its environment, beside the lab's own.
    pub envs: Vec<(String, String)>,
    /// Fields of the settings that stand otherwise.
    pub settings: serde_json::Map<String, Value>,
    /// What it says of itself where reports are wanted.
    pub generation: Option<String>,
}

/// A node as a process, across its restarts.
pub struct Node {
    /// Its number, from 0.
    pub number: usize,
    /// Where it listens for clients.
    pub at: SocketAddr,
    /// What runs there.
    pub version: Version,
    folder: PathBuf,
    child: Option<Child>,
    /// CPU of processes that have ended.
    earlier_cpu_s: f64,
    last: Usage,
}

/// The settings object of a node, with the names that operators use.
fn settings(s: &Scenario, own: usize, nodes: usize) -> Value {
    let us = |ms: f64| (ms * 1e3) as i64;
    let classes: Vec<Value> = s.operation.iter().map(|o| {
        let effect = match o.effect {
            Effect::Idempotent => "read_like",
            Effect::Deduplicated => "idempotency_key",
            Effect::NonIdempotent => "non_idempotent",
        };
        json!({"Name": o.name, "DeadlineUs": us(o.client_timeout_ms as f64), "ObjectiveUs": us(o.objective_ms as f64),
            "Effect": effect, "KeyScope": "all", "WindowUs": us(o.window_ms as f64), "Worth": o.billed_value})
    }).collect();
    let tenants: Vec<Value> = s
        .tenant
        .iter()
        .map(|t| json!({"Name": t.name, "QuotaPerS": t.quota_per_s, "Share": t.share}))
        .collect();
    let zones: Vec<String> = (0..s.caches.zones).map(|z| format!("z{z}")).collect();
    json!({
        "Areas": zones, "Balancers": nodes, "SelfIndex": own, "Discovery": "subscribe", "TickUs": 5000,
        "Kinds": ["cache", "origin"], "FamilyInfo": {"Mode": "aside", "OriginKind": 1},
        "Classes": classes, "Tenants": tenants, "OverShareWorth": 0.05, "Weights": "nominal",
        "Limits": {"MaxAttempts": s.nodes.max_forwards, "Cancel": true, "MayProbe": s.nodes.may_probe,
            "Peers": s.peers.allowed && s.most_nodes() > 1, "SecondCopies": s.nodes.second_copies,
            "RetryAfter": s.nodes.max_retry_after_ms > 0, "MaxRetryAfterUs": us(s.nodes.max_retry_after_ms as f64),
            "DialTimeoutUs": 250_000, "ConnIdleUs": us(s.caches.idle_s * 1e3)},
        "Safety": {"AnswerSlackUs": 20_000, "AskEveryUs": us(s.rules.ask_every_s * 1e3),
            "StartCapacity": s.caches.cold_from, "ColdUs": us(s.caches.cold_s * 1e3),
            "FallMultiple": s.rules.fall_multiple, "FallUs": us(s.rules.fall_s * 1e3)},
    })
}

/// Lays fields over an object, table by table.
fn merge_fields(object: &mut Value, fields: &serde_json::Map<String, Value>) {
    for (name, value) in fields {
        match (value, object.get_mut(name)) {
            (Value::Object(inner), Some(there @ Value::Object(_))) => merge_fields(there, inner),
            _ => object[name] = value.clone(),
        }
    }
}

/// What changes from one start to the next.
pub struct Start<'a> {
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// The endpoint list that it is given.
    pub known: Value,
    /// Of all nodes that there are now.
    pub peers: &'a [SocketAddr],
    /// Where it listens for gossip.
    pub peer_listen: SocketAddr,
    /// Starts of nodes so far: each gets another seed.
    pub starts: u64,
}

impl Node {
    /// `program`: what is run, with the configuration named by `PROXY_CONFIG`.
    pub fn new(number: usize, at: SocketAddr, version: Version, folder: &Path) -> Node {
        let folder = folder.join(format!("n{number}"));
        Node {
            number,
            at,
            version,
            folder,
            child: None,
            earlier_cpu_s: 0.0,
            last: Usage::default(),
        }
    }

    /// Where its reports go, where it makes any.
    pub fn report(&self) -> PathBuf {
        self.folder.join("report.jsonl")
    }

    fn configure(&self, lab: &Lab, start: &Start) -> std::io::Result<PathBuf> {
        let s = &lab.scenario;
        let seed =
            crate::scenario::arrivals::scramble(s.seed ^ (self.number as u64) << 32 ^ start.starts);
        let mut own = settings(s, self.number, start.peers.len());
        merge_fields(&mut own, &self.version.settings);
        let config = json!({
            "name": format!("n{}", self.number), "listen": self.at, "discovery": start.discovery,
            "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": s.nodes.memory_mb, "sockets": s.nodes.sockets},
            "peer_listen": start.peer_listen, "peers": start.peers, "known": start.known,
            "settings": own,
        });
        std::fs::create_dir_all(&self.folder)?;
        let path = self.folder.join("config.json");
        // Whole or not at all: a node may read it at any moment.
        let fresh = self.folder.join("config.new");
        std::fs::write(&fresh, serde_json::to_string_pretty(&config)?)?;
        std::fs::rename(&fresh, &path)?;
        Ok(path)
    }

    /// Starts its process with a fresh configuration.
    ///
    /// # Errors
    ///
    /// Its files cannot be written, or the program not be started.
    pub fn start(&mut self, lab: &Lab, start: &Start) -> std::io::Result<()> {
        let config = self.configure(lab, start)?;
        let log = self.folder.join("log.txt");
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)?;
        let mut command = Command::new(&self.version.program);
        let shares = lab.scenario.shares;
        if self.version.generation.is_some() || shares.is_some() {
            let operator = self.folder.join("operator.toml");
            let generation = self.version.generation.clone().unwrap_or_default();
            let mut text = format!(
                "[identity]\ngeneration = {generation:?}\n[report]\npath = {:?}\nevery_ms = {}\nkeep_kib = 1048576\n",
                self.report(),
                if shares.is_some() { 100 } else { 250 }
            );
            if let Some(s) = shares {
                let ms = |s: f64| (s * 1e3) as u64;
                let (informed, lease, window) = (ms(s.informed_s), ms(s.lease_s), ms(s.window_s));
                text += &format!(
                    "[shares]\ninformed_ms = {informed}\nlease_ms = {lease}\nwindow_ms = {window}\nnotes = {}\n",
                    s.notes
                );
            }
            std::fs::write(&operator, text)?;
            command.env("SPARROUTER_CONFIG", operator);
        }
        let child = command
            .args(&self.version.args)
            .envs(self.version.envs.iter().cloned())
            .env("PROXY_CONFIG", config)
            .env(
                "RUST_LOG",
                std::env::var("RUST_LOG").unwrap_or_else(|_| "info".into()),
            )
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// A new configuration, and word that it is there.
    ///
    /// # Errors
    ///
    /// Its file cannot be written.
    pub fn reconfigure(&mut self, lab: &Lab, start: &Start) -> std::io::Result<()> {
        self.configure(lab, start)?;
        self.signal(Signal::SIGHUP);
        Ok(())
    }

    fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // One of ours that has not been waited for: the number can't be another's.
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }
    /// Stops it where it is (SIGSTOP), or lets it go on.
    pub fn pause(&self, on: bool) {
        self.signal(if on { Signal::SIGSTOP } else { Signal::SIGCONT });
    }
    /// Asks it to shut down (SIGTERM).
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }
    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        self.usage();
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.earlier_cpu_s += std::mem::take(&mut self.last).cpu_s;
    }
    /// True where it ended by itself since it was last asked.
    pub fn take_exited(&mut self) -> bool {
        let over = self
            .child
            .as_mut()
            .is_some_and(|c| !matches!(c.try_wait(), Ok(None)));
        if over {
            self.child = None;
            self.earlier_cpu_s += std::mem::take(&mut self.last).cpu_s;
        }
        over
    }
    /// Id of its process, where one runs.
    pub fn process(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }
    /// A process of it was started and not yet seen to end.
    pub fn running(&self) -> bool {
        self.child.is_some()
    }

    /// Its usage of resources, with the CPU time of its earlier processes.
    pub fn usage(&mut self) -> Usage {
        if let Some(usage) = self.child.as_ref().and_then(|c| usage(c.id())) {
            self.last = usage;
        }
        Usage {
            cpu_s: self.earlier_cpu_s + self.last.cpu_s,
            ..self.last
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// From procfs; none where the process is gone.
pub fn usage(pid: u32) -> Option<Usage> {
    // Clock ticks are 100 a second on every Linux that Rust's standard library runs on by default.
    const TICKS: f64 = 100.0;
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let memory = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib: f64 = memory
        .and_then(|m| m.split_whitespace().next())
        .and_then(|m| m.parse().ok())
        .unwrap_or(0.0);
    let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |d| d.count());
    Some(Usage {
        cpu_s: ticks / TICKS,
        memory_mb: kib / 1024.0,
        descriptors,
    })
}
