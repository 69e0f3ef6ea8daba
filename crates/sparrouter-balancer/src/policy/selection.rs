//! Selection: chooses the cache server that an invocation is forwarded to.
//!
//! The module holds no state. Cache servers are considered in rendezvous order, with hot keys spread over the first
//! few servers; the first one that isn't excluded is chosen.
use super::Policy;
use super::caches::Cache;
use super::invocation::Invocation;
use crate::types::{Action, CacheIndex, Effect, InvocationIndex};

/// Minimum fraction of the origin's limit that is available to misses at cache servers that are warming up.
const MIN_WARM_UP_FETCHES: f64 = 0.25;

/// Result of assessing one cache server.
enum Verdict {
    /// The cache server is chosen.
    Choose,
    /// The cache server has more forwards in flight than the load bound: chosen only if no other is.
    Overloaded,
    /// The cache server is suspected, and a health check is due.
    CheckHealth,
    /// The cache server must not or should not get the invocation.
    Skip,
}

/// Result of a search through the order of cache servers.
struct Selection {
    chosen: Option<CacheIndex>,
    /// A suspected cache server earlier in the order that needs a health check.
    to_check: Option<CacheIndex>,
}

/// Values that are the same for all cache servers in one selection.
struct SelectionContext {
    load_bound: f64,
    are_most_suspected: bool,
    /// Whether the origin has capacity for misses at cache servers that are warming up.
    allows_warm_up_fetches: bool,
}

impl Policy {
    /// Returns the cache server to forward to, and requests a health check of a suspected server that precedes it in
    /// the order. Checks are made only on demand, because periodic checks by all nodes would add up.
    pub(super) fn select(&mut self, index: InvocationIndex) -> Option<CacheIndex> {
        let selection = self.search(&self.invocations[&index]);
        if let Some(cache) = selection.to_check
            && self.caches.get_mut(cache).postpone_check(self.now)
        {
            self.actions.push(Action::CheckHealth { cache });
        }
        selection.chosen
    }

    fn search(&self, invocation: &Invocation) -> Selection {
        let context = self.selection_context();
        let mut overloaded = None;
        let mut to_check = None;
        for index in self.selection_order(invocation.key) {
            match self.assess(invocation, index, &context) {
                Verdict::Choose => {
                    return Selection {
                        chosen: Some(index),
                        to_check,
                    };
                }
                Verdict::Overloaded => overloaded = overloaded.or(Some(index)),
                Verdict::CheckHealth => to_check = to_check.or(Some(index)),
                Verdict::Skip => {}
            }
        }
        Selection {
            chosen: overloaded,
            to_check,
        }
    }

    fn selection_context(&self) -> SelectionContext {
        // Misses at cache servers that are warming up get a part of the origin's limit in proportion to their
        // fraction of the keys.
        let key_fraction = self.caches.warming_up_key_fraction(self.now);
        let warm_up_fetches = self.origin.limit * key_fraction.max(MIN_WARM_UP_FETCHES);
        SelectionContext {
            load_bound: self.caches.load_bound(),
            are_most_suspected: self.caches.are_most_suspected(),
            allows_warm_up_fetches: (self.origin.warm_up_in_flight as f64)
                < warm_up_fetches.max(1.0),
        }
    }

    /// The order in which cache servers are considered for a key.
    fn selection_order(&self, key: u64) -> Vec<CacheIndex> {
        let mut order = self.caches.rank(key, self.peers.len(), self.now);
        // A hot key is spread over the first few servers of its order, least loaded first.
        let spread = self.keys.spread(key, order.len()).min(order.len());
        // Each node starts at a different one of them: many nodes with one forward in flight each would overload the
        // first.
        let nodes = self.environment.nodes.max(1);
        let start = self.environment.own_index % nodes * spread / nodes;
        order[..spread].rotate_left(start);
        // A server with one forward in flight counts as idle, because each additional replica costs fetches.
        order[..spread].sort_by_key(|&index| self.caches.get(index).in_flight.max(1));
        order
    }

    fn assess(
        &self,
        invocation: &Invocation,
        index: CacheIndex,
        context: &SelectionContext,
    ) -> Verdict {
        let has_budget = !self.caches.is_warming_up(index, self.now)
            || context.allows_warm_up_fetches && self.caches.has_warm_up_budget(index, self.now);
        if !has_budget || !self.may_forward(invocation, index) {
            return Verdict::Skip;
        }
        let cache = self.caches.get(index);
        // After a broken connection the same server is tried once more: it has the key, which the next in order would
        // have to fetch.
        let mut earlier = invocation.forwards.iter().filter(|f| f.cache == index);
        let is_repeat = match (earlier.next(), earlier.next()) {
            (None, _) => false,
            (Some(only), None) if only.connection_broke => true,
            _ => return Verdict::Skip,
        };
        if cache.suspicion.is_some() {
            // If a broken connection raised the suspicion, a retry at the same server tells a crash from a connection
            // failure.
            if is_repeat {
                return Verdict::Choose;
            }
            return self.assess_suspected(invocation, cache, context);
        }
        let in_flight = f64::from(cache.in_flight);
        if in_flight >= cache.in_flight_limit.floor() {
            Verdict::Skip
        } else if in_flight > context.load_bound {
            Verdict::Overloaded
        } else {
            Verdict::Choose
        }
    }

    /// Assesses a suspected cache server: it gets one idempotent invocation after a health check was answered. If
    /// health checks aren't allowed, or most cache servers are suspected so that the failure detection itself may be
    /// wrong, the backoff alone decides.
    fn assess_suspected(
        &self,
        invocation: &Invocation,
        cache: &Cache,
        context: &SelectionContext,
    ) -> Verdict {
        let Some(suspicion) = &cache.suspicion else {
            return Verdict::Skip;
        };
        let operation = &self.operations[invocation.arrival.operation].settings;
        let allows_checks = self.environment.allows_health_checks;
        let is_check_time = suspicion.next_check_at <= self.now;
        let needs_no_check = context.are_most_suspected || !allows_checks;
        let is_trial_allowed = suspicion.allows_trial || is_check_time && needs_no_check;
        if is_trial_allowed && cache.in_flight == 0 && operation.effect == Effect::Idempotent {
            Verdict::Choose
        } else if is_check_time && !suspicion.allows_trial && allows_checks {
            Verdict::CheckHealth
        } else {
            Verdict::Skip
        }
    }
}
