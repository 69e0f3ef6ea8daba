//! A lease holder, modelled on the fleet's `control/shard_lease.rs` and `quota/holder.rs`.
use crate::model::{Clock, Defect, Returns};
use sparrouter_consensus::lease::{LeaseAnswer, LeaseHolder};
use sparrouter_quota::{
    BucketTable, Division, Nanos, QuotaLimit, QuotaSettings, ReturnedTokens, TakeOutcome,
    TenantBucket,
};
use std::collections::BTreeMap;

/// A lease that this process holds, and the time within which it may grant permits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrantingLease {
    pub fencing_token: u64,
    active_from: Nanos,
    valid_until: Nanos,
    /// When the last confirmed renewal was requested.
    pub renewed_at: Nanos,
}

/// A granted token that may be returned, and the smallest distance of the bucket's level from its capacity since the
/// grant.
#[derive(Clone, Debug)]
struct Returnable {
    id: u64,
    min_gap: f64,
}

/// The buckets of one lease.
#[derive(Clone, Debug)]
struct Buckets {
    table: BucketTable,
    config_slot: u64,
    /// By tenant: the granted tokens that may be returned; recorded only with [`Returns::Tracked`].
    returnable: BTreeMap<String, Vec<Returnable>>,
    /// Injected defect: by tenant, tokens that remain usable after the limit was lowered.
    kept_tokens: BTreeMap<String, u32>,
}

/// One shard at one potential lease holder.
#[derive(Clone, Debug, Default)]
pub struct HolderShard {
    pub granting: Option<GrantingLease>,
    buckets: Option<Buckets>,
}

/// Answer to a request for a permit.
#[derive(Clone, Copy, Debug)]
pub enum Grant {
    Permit {
        fencing_token: u64,
        granted_at: Nanos,
        id: u64,
    },
    Exhausted(Nanos),
    NotHolder,
}

/// A process that may hold leases.
#[derive(Clone, Debug)]
pub struct Holder {
    pub name: String,
    pub clock: Clock,
    /// Increases with each restart of the process.
    pub generation: u32,
    pub shards: Vec<HolderShard>,
}

/// Inputs of a lease holder's decisions.
#[derive(Clone, Copy)]
pub struct Context<'a> {
    /// Time by the process's own clock.
    pub now: Nanos,
    pub config: &'a Config,
    pub rules: &'a Rules,
}

/// Parameters shared by all processes.
#[derive(Clone, Debug)]
pub struct Rules {
    pub settings: QuotaSettings,
    pub lease: Nanos,
    pub defect: Option<Defect>,
    pub returns: Returns,
}

/// The configuration: an increasing slot number, and the limits.
#[derive(Clone, Debug, Default)]
pub struct Config {
    pub slot: u64,
    pub limits: BTreeMap<String, QuotaLimit>,
}

impl Config {
    fn buckets_of(&self, shard: u16, settings: &QuotaSettings) -> Vec<TenantBucket> {
        let bucket = |(tenant, limit): (&String, &QuotaLimit)| {
            let division = Division::of(*limit, settings);
            let is_here = division.shards(tenant, settings).contains(&shard);
            is_here.then(|| TenantBucket {
                tenant: tenant.clone(),
                shape: division.shape,
            })
        };
        self.limits.iter().filter_map(bucket).collect()
    }
}

impl Holder {
    /// The process's identity in the lease register; a restarted process keeps it.
    pub fn identity(&self) -> LeaseHolder {
        LeaseHolder {
            name: self.name.clone(),
            incarnation: 0,
        }
    }

    pub fn restart(&mut self) {
        self.generation += 1;
        self.shards.fill(HolderShard::default());
    }

