//! The settings object as the operators write it. Field names are those of the operators' pages in snake case; `serde` maps
//! them. Times end in `_us` and are microseconds.
use serde::Deserialize;

/// The whole object.
#[derive(Clone, PartialEq, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Settings {
    /// Names of zones.
    pub areas: Vec<String>,
    /// How many nodes the deployment has.
    #[serde(default = "one")]
    pub balancers: usize,
    /// The operations that clients invoke.
    pub classes: Vec<Class>,
    /// How the list of cache servers arrives: `subscribe` if it has to be requested.
    #[serde(default)]
    pub discovery: String,
    /// Where missing values come from.
    #[serde(default)]
    pub family_info: FamilyInfo,
    /// Names of kinds of cache servers.
    #[serde(default)]
    pub kinds: Vec<String>,
    /// What one invocation may cost.
    pub limits: Limits,
    /// Fraction of its value that an invocation beyond its tenant's quota earns.
    #[serde(default = "full")]
    pub over_share_worth: f64,
    /// The figures of the safety rules.
    pub safety: Safety,
    /// Index of this node among all nodes.
    #[serde(default)]
    pub self_index: usize,
    /// The tenants, with their quotas.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    /// The finest time that this node can tell apart, in microseconds.
    #[serde(default)]
    pub tick_us: i64,
    /// `live` if listed weights follow the load of the moment.
    #[serde(default)]
    pub weights: String,
}

fn one() -> usize {
    1
}
fn full() -> f64 {
    1.0
}

/// An operation that clients invoke.
#[derive(Clone, PartialEq, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Class {
    /// Its name.
    pub name: String,
    /// The latency target grows by this multiple of the invocation's own work.
    #[serde(default)]
    pub aim_stretch: f64,
    /// Latency target, microseconds.
    pub objective_us: i64,
    /// How long clients wait, microseconds.
    pub deadline_us: i64,
    /// `read_like`, `idempotency_key` or `non_idempotent`.
    pub effect: String,
    /// Which cache servers drop a repeat: `all` (or empty), `zone` or `cell`.
    #[serde(default)]
    pub key_scope: String,
    /// Fraction of the value that an answer after the latency target earns.
    #[serde(default)]
    pub late_worth: f64,
    /// Answers are streams.
    #[serde(default)]
    pub stream: bool,
    /// How long repeats are dropped, microseconds.
    #[serde(default)]
    pub window_us: i64,
    /// Billed value of one invocation.
    #[serde(default = "full")]
    pub worth: f64,
}

/// Where missing values come from.
#[derive(Clone, PartialEq, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct FamilyInfo {
    /// `aside` if the node itself fetches from the origin.
    pub mode: String,
    /// Index of the origin's kind in [`Settings::kinds`]; negative if there is none.
    pub origin_kind: i64,
}

impl Default for FamilyInfo {
    fn default() -> Self {
        FamilyInfo {
            mode: String::new(),
            origin_kind: -1,
        }
    }
}

/// What one invocation may cost, and how connections are used.
#[derive(Clone, PartialEq, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Limits {
    /// Forwards may be withdrawn.
    #[serde(default)]
    pub cancel: bool,
    /// An idle connection is closed by the other side after this time, microseconds; 0: not stated.
    #[serde(default)]
    pub conn_idle_us: i64,
    /// A connection that is not established by then never is, microseconds; 0: not stated.
    #[serde(default)]
    pub dial_timeout_us: i64,
    /// Most forwards for one invocation.
    pub max_attempts: usize,
    /// Longest `Retry-After`, microseconds.
    #[serde(default)]
    pub max_retry_after_us: i64,
    /// Nodes may send gossip to each other.
    #[serde(default)]
    pub peers: bool,
    /// Health checks are allowed.
    #[serde(default)]
    pub may_probe: bool,
    /// Throttling replies may carry `Retry-After`.
    #[serde(default)]
    pub retry_after: bool,
    /// Hedged requests are allowed.
    #[serde(default)]
    pub second_copies: bool,
}

/// The figures of the safety rules.
#[derive(Clone, PartialEq, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Safety {
    /// How long after a client's deadline its answer may still come, microseconds.
    pub answer_slack_us: i64,
    /// How often the list has to be requested at least, microseconds.
    #[serde(default)]
    pub ask_every_us: i64,
    /// How long after it learns that a cache server drains a node may still send there, microseconds.
    #[serde(default)]
    pub drain_grace_us: i64,
    /// Capacity of a cache server at its start, as a fraction of that when it is warm.
    pub start_capacity: f64,
    /// Warm-up period of a cache server, microseconds.
    pub cold_us: i64,
    /// Multiple of its capacity above which a cache server that warms up collapses.
    pub fall_multiple: f64,
    /// How long the load must stay above that multiple, microseconds.
    pub fall_us: i64,
    /// Only draining binds: a cache server that is listed as removed, or no more, may still get requests.
    #[serde(default)]
    pub gone_is_advice: bool,
}

/// A tenant and its quota.
#[derive(Clone, PartialEq, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Invocations a second that it may make, over all nodes.
    pub quota_per_s: f64,
    /// Its share of the capacity.
    pub share: f64,
}
