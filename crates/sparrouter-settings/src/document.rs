//! The settings object in the operators' format. Field names are the operators' names in snake case, mapped by `serde`.
//! Fields that end in `_us` are times in microseconds.
use serde::Deserialize;

/// The settings object.
#[derive(Clone, PartialEq, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Settings {
    /// Names of the availability zones.
    pub areas: Vec<String>,
    /// Number of nodes in the deployment.
    #[serde(default = "one")]
    pub balancers: usize,
    /// The operations that clients invoke.
    pub classes: Vec<Class>,
    /// How a node gets the endpoint list: `subscribe` if the policy has to request it.
    #[serde(default)]
    pub discovery: String,
    /// The source of missing values.
    #[serde(default)]
    pub family_info: FamilyInfo,
    /// Names of the kinds of cache servers.
    #[serde(default)]
    pub kinds: Vec<String>,
    /// Limits for invocations and connections.
    pub limits: Limits,
    /// Fraction of the value that counts for an invocation beyond its tenant's quota.
    #[serde(default = "full")]
    pub over_share_worth: f64,
    /// Parameters of the safety rules.
    pub safety: Safety,
    /// Index of this node among all nodes.
    #[serde(default)]
    pub self_index: usize,
    /// The tenants and their quotas.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    /// Resolution of this node's clock, in microseconds.
    #[serde(default)]
    pub tick_us: i64,
    /// `live` if the listed weights follow the current load.
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
    /// Name of the operation.
    pub name: String,
    /// Multiple of the invocation's own work that is added to the latency target.
    #[serde(default)]
    pub aim_stretch: f64,
    /// Latency target, in microseconds.
    pub objective_us: i64,
    /// Client timeout, in microseconds.
    pub deadline_us: i64,
    /// Idempotency class: `read_like`, `idempotency_key` or `non_idempotent`.
    pub effect: String,
    /// Scope in which cache servers drop a repeated request: `all` (or empty), `zone` or `cell`.
    #[serde(default)]
    pub key_scope: String,
    /// Fraction of the value that counts for an answer after the latency target.
    #[serde(default)]
    pub late_worth: f64,
    /// Whether answers are streams.
    #[serde(default)]
    pub stream: bool,
    /// Time for which repeated requests are dropped, in microseconds.
    #[serde(default)]
    pub window_us: i64,
    /// Billed value of one invocation.
    #[serde(default = "full")]
    pub worth: f64,
}

/// The source of missing values.
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

/// Limits for invocations and connections.
#[derive(Clone, PartialEq, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Limits {
    /// Whether forwards may be withdrawn.
    #[serde(default)]
    pub cancel: bool,
    /// Time after which the peer closes an idle connection, in microseconds; 0 if not stated.
    #[serde(default)]
    pub conn_idle_us: i64,
    /// Connect timeout, in microseconds; 0 if not stated.
    #[serde(default)]
    pub dial_timeout_us: i64,
    /// Maximum number of forwards for one invocation.
    pub max_attempts: usize,
    /// Maximum `Retry-After`, in microseconds.
    #[serde(default)]
    pub max_retry_after_us: i64,
    /// Whether nodes may send gossip to each other.
    #[serde(default)]
    pub peers: bool,
    /// Whether health checks are allowed.
    #[serde(default)]
    pub may_probe: bool,
    /// Whether throttling replies may carry `Retry-After`.
    #[serde(default)]
    pub retry_after: bool,
    /// Whether hedged requests are allowed.
    #[serde(default)]
    pub second_copies: bool,
}

/// Parameters of the safety rules.
#[derive(Clone, PartialEq, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Safety {
    /// Time after a client's deadline at which an answer is still allowed, in microseconds.
    pub answer_slack_us: i64,
    /// Longest time between two requests for the endpoint list, in microseconds.
    #[serde(default)]
    pub ask_every_us: i64,
    /// Time for which a node may still send to a cache server after learning that it is draining, in microseconds.
    #[serde(default)]
    pub drain_grace_us: i64,
    /// Capacity of a cache server at its start, as a fraction of its warm capacity.
    pub start_capacity: f64,
    /// Warm-up period of a cache server, in microseconds.
    pub cold_us: i64,
    /// Multiple of its capacity above which a cache server collapses during its warm-up.
    pub fall_multiple: f64,
    /// Time for which the load has to exceed that multiple, in microseconds.
    pub fall_us: i64,
    /// Whether removals from the list are advisory: only draining is binding, and a cache server that is listed as
    /// removed or not listed may still get requests.
    #[serde(default)]
    pub gone_is_advice: bool,
}

/// A tenant and its quota.
#[derive(Clone, PartialEq, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Tenant {
    /// Name of the tenant.
    pub name: String,
    /// Invocations per second that the tenant may make, over all nodes.
    pub quota_per_s: f64,
    /// The tenant's share of the capacity.
    pub share: f64,
}
