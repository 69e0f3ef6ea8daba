//! What the module and the program take from the object, each their own part, in our words.
use crate::names::hash;
use crate::object::{Class, Settings};
use sparrouter_balancer::policy::Policy;
use sparrouter_balancer::types::*;

pub fn nanos(field: &str, us: i64) -> Result<Nanos, String> {
    let us = u64::try_from(us).map_err(|_| format!("field {field}: {us} is below 0"))?;
    us.checked_mul(MICRO)
        .ok_or_else(|| format!("field {field}: {us} is out of range"))
}

fn operation(c: &Class) -> Result<Operation, String> {
    let group = match c.key_scope.as_str() {
        "all" | "" => Group::All,
        "zone" => Group::Zone,
        "cell" => Group::Cell,
        other => return Err(format!("field KeyScope: unknown value {other}")),
    };
    let effect = match c.effect.as_str() {
        "read_like" => Effect::Idempotent,
        "idempotency_key" => Effect::Deduplicated {
            group,
            window: nanos("WindowUs", c.window_us)?,
        },
        "non_idempotent" => Effect::NonIdempotent,
        other => return Err(format!("field Effect: unknown value {other}")),
    };
    Ok(Operation {
        effect,
        latency_target: nanos("ObjectiveUs", c.objective_us)?,
        stretch: c.aim_stretch,
        client_timeout: nanos("DeadlineUs", c.deadline_us)?,
        billed_value: c.worth,
        late_value_fraction: c.late_worth,
        stream: c.stream,
    })
}

/// How connections to cache servers are kept; 0 where the settings do not say.
pub struct Connections {
    /// One not up by then never comes.
    pub dial: Nanos,
    /// One that stood idle for so long is closed by the other side at the latest.
    pub idle: Nanos,
    /// Two forwards of one invocation may be out at once.
    pub overlaps: bool,
}

impl Settings {
    pub fn operations(&self) -> Result<Vec<Operation>, String> {
        self.classes.iter().map(operation).collect()
    }

    pub fn rules(&self) -> Result<Rules, String> {
        Ok(Rules {
            answer_slack: nanos("AnswerSlackUs", self.safety.answer_slack_us)?,
            poll_interval: nanos("AskEveryUs", self.safety.ask_every_us)?,
            start_capacity: self.safety.start_capacity,
            warm_up_period: nanos("ColdUs", self.safety.cold_us)?,
            fall_multiple: self.safety.fall_multiple,
            fall: nanos("FallUs", self.safety.fall_us)?,
            removal_is_advisory: self.safety.gone_is_advice,
        })
    }

    pub fn connections(&self) -> Result<Connections, String> {
        Ok(Connections {
            dial: nanos("DialTimeoutUs", self.limits.dial_timeout_us)?,
            idle: nanos("ConnIdleUs", self.limits.conn_idle_us)?,
            overlaps: self.limits.second_copies,
        })
    }

    /// So long after it is told that a cache server drains a node may still send there; 0 where they do not say.
    pub fn drain_grace(&self) -> Result<Nanos, String> {
        nanos("DrainGraceUs", self.safety.drain_grace_us)
    }

    /// The kind of the origin in the list, where the node itself fetches from it.
    pub fn origin_kind(&self) -> Option<usize> {
        usize::try_from(self.family_info.origin_kind)
            .ok()
            .filter(|_| self.family_info.mode == "aside")
    }

    /// The list of cache servers comes only to those who ask.
    pub fn must_ask(&self) -> bool {
        self.discovery == "subscribe"
    }

    pub fn peers(&self) -> bool {
        self.limits.peers
    }

    /// A fingerprint of the tenants' names in their order.
    pub fn tenants_fingerprint(&self) -> u16 {
        let names: Vec<&str> = self.tenants.iter().map(|t| t.name.as_str()).collect();
        hash(names.join("\n").as_bytes()) as u16
    }

    pub fn policy(&self, seed: u64) -> Result<Policy, String> {
        let tenants: Vec<Tenant> = self
            .tenants
            .iter()
            .map(|t| Tenant {
                share: t.share,
                quota_per_s: t.quota_per_s,
            })
            .collect();
        let place = Environment {
            seed,
            own_index: self.self_index,
            nodes: self.balancers,
            allows_health_checks: self.limits.may_probe,
            peers: self.peers(),
            tick: nanos("TickUs", self.tick_us)?,
            list_is_polled: self.must_ask(),
            live_weights: self.weights == "live",
            over_quota_value_fraction: self.over_share_worth,
            tenants_fingerprint: self.tenants_fingerprint(),
        };
        let advice = nanos("MaxRetryAfterUs", self.limits.max_retry_after_us)?;
        let limits = ForwardLimits {
            max_forwards: self.limits.max_attempts,
            allows_hedging: self.limits.second_copies,
            withdraw: self.limits.cancel,
            max_retry_after: self.limits.retry_after.then_some(advice),
        };
        let mode = self
            .origin_kind()
            .map_or(OriginMode::Through, |kind| OriginMode::Aside { kind });
        Ok(Policy::new(
            place,
            self.operations()?,
            &tenants,
            limits,
            self.rules()?,
            mode,
        ))
    }
}