    /// Handles the register's answer to a request that was sent at `sent_at`.
    pub fn on_answer(
        &mut self,
        shard: u16,
        answer: &LeaseAnswer,
        sent_at: Nanos,
        token: u64,
        context: Context,
    ) {
        let Context { now, rules, .. } = context;
        let state = &mut self.shards[usize::from(shard) - 1];
        match *answer {
            LeaseAnswer::Acquired {
                fencing_token,
                takeover_wait,
            } => {
                let has_takeover_wait = rules.defect != Some(Defect::NoTakeoverWait);
                let wait = if has_takeover_wait {
                    takeover_wait + takeover_wait / 10
                } else {
                    0
                };
                state.granting = Some(GrantingLease {
                    fencing_token,
                    active_from: now + wait,
                    valid_until: sent_at + rules.lease,
                    renewed_at: sent_at,
                });
            }
            LeaseAnswer::Renewed => {
                if let Some(granting) = state.granting.as_mut().filter(|g| g.fencing_token == token)
                {
                    granting.valid_until = granting.valid_until.max(sent_at + rules.lease);
                    granting.renewed_at = granting.renewed_at.max(sent_at);
                }
            }
            LeaseAnswer::Rejected { .. } => *state = HolderShard::default(),
            LeaseAnswer::Released | LeaseAnswer::Malformed => {}
        }
    }

    /// Gives up a lease; returns its fencing token and whether its takeover wait was over.
    pub fn give_up(&mut self, shard: u16, now: Nanos) -> Option<(u64, bool)> {
        let state = std::mem::take(&mut self.shards[usize::from(shard) - 1]);
        let granting = state.granting?;
        Some((granting.fencing_token, now >= granting.active_from))
    }

    /// Grants one permit with this `id`, if the lease and the bucket allow it.
    pub fn grant(&mut self, shard: u16, tenant: &str, id: u64, context: Context) -> Grant {
        let Context { now, rules, .. } = context;
        let is_restart = self.generation > 0;
        let state = &mut self.shards[usize::from(shard) - 1];
        let checks_expiry = rules.defect != Some(Defect::LapsedGrant);
        let valid = state
            .granting
            .filter(|g| now < g.valid_until || !checks_expiry);
        let Some(granting) = valid.filter(|granting| now >= granting.active_from) else {
            return Grant::NotHolder;
        };
        state.update(shard, granting, context, is_restart);
        let Some(buckets) = &mut state.buckets else {
            return Grant::NotHolder;
        };
        buckets.record_gap(tenant, context);
        match buckets.table.take(tenant, 1, now) {
            TakeOutcome::Granted(_) => {
                buckets.record_grant(tenant, id, rules);
                Grant::Permit {
                    fencing_token: granting.fencing_token,
                    granted_at: now,
                    id,
                }
            }
            TakeOutcome::Refused(after) => {
                let Some(kept_tokens) = buckets
                    .kept_tokens
                    .get_mut(tenant)
                    .filter(|kept_tokens| **kept_tokens > 0)
                else {
                    return Grant::Exhausted(after.next_multiple_of(1_000_000));
                };
                *kept_tokens -= 1;
                Grant::Permit {
                    fencing_token: granting.fencing_token,
                    granted_at: now,
                    id,
                }
            }
            TakeOutcome::UnknownTenant => Grant::Exhausted(100_000_000),
        }
    }

    /// Periodic update, at least each tenth of a second: buckets refill from the moment that the holder may grant.
    pub fn tick(&mut self, shard: u16, context: Context) {
        let is_restart = self.generation > 0;
        let state = &mut self.shards[usize::from(shard) - 1];
        if let Some(granting) = state.granting {
            state.update(shard, granting, context, is_restart);
        }
    }

    /// Handles a returned permit.
    pub fn take_back(
        &mut self,
        shard: u16,
        tenant: &str,
        returned: ReturnedTokens,
        id: u64,
        context: Context,
    ) {
        let Context { now, rules, .. } = context;
        let token = returned.fencing_token;
        let Some(buckets) = &mut self.shards[usize::from(shard) - 1].buckets else {
            return;
        };
        if rules.defect == Some(Defect::ForeignReturn) && token != buckets.table.fencing_token() {
            let own = buckets.table.fencing_token();
            return buckets
                .table
                .give_back(tenant, credited_in_full(own, 1), now);
        }
        match rules.returns {
            Returns::Never => {}
            Returns::TokenBucket => buckets.table.give_back(tenant, returned, now),
            Returns::Tracked => {
                buckets.record_gap(tenant, context);
                if buckets.accepts(tenant, token, id, rules) {
                    buckets
                        .table
                        .give_back(tenant, credited_in_full(token, 1), now);
                }
            }
        }
    }
}

