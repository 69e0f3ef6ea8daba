//! The limits that the operators' RULES.md refers to (`bounds.*` in a settings file).
use super::fields::{Fields, MS_PER_SECOND};
use super::{SettingsError, nanos};
use sparrouter_routing::RetryBudgetSettings;
use std::time::Duration;

/// Minimum of `bounds.revoke_timeout_ms` with strict revocation: a lease of this length is renewed several times within
/// its validity if a quorum answers within some 100 ms.
const MIN_REVOKE_TIMEOUT: Duration = Duration::from_secs(1);

/// Shortest quota window, in seconds: a few times the lifetime of a permit.
const MIN_QUOTA_WINDOW_S: f64 = 1.0;

/// The limits that the operators' RULES.md refers to, as set for this deployment (`bounds.*`).
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Longest delay until the platform's list of seed addresses reflects a change.
    pub seed_lag: Duration,
    /// Shortest time until the address of a removed server is reassigned to another server.
    pub address_reuse: Duration,
    /// How long a node must have been in contact with a quorum, and how recently, for the rules to apply to it.
    pub contact: Duration,
    /// Longest time until a change is acknowledged while there is quorum contact.
    pub ack_timeout: Duration,
    /// How long a core machine still counts as lost after it has returned.
    pub catch_up: Duration,
    /// Time after the acknowledgement of a drain within which requests may still reach the server.
    pub drain_timeout: Duration,
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Tolerance, around planned maintenance, for requests that are interrupted.
    pub loss_slack: Duration,
    /// Time after the acknowledgement of a configuration within which every node must apply it.
    pub config_apply: Duration,
    /// Tolerance for a node that applies an older configuration after a newer one was seen.
    pub rollback_slack: Duration,
    /// Longest delay of a configuration beyond `config_apply` while the core is unstable.
    pub max_stretch: Duration,
    /// Every node rejects a removed API key after `revoke_timeout`, even a partitioned node.
    pub strict_revocation: bool,
    /// Time after the acknowledgement of a configuration after which no request runs with a key that it removed.
    pub revoke_timeout: Duration,
    /// How long a rollout lease is valid without renewal.
    pub lease: Duration,
    /// Time after a frozen process resumes during which orders may still arrive out of turn.
    pub thaw: Duration,
    /// Time after new weights are named during which requests may begin on older weights.
    pub version: Duration,
    /// Limit like `version`, but on the total of all periods in which the core is stable; 0 if there is no limit.
    pub version_all: Duration,
    /// Longest time that an event of a stream may take through the fleet.
    pub transit: Duration,
    /// Time within which a repeated prefill of a shared part of a prompt is priced (`bounds.again_s`). Informational: the
    /// fleet does not use it, see docs/design/versions.md.
    pub repeated_prefill_window: Duration,
    /// Time after a final fault until requests must be served again.
    pub recovery: Duration,
    /// Retries allowed per request; see [`RetryBudgetSettings::ratio`].
    pub retry_budget_ratio: f64,
    /// Additional retries that all nodes may make in a window; see [`RetryBudgetSettings::slack`].
    pub retry_budget_slack: f64,
    /// Window of the retry budget.
    pub budget_window: Duration,
    /// Servers refuse a fencing token lower than one they have seen.
    pub fencing: bool,
    /// Window over which the requests of a tenant are compared with its quota.
    pub quota_window: Duration,
    /// Fraction of a quota by which it may be exceeded. Informational: the fleet enforces the quota without overage.
    pub quota_overage: f64,
    /// Number of requests by which a quota may be exceeded. Informational, like `quota_overage`.
    pub quota_grace: f64,
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

impl Bounds {
    pub(super) fn read(fields: &Fields) -> Result<Bounds, SettingsError> {
        let ms = |field: &str, default: f64| fields.duration(field, MS_PER_SECOND, 0.0, default);
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
            repeated_prefill_window: seconds("bounds.again_s", 0.0)?,
            fencing: fields.flag("bounds.fencing_enabled", true)?,
            lease: ms("bounds.lease_ms", 3_000.0)?,
            thaw: ms("bounds.thaw_ms", 300.0)?,
            version: ms("bounds.version_ms", 8_000.0)?,
            version_all: ms("bounds.version_all_ms", 0.0)?,
            quota_window: fields.duration("bounds.quota_window_s", 1.0, MIN_QUOTA_WINDOW_S, 5.0)?,
            quota_overage: fields.number("bounds.quota_overage", 0.0..=100.0, 0.1)?,
            quota_grace: fields.number("bounds.quota_grace", 0.0..=1e9, 20.0)?,
        };
        bounds.check_revocation(fields)?;
        Ok(bounds)
    }

    /// Checks that strict revocation has a timeout that leaves time to renew a lease.
    fn check_revocation(&self, fields: &Fields) -> Result<(), SettingsError> {
        if !self.strict_revocation || self.revoke_timeout >= MIN_REVOKE_TIMEOUT {
            return Ok(());
        }
        let (revoke_timeout, min) = (self.revoke_timeout, MIN_REVOKE_TIMEOUT.as_millis());
        Err(fields.invalid(
            "bounds.revoke_timeout_ms",
            &revoke_timeout.as_millis().to_string(),
            format!("at least {min} where bounds.strict_revocation is true"),
        ))
    }
}
