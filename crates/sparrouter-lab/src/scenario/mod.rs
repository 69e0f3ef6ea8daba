//! What a person writes down: the fleet, the load, the faults. Read and checked as a whole before
//! anything starts.
pub mod arrivals;
mod check;
pub mod faults;
pub mod rollout;
pub mod schedule;

use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};

pub use faults::Fault;
pub use rollout::Rollout;

/// Why a scenario can't be played; one line a problem, each with file, line and field.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The file cannot be read.
    #[error("{0}: {1}")]
    Unreadable(PathBuf, std::io::Error),
    /// Its contents are not valid: a line for each problem.
    #[error("{}", .0.join("\n"))]
    Problem(Vec<String>),
}

/// A scenario as its TOML file states it; see [`Scenario::read`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario, for reports.
    pub name: String,
    /// What it is for, in a sentence.
    #[serde(default)]
    pub about: String,
    /// Seed of all random draws.
    pub seed: u64,
    /// Arrivals come for so long.
    pub length_s: f64,
    /// The nodes under test.
    #[serde(default)]
    pub nodes: Nodes,
    /// The cache servers.
    #[serde(default)]
    pub caches: Caches,
    /// The origin.
    #[serde(default)]
    pub origin: Origin,
    /// How fast discovery learns of changes.
    #[serde(default)]
    pub discovery: Discovery,
    /// The network between nodes.
    #[serde(default)]
    pub peers: Peers,
    /// What clients send.
    pub load: Load,
    /// Bounds of the audit.
    #[serde(default)]
    pub rules: Rules,
    /// Kinds of invocations; see [`Scenario::with_defaults`].
    #[serde(default)]
    pub operation: Vec<Operation>,
    /// Who sends; see [`Scenario::with_defaults`].
    #[serde(default)]
    pub tenant: Vec<Tenant>,
    /// Groups that links stand before.
    #[serde(default)]
    pub link: Vec<Link>,
    /// Faults, in any order.
    #[serde(default)]
    pub fault: Vec<Fault>,
    /// A change of the nodes in stages, under way while all else goes on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollout: Option<Rollout>,
    /// Tenants' quotas are kept by leases between the nodes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shares: Option<Shares>,
}

/// How nodes share tenants' quotas.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Shares {
    /// Time after which a change of the number of nodes counts as known, in seconds.
    pub informed_s: f64,
    /// Length of a lease, in seconds.
    pub lease_s: f64,
    /// Window within which the sum must hold, in seconds.
    pub window_s: f64,
    /// Borrowed and lent by notes; otherwise each has one over the nodes.
    pub notes: bool,
}

impl Default for Shares {
    fn default() -> Shares {
        Shares {
            informed_s: 1.0,
            lease_s: 1.0,
            window_s: 3.0,
            notes: true,
        }
    }
}

/// The nodes under test and their limits.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Nodes {
    /// Nodes at the beginning.
    pub count: usize,
    /// Memory of each, in MB.
    pub memory_mb: usize,
    /// Descriptors of each.
    pub sockets: usize,
    /// The front goes on dealing clients out to a dead node for so long.
    pub front_notices_s: f64,
    /// Most forwards of one invocation.
    pub max_forwards: usize,
    /// Two forwards of one invocation may be out at once (hedging).
    pub second_copies: bool,
    /// Nodes may send health checks.
    pub may_probe: bool,
    /// Longest advice in a throttling reply; 0: none is allowed.
    pub max_retry_after_ms: u64,
}

impl Default for Nodes {
    fn default() -> Nodes {
        Nodes {
            count: 1,
            memory_mb: 192,
            sockets: 4096,
            front_notices_s: 1.0,
            max_forwards: 4,
            second_copies: false,
            may_probe: true,
            max_retry_after_ms: 1000,
        }
    }
}

/// The cache servers.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Caches {
    /// Cache servers at the beginning.
    pub count: usize,
    /// Cores of each.
    pub cores: usize,
    /// Work done by a core, as a multiple of the yardstick that `work_ms` is in.
    pub speed: f64,
    /// Spread of the speeds: each is drawn up to this part above or below.
    pub speed_spread: f64,
    /// Invocations that wait beyond those on cores; one more is rejected before any of it runs.
    pub waiting: usize,
    /// Connections that one accepts.
    pub connections: usize,
    /// What a new connection costs in work.
    pub connect_ms: f64,
    /// It closes connections that idle for so long.
    pub idle_s: f64,
    /// Keys that one keeps; 0: it holds every key and never misses.
    pub keys: usize,
    /// Fraction of the full speed right after a start.
    pub cold_from: f64,
    /// Time from a start to full speed, in seconds.
    pub cold_s: f64,
    /// Zones that they are spread over.
    pub zones: usize,
    /// Length of a reply's body.
    pub body_bytes: usize,
    /// Work that waits is dropped when its connection is closed.
    pub drops_withdrawn: bool,
}