/// Returned tokens whose grant time is so late that no tokens are subtracted for the refill since.
fn credited_in_full(fencing_token: u64, count: u32) -> ReturnedTokens {
    ReturnedTokens {
        fencing_token,
        granted_at: Nanos::MAX,
        count,
    }
}

impl HolderShard {
    /// Brings the buckets up to date with the lease and the configuration.
    fn update(&mut self, shard: u16, granting: GrantingLease, context: Context, is_restart: bool) {
        let Context { now, config, rules } = context;
        let token = granting.fencing_token;
        let is_new = self
            .buckets
            .as_ref()
            .is_none_or(|buckets| buckets.table.fencing_token() != token);
        let buckets = match &mut self.buckets {
            Some(buckets) if !is_new => buckets,
            buckets => buckets.insert(Buckets {
                table: BucketTable::new(token, granting.active_from),
                config_slot: 0,
                returnable: BTreeMap::new(),
                kept_tokens: BTreeMap::new(),
            }),
        };
        if buckets.config_slot != config.slot {
            buckets.apply(shard, context);
        }
        let is_full = match rules.defect {
            Some(Defect::FullSuccessor) => true,
            Some(Defect::FullRestart) => is_restart,
            _ => false,
        };
        if is_new && is_full {
            for tenant in config.limits.keys() {
                buckets
                    .table
                    .give_back(tenant, credited_in_full(token, u32::MAX), now);
            }
        }
    }
}

impl Buckets {
    fn apply(&mut self, shard: u16, context: Context) {
        let Context { now, config, rules } = context;
        let levels_before = self.levels(now, config);
        self.table
            .set_limits(config.buckets_of(shard, &rules.settings), now);
        self.config_slot = config.slot;
        self.returnable.clear();
        if rules.defect == Some(Defect::KeptLevel) {
            let levels = self.levels(now, config);
            for (tenant, before) in levels_before {
                let lost = before - levels.get(&tenant).copied().unwrap_or(before);
                *self.kept_tokens.entry(tenant).or_default() += lost.max(0.0) as u32;
            }
        }
    }

    fn levels(&self, now: Nanos, config: &Config) -> BTreeMap<String, f64> {
        let level = |tenant: &String| Some((tenant.clone(), self.table.level(tenant, now)?));
        config.limits.keys().filter_map(level).collect()
    }

    fn record_grant(&mut self, tenant: &str, id: u64, rules: &Rules) {
        if rules.returns != Returns::Tracked {
            return;
        }
        let returnable = self.returnable.entry(tenant.to_owned()).or_default();
        returnable.push(Returnable {
            id,
            min_gap: f64::INFINITY,
        });
        if returnable.len() > 200 {
            returnable.remove(0);
        }
    }

    /// Records how far a bucket is from full: it is fullest immediately before a take or a return.
    fn record_gap(&mut self, tenant: &str, context: Context) {
        let Context { now, config, rules } = context;
        if rules.returns != Returns::Tracked {
            return;
        }
        let (Some(limit), Some(level)) = (config.limits.get(tenant), self.table.level(tenant, now))
        else {
            return;
        };
        let gap = Division::of(*limit, &rules.settings).shape.capacity - level;
        for returnable in self.returnable.entry(tenant.to_owned()).or_default() {
            returnable.min_gap = returnable.min_gap.min(gap);
        }
    }

    /// Whether the token would now be in the bucket had it not been taken: since then the bucket always had room for it.
    fn accepts(&mut self, tenant: &str, token: u64, id: u64, rules: &Rules) -> bool {
        if token != self.table.fencing_token() {
            return false;
        }
        let returnable = self.returnable.entry(tenant.to_owned()).or_default();
        let Some(index) = returnable.iter().position(|entry| entry.id == id) else {
            return rules.defect == Some(Defect::DoubleReturn);
        };
        if returnable[index].min_gap < 1.0 {
            return false;
        }
        returnable.remove(index);
        // The bucket would now hold one more token.
        for remaining in returnable {
            remaining.min_gap -= 1.0;
        }
        true
    }
}
