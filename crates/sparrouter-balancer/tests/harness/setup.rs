//! Settings of a node under test, and entries of its list of cache servers.
use super::MS;
use sparrouter_balancer::policy::Policy;
use sparrouter_balancer::types::*;

/// Kind of the origin; cache servers have kind 0.
pub const ORIGIN_KIND: usize = 9;

/// Settings of a node under test, as a builder.
#[derive(Clone, Debug)]
pub struct Setup {
    pub environment: Environment,
    pub operations: Vec<Operation>,
    pub limits: ForwardLimits,
    pub rules: Rules,
    pub mode: OriginMode,
    pub tenants: Vec<Tenant>,
}

/// An operation with a latency target of 300 ms.
pub fn operation(effect: Effect) -> Operation {
    Operation {
        effect,
        latency_target: 300 * MS,
        stretch: 0.0,
        client_timeout: 1200 * MS,
        billed_value: 3.0,
        late_value_fraction: 0.0,
        stream: false,
    }
}

/// A single node with health checks and an origin, without gossip; operation 0 reads, operation 1 writes.
pub fn setup() -> Setup {
    Setup {
        environment: Environment {
            seed: 7,
            own_index: 0,
            nodes: 1,
            allows_health_checks: true,
            peers: false,
            tick: 5 * MS,
            list_is_polled: false,
            live_weights: false,
            over_quota_value_fraction: 0.1,
            tenants_fingerprint: 0,
        },
        operations: vec![
            operation(Effect::Idempotent),
            operation(Effect::NonIdempotent),
        ],
        limits: ForwardLimits {
            max_forwards: 3,
            allows_hedging: false,
            withdraw: true,
            max_retry_after: Some(2 * SECOND),
        },
        rules: Rules {
            answer_slack: 20 * MS,
            poll_interval: 10 * SECOND,
            start_capacity: 0.15,
            warm_up_period: 20 * SECOND,
            fall_multiple: 3.0,
            fall: SECOND,
            removal_is_advisory: false,
        },
        mode: OriginMode::Aside { kind: ORIGIN_KIND },
        tenants: vec![],
    }
}

/// One of several nodes that send gossip to each other; its index is its seed.
pub fn gossiping_setup(nodes: usize, own_index: usize) -> Setup {
    let mut setup = setup().nodes(nodes).own_index(own_index);
    setup.environment.peers = true;
    setup.seed(own_index as u64)
}

impl Setup {
    pub fn seed(mut self, seed: u64) -> Setup {
        self.environment.seed = seed;
        self
    }
    pub fn nodes(mut self, nodes: usize) -> Setup {
        self.environment.nodes = nodes;
        self
    }
    pub fn own_index(mut self, own_index: usize) -> Setup {
        self.environment.own_index = own_index;
        self
    }
    pub fn without_gossip(mut self) -> Setup {
        self.environment.peers = false;
        self
    }
    pub fn without_health_checks(mut self) -> Setup {
        self.environment.allows_health_checks = false;
        self
    }
    pub fn polled_list(mut self) -> Setup {
        self.environment.list_is_polled = true;
        self
    }
    pub fn poll_interval(mut self, interval: Nanos) -> Setup {
        self.rules.poll_interval = interval;
        self
    }
    pub fn advisory_removal(mut self, is_advisory: bool) -> Setup {
        self.rules.removal_is_advisory = is_advisory;
        self
    }
    pub fn max_forwards(mut self, max_forwards: usize) -> Setup {
        self.limits.max_forwards = max_forwards;
        self
    }
    /// Adds tenants with these quotas, in invocations per second.
    pub fn quotas(mut self, quotas: &[f64]) -> Setup {
        let tenant = |&quota_per_s: &f64| Tenant {
            share: 0.5,
            quota_per_s,
        };
        self.tenants = quotas.iter().map(tenant).collect();
        self
    }
    /// Creates the node's policy.
    pub fn policy(&self) -> Policy {
        Policy::new(
            self.environment.clone(),
            self.operations.clone(),
            &self.tenants,
            self.limits,
            self.rules.clone(),
            self.mode,
        )
    }
}

/// An entry of the list. Zone, cell and weight follow from the index.
pub fn record(cache: CacheIndex, kind: usize) -> CacheRecord {
    CacheRecord {
        cache,
        id_hash: key_hash(cache as u64 + 1),
        state: LifecycleState::Ready,
        zone: cache % 3,
        cell: (cache % 2) as i64,
        kind,
        weight: 1.0 + (cache % 2) as f64,
        ready_at: 0,
    }
}

/// The entry of a cache server in this state.
pub fn record_in(state: LifecycleState, cache: CacheIndex) -> CacheRecord {
    CacheRecord {
        state,
        ..record(cache, 0)
    }
}

/// The entry of a cache server whose process started at `ready_at`.
pub fn started_record(cache: CacheIndex, ready_at: Nanos) -> CacheRecord {
    CacheRecord {
        ready_at,
        ..record(cache, 0)
    }
}

/// Entries of `count` cache servers from index 0, and of the origin at index `count`.
pub fn servers(count: usize) -> Vec<CacheRecord> {
    let caches = (0..count).map(|cache| record(cache, 0));
    caches.chain([record(count, ORIGIN_KIND)]).collect()
}

/// Hashes a number like an adapter hashes keys: small numbers would all have the same upper half and count as one hot
/// key.
pub fn key_hash(number: u64) -> u64 {
    number.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
