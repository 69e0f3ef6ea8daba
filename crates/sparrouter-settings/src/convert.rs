//! Converts the settings object to the types of the routing policy and of the programs that use it.
use crate::document::{Class, Settings};
use crate::error::SettingsError;
use crate::name_table::hash;
use sparrouter_balancer::policy::Policy;
use sparrouter_balancer::types::{
    Effect, Environment, ForwardLimits, Group, MICRO, Nanos, Operation, OriginMode, Rules, Tenant,
};

/// Converts the microseconds of a field to nanoseconds.
///
/// # Errors
///
/// [`SettingsError::Negative`] if the value is below 0, [`SettingsError::OutOfRange`] if the nanoseconds do not fit
/// into 64 bits.
pub fn nanos(field: &'static str, us: i64) -> Result<Nanos, SettingsError> {
    let micros = u64::try_from(us).map_err(|_| SettingsError::Negative { field, us })?;
    micros
        .checked_mul(MICRO)
        .ok_or(SettingsError::OutOfRange { field, us })
}

fn unknown_value(field: &'static str, value: &str) -> SettingsError {
    SettingsError::UnknownValue {
        field,
        value: value.to_owned(),
    }
}

fn operation(class: &Class) -> Result<Operation, SettingsError> {
    let group = match class.key_scope.as_str() {
        "all" | "" => Group::All,
        "zone" => Group::Zone,
        "cell" => Group::Cell,
        other => return Err(unknown_value("KeyScope", other)),
    };
    let effect = match class.effect.as_str() {
        "read_like" => Effect::Idempotent,
        "idempotency_key" => Effect::Deduplicated {
            group,
            window: nanos("WindowUs", class.window_us)?,
        },
        "non_idempotent" => Effect::NonIdempotent,
        other => return Err(unknown_value("Effect", other)),
    };
    Ok(Operation {
        effect,
        latency_target: nanos("ObjectiveUs", class.objective_us)?,
        stretch: class.aim_stretch,
        client_timeout: nanos("DeadlineUs", class.deadline_us)?,
        billed_value: class.worth,
        late_value_fraction: class.late_worth,
        stream: class.stream,
    })
}

/// Parameters of connections to cache servers. Times are in nanoseconds; 0 if the settings do not state them.
pub struct Connections {
    /// Connect timeout.
    pub dial: Nanos,
    /// Longest time after which the peer closes an idle connection.
    pub idle: Nanos,
    /// Whether two forwards of one invocation may be in flight at once (hedged requests).
    pub overlaps: bool,
}

impl Settings {
    /// Returns the operations, in the order of the settings.
    ///
    /// # Errors
    ///
    /// A [`SettingsError`] that names the field.
    pub fn operations(&self) -> Result<Vec<Operation>, SettingsError> {
        self.classes.iter().map(operation).collect()
    }

    /// Returns the parameters of the safety rules.
    ///
    /// # Errors
    ///
    /// A [`SettingsError`] that names the field.
    pub fn rules(&self) -> Result<Rules, SettingsError> {
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

    /// Returns the parameters of connections to cache servers.
    ///
    /// # Errors
    ///
    /// A [`SettingsError`] that names the field.
    pub fn connections(&self) -> Result<Connections, SettingsError> {
        Ok(Connections {
            dial: nanos("DialTimeoutUs", self.limits.dial_timeout_us)?,
            idle: nanos("ConnIdleUs", self.limits.conn_idle_us)?,
            overlaps: self.limits.second_copies,
        })
    }

    /// Returns the time for which a node may still send to a cache server after learning that it is draining, in
    /// nanoseconds; 0 if not stated.
    ///
    /// # Errors
    ///
    /// A [`SettingsError`] that names the field.
    pub fn drain_grace(&self) -> Result<Nanos, SettingsError> {
        nanos("DrainGraceUs", self.safety.drain_grace_us)
    }

    /// Returns the index of the origin's kind; `None` if the node does not fetch from the origin itself.
    pub fn origin_kind(&self) -> Option<usize> {
        usize::try_from(self.family_info.origin_kind)
            .ok()
            .filter(|_| self.family_info.mode == "aside")
    }

    /// Whether the policy has to request the endpoint list.
    pub fn list_is_polled(&self) -> bool {
        self.discovery == "subscribe"
    }

    /// Whether nodes may send gossip to each other.
    pub fn peers(&self) -> bool {
        self.limits.peers
    }

    /// Returns a hash of the tenants' names in their order.
    pub fn tenants_fingerprint(&self) -> u16 {
        let names: Vec<&str> = self.tenants.iter().map(|t| t.name.as_str()).collect();
        hash(names.join("\n").as_bytes()) as u16
    }

    /// Creates the routing policy of one node with the random seed `seed`.
    ///
    /// # Errors
    ///
    /// A [`SettingsError`] that names the field.
    pub fn policy(&self, seed: u64) -> Result<Policy, SettingsError> {
        let tenants = self.policy_tenants();
        let environment = self.environment(seed)?;
        let limits = self.forward_limits()?;
        let mode = self
            .origin_kind()
            .map_or(OriginMode::Through, |kind| OriginMode::Aside { kind });
        Ok(Policy::new(
            environment,
            self.operations()?,
            &tenants,
            limits,
            self.rules()?,
            mode,
        ))
    }

    fn policy_tenants(&self) -> Vec<Tenant> {
        let tenants = self.tenants.iter().map(|tenant| Tenant {
            share: tenant.share,
            quota_per_s: tenant.quota_per_s,
        });
        tenants.collect()
    }

    fn environment(&self, seed: u64) -> Result<Environment, SettingsError> {
        Ok(Environment {
            seed,
            own_index: self.self_index,
            nodes: self.balancers,
            allows_health_checks: self.limits.may_probe,
            peers: self.peers(),
            tick: nanos("TickUs", self.tick_us)?,
            list_is_polled: self.list_is_polled(),
            live_weights: self.weights == "live",
            over_quota_value_fraction: self.over_share_worth,
            tenants_fingerprint: self.tenants_fingerprint(),
        })
    }

    fn forward_limits(&self) -> Result<ForwardLimits, SettingsError> {
        let max_retry_after = nanos("MaxRetryAfterUs", self.limits.max_retry_after_us)?;
        Ok(ForwardLimits {
            max_forwards: self.limits.max_attempts,
            allows_hedging: self.limits.second_copies,
            withdraw: self.limits.cancel,
            max_retry_after: self.limits.retry_after.then_some(max_retry_after),
        })
    }
}