impl Default for Caches {
    fn default() -> Caches {
        Caches {
            count: 8,
            cores: 2,
            speed: 1.0,
            speed_spread: 0.0,
            waiting: 16,
            connections: 1200,
            connect_ms: 0.0,
            idle_s: 5.0,
            keys: 0,
            cold_from: 0.2,
            cold_s: 10.0,
            zones: 1,
            body_bytes: 32,
            drops_withdrawn: true,
        }
    }
}

/// The origin behind the cache servers.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Origin {
    /// Fetches and writes that it can do in a second.
    pub per_s: f64,
    /// One takes so long when nothing waits.
    pub takes_ms: f64,
    /// It turns away what would wait longer.
    pub queue_s: f64,
    /// Sent this multiple of its capacity for `rules.fall_s`, it stops; 0: never.
    pub stops_at: f64,
    /// How long it stays stopped, in seconds.
    pub stopped_s: f64,
}

impl Default for Origin {
    fn default() -> Origin {
        Origin {
            per_s: 100.0,
            takes_ms: 50.0,
            queue_s: 1.0,
            stops_at: 3.0,
            stopped_s: 4.0,
        }
    }
}

/// How fast discovery learns; each span is in seconds.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Drawn anew for each change: until it knows of a start, and of a drain or end.
    pub add_s: [f64; 2],
    /// Until it knows of a drain or an end.
    pub notice_s: [f64; 2],
    /// Until it notices a process that died without a word.
    pub silent_notice_s: [f64; 2],
}

impl Default for Discovery {
    fn default() -> Discovery {
        Discovery {
            add_s: [0.3, 1.0],
            notice_s: [0.5, 1.5],
            silent_notice_s: [2.0, 4.0],
        }
    }
}

/// The network between nodes.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Peers {
    /// Nodes may send gossip to each other.
    pub allowed: bool,
    /// Shortest and longest delay of gossip, in milliseconds.
    pub delay_ms: [f64; 2],
    /// Fraction of the gossip that is lost.
    pub lost_part: f64,
}

impl Default for Peers {
    fn default() -> Peers {
        Peers {
            allowed: true,
            delay_ms: [2.0, 20.0],
            lost_part: 0.02,
        }
    }
}

/// What clients send.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Arrivals a second at the beginning.
    pub rate_per_s: f64,
    /// Grows evenly to this multiple of the rate at the end.
    #[serde(default = "one")]
    pub ramp_to: f64,
    /// Number of keys.
    #[serde(default = "many")]
    pub keys: usize,
    /// Exponent of the distribution of keys.
    #[serde(default = "one")]
    pub zipf: f64,
    /// Connections to each node at the most; what finds none waits, and its latency counts.
    #[serde(default = "wide")]
    pub connections: usize,
    /// Retries of a client after its first attempt.
    #[serde(default)]
    pub retries: u32,
    /// Time before a retry without advice, in milliseconds.
    #[serde(default = "backoff")]
    pub backoff_ms: f64,
    /// Clients wait for this part of the operation's client timeout, then close.
    #[serde(default = "one")]
    pub try_part: f64,
    /// Invocations whose client closes its connection half way.
    #[serde(default)]
    pub leave_part: f64,
    /// Retries carry `X-Retry`.
    #[serde(default)]
    pub marks_retries: bool,
    /// Its own lateness in dealing arrivals out (p99) past which a run is not valid.
    #[serde(default = "lateness")]
    pub late_ms: f64,
}

fn one() -> f64 {
    1.0
}
fn many() -> usize {
    2000
}
fn wide() -> usize {
    512
}
fn backoff() -> f64 {
    50.0
}
fn lateness() -> f64 {
    5.0
}

/// Bounds of the four rules that the audit judges by.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Nothing new to a cache server later than this after the node was notified.
    pub drain_grace_ms: u64,
    /// A change counts as told after this at the latest, whether or not it arrived.
    pub informed_s: f64,
    /// Work that a cold cache server stands, as a multiple of its capacity.
    pub fall_multiple: f64,
    /// Window in which that is measured, in seconds.
    pub fall_s: f64,
    /// An answer may come so long after the client timeout before it counts as late: the audit's slack.
    pub answer_slack_ms: u64,
    /// Longest time between two calls for the list, in seconds.
    pub ask_every_s: f64,
    /// Part of a stopped origin's load that misses at cold cache servers may be.
    pub cold_misses: f64,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            drain_grace_ms: 500,
            informed_s: 6.0,
            fall_multiple: 2.5,
            fall_s: 1.0,
            answer_slack_ms: 50,
            ask_every_s: 10.0,
            cold_misses: 0.3,
        }
    }
}

