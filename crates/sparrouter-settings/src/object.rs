//! The object itself, in the operators' words.
use serde::Deserialize;

#[derive(Clone, PartialEq, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Settings {
    pub areas: Vec<String>,
    #[serde(default = "one")]
    pub balancers: usize,
    pub classes: Vec<Class>,
    #[serde(default)]
    pub discovery: String,
    #[serde(default)]
    pub family_info: FamilyInfo,
    #[serde(default)]
    pub kinds: Vec<String>,
    pub limits: Limits,
    #[serde(default = "full")]
    pub over_share_worth: f64,
    pub safety: Safety,
    #[serde(default)]
    pub self_index: usize,
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    #[serde(default)]
    pub tick_us: i64,
    #[serde(default)]
    pub weights: String,
}

fn one() -> usize {
    1
}
fn full() -> f64 {
    1.0
}

#[derive(Clone, PartialEq, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Class {
    pub name: String,
    #[serde(default)]
    pub aim_stretch: f64,
    pub objective_us: i64,
    pub deadline_us: i64,
    pub effect: String,
    #[serde(default)]
    pub key_scope: String,
    #[serde(default)]
    pub late_worth: f64,
    #[serde(default)]
    pub stream: bool,
    #[serde(default)]
    pub window_us: i64,
    #[serde(default = "full")]
    pub worth: f64,
}

#[derive(Clone, PartialEq, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct FamilyInfo {
    pub mode: String,
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

#[derive(Clone, PartialEq, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Limits {
    #[serde(default)]
    pub cancel: bool,
    #[serde(default)]
    pub conn_idle_us: i64,
    #[serde(default)]
    pub dial_timeout_us: i64,
    pub max_attempts: usize,
    #[serde(default)]
    pub max_retry_after_us: i64,
    #[serde(default)]
    pub peers: bool,
    #[serde(default)]
    pub may_probe: bool,
    #[serde(default)]
    pub retry_after: bool,
    #[serde(default)]
    pub second_copies: bool,
}

#[derive(Clone, PartialEq, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Safety {
    pub answer_slack_us: i64,
    #[serde(default)]
    pub ask_every_us: i64,
    /// So long after it is told that a cache server drains a node may still send there.
    #[serde(default)]
    pub drain_grace_us: i64,
    pub start_capacity: f64,
    pub cold_us: i64,
    pub fall_multiple: f64,
    pub fall_us: i64,
    /// The rule on drains binds only once a cache server was listed as draining.
    #[serde(default)]
    pub gone_is_advice: bool,
}

#[derive(Clone, PartialEq, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Tenant {
    pub name: String,
    pub quota_per_s: f64,
    pub share: f64,
}
