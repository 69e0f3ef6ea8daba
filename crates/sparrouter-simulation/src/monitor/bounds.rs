//! The figures of the rules, as RULES.md and the settings of a process name them.

use std::time::Duration;

/// The figures of the rules.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// A machine is in contact if it has had no fault for so long.
    pub contact: Duration,
    /// A valid change is acknowledged within this time while the core is stable.
    pub ack_timeout: Duration,
    /// No request reaches a draining server later than this after the drain was acknowledged.
    pub drain_timeout: Duration,
    /// A process ends within this time after SIGTERM.
    pub grace: Duration,
    /// A request that was sent so shortly before a planned end need not have been read.
    pub loss_slack: Duration,
    /// An acknowledged configuration binds machines in contact after this time.
    pub config_apply: Duration,
    /// For so long after its first effect on a machine a configuration may be followed by effects of an older one.
    pub rollback_slack: Duration,
    /// Lifetime of the rollout lease.
    pub lease: Duration,
    /// Commands of a machine that resumed are not checked for so long.
    pub thaw: Duration,
    /// Requests begin on the newest weights after the core has been stable for so long.
    pub version: Duration,
    /// The fleet serves again so long after all processes ended.
    pub recovery: Duration,
    /// Retries a request, over `budget_window`.
    pub budget_ratio: f64,
    /// Retries that are allowed in each window in addition.
    pub budget_slack: f64,
    /// Length of a window of the retry budget.
    pub budget_window: Duration,
    /// Servers reject a fencing token that is lower than one they have seen.
    pub fencing: bool,
    /// A removed key binds every machine after `revoke_timeout`, in contact or not.
    pub strict_revocation: bool,
    /// See `strict_revocation`.
    pub revoke_timeout: Duration,
    /// The most that stable periods may add up to before no request begins on an older version; zero: no limit.
    pub version_all: Duration,
    /// Length of a window of the tenants' quotas.
    pub quota_window: Duration,
    /// Fraction of a quota by which a window may exceed it.
    pub quota_overage: f64,
    /// Requests by which each window may exceed a quota in addition.
    pub quota_grace: f64,
}

impl Default for Bounds {
    fn default() -> Bounds {
        let ms = Duration::from_millis;
        Bounds {
            contact: ms(3_000),
            ack_timeout: ms(4_000),
            drain_timeout: ms(2_000),
            grace: ms(8_000),
            loss_slack: ms(200),
            config_apply: ms(2_000),
            rollback_slack: ms(250),
            lease: ms(3_000),
            thaw: ms(300),
            version: ms(8_000),
            recovery: ms(12_000),
            budget_ratio: 0.2,
            budget_slack: 64.0,
            budget_window: ms(10_000),
            fencing: true,
            strict_revocation: false,
            revoke_timeout: ms(5_000),
            version_all: Duration::ZERO,
            quota_window: ms(5_000),
            quota_overage: 0.1,
            quota_grace: 20.0,
        }
    }
}