/// What repeating an operation does.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Repeating it does no harm.
    Idempotent,
    /// Servers drop a repeat under the same idempotency key.
    Deduplicated,
    /// It must not run twice.
    NonIdempotent,
}

/// A kind of invocation.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// Name, `X-Class` on the wire.
    pub name: String,
    /// Weight among the operations.
    #[serde(default = "one")]
    pub share: f64,
    /// What repeating it does.
    pub effect: Effect,
    /// It changes a value.
    #[serde(default)]
    pub write: bool,
    /// Mean work at a core of speed 1; drawn around it. 0: answered at once.
    #[serde(default)]
    pub work_ms: f64,
    /// Latency target, in milliseconds.
    pub objective_ms: u64,
    /// How long its client waits, in milliseconds.
    pub client_timeout_ms: u64,
    /// Value of an answer within the latency target.
    #[serde(default = "one")]
    pub billed_value: f64,
    /// Cache servers drop a repeat of a deduplicated invocation for so long.
    #[serde(default)]
    pub window_ms: u64,
}

/// Who sends, and its quota.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Name, `X-Tenant` on the wire.
    pub name: String,
    /// Part of the fleet that was agreed on, and of the traffic that it sends.
    pub share: f64,
    /// Weight of its traffic.
    pub sends: f64,
    /// Invocations a second within its quota.
    pub quota_per_s: f64,
}

/// Groups that a link can stand before.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum Before {
    /// The nodes: between them and clients.
    Nodes,
    /// The cache servers.
    Caches,
    /// The origin.
    Origin,
    /// Discovery.
    Discovery,
}

/// A link stands before each of these for the whole run, so that faults can act on it.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// The group.
    pub before: Before,
    /// Delay of each direction, in milliseconds.
    #[serde(default)]
    pub delay_ms: f64,
    /// Largest random addition to the delay, in milliseconds.
    #[serde(default)]
    pub jitter_ms: f64,
}

impl Scenario {
    /// Reads and checks; all that is wrong comes back at once.
    ///
    /// # Errors
    ///
    /// [`ScenarioError::Unreadable`] for the file, [`ScenarioError::Problem`] for its contents.
    pub fn read(path: &Path) -> Result<Scenario, ScenarioError> {
        let text =
            std::fs::read_to_string(path).map_err(|e| ScenarioError::Unreadable(path.into(), e))?;
        Scenario::parse(&path.display().to_string(), &text)
    }

    /// `file` is the name that errors give.
    ///
    /// # Errors
    ///
    /// [`ScenarioError::Problem`].
    pub fn parse(file: &str, text: &str) -> Result<Scenario, ScenarioError> {
        let read: Result<Scenario, toml::de::Error> = toml::from_str(text);
        let scenario = read.map_err(|e| {
            let line = e
                .span()
                .map_or(1, |s| text[..s.start].matches('\n').count() + 1);
            // The field is the key of that line, where it has one.
            let key = text.lines().nth(line - 1).and_then(|l| l.split_once('='));
            let field = key.map_or(String::new(), |(k, _)| format!("{}: ", k.trim()));
            ScenarioError::Problem(vec![format!(
                "{file}:{line}: {field}{}",
                e.message().replace('\n', " ")
            )])
        })?;
        let wrong = check::check(&scenario);
        if wrong.is_empty() {
            return Ok(scenario);
        }
        let line = |w: &check::Problem| {
            format!(
                "{file}:{}: {}: {}",
                check::line(text, &w.field),
                w.field,
                w.reason
            )
        };
        Err(ScenarioError::Problem(wrong.iter().map(line).collect()))
    }

    /// The operations that are played; one plain read where none is named.
    pub fn with_defaults(mut self) -> Scenario {
        if self.operation.is_empty() {
            self.operation.push(Operation {
                name: "read".into(),
                share: 1.0,
                effect: Effect::Idempotent,
                write: false,
                work_ms: 0.0,
                objective_ms: 250,
                client_timeout_ms: 1000,
                billed_value: 1.0,
                window_ms: 0,
            });
        }
        if self.tenant.is_empty() {
            self.tenant.push(Tenant {
                name: "all".into(),
                share: 1.0,
                sends: 1.0,
                quota_per_s: 1e9,
            });
        }
        self
    }

    /// The most nodes that there ever are.
    pub fn most_nodes(&self) -> usize {
        let counts = self.fault.iter().filter_map(|f| match f {
            Fault::Nodes { count, .. } => Some(*count),
            _ => None,
        });
        counts.fold(self.nodes.count, usize::max)
    }
    /// Longest time that any client waits.
    pub fn max_client_timeout_ms(&self) -> u64 {
        self.operation
            .iter()
            .map(|o| o.client_timeout_ms)
            .max()
            .unwrap_or(1000)
    }
}
