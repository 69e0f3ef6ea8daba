//! Handles the arrival of an invocation: computes its deadlines and its value, and decides whether to admit it.
use super::Policy;
use super::admission::band_index;
use super::invocation::Invocation;
use super::timer::Timer;
use crate::types::{Arrival, Nanos, ShedReason};

/// Number of hedged requests that each arrival adds to the budget.
const HEDGES_PER_ARRIVAL: f64 = 0.05;
/// Upper bound of the budget of hedged requests.
const MAX_SAVED_HEDGES: f64 = 10.0;
/// Ratio of the priority of a write to that of a read of the same value.
const WRITE_PRIORITY: f64 = 1e6;

/// Times after which an answer to an invocation is worth less.
struct Deadlines {
    /// Last tick before the client times out.
    client: Nanos,
    /// Time at which the latency target is missed; not later than `client`.
    target: Nanos,
    /// Time from which an answer has no value.
    answer_deadline: Nanos,
}

/// Priority of an invocation, and the probability of shedding it because of overload.
struct Valuation {
    priority: f64,
    shed_chance: f64,
}

impl Policy {
    /// Handles an arriving invocation: rejects it, or forwards it to a cache server or the origin.
    pub(super) fn on_arrival(&mut self, arrival: Arrival) {
        let index = arrival.inv;
        let deadlines = self.deadlines(&arrival);
        let valuation = self.valuate(&arrival);
        let key = arrival.key.unwrap_or_else(|| self.rng.u64(..));
        self.hedge_tokens = (self.hedge_tokens + HEDGES_PER_ARRIVAL).min(MAX_SAVED_HEDGES);
        let ready = self.caches.ready.len();
        self.keys.record_arrival(key, ready, self.now);
        let goes_to_origin = arrival.write && self.caches.origin.is_some();
        let invocation = Invocation {
            key,
            priority: valuation.priority,
            target_deadline: deadlines.target,
            answer_deadline: deadlines.answer_deadline,
            arrival,
            ..Invocation::default()
        };
        self.invocations.insert(index, invocation);
        if let Some(reason) = self.rejection(key, deadlines.client, valuation.shed_chance) {
            return self.shed(index, reason);
        }
        let timer = Timer::AnswerDeadline { invocation: index };
        self.set_timer(deadlines.answer_deadline, timer);
        if goes_to_origin {
            self.forward_to_origin(index);
        } else {
            self.forward_to_cache(index);
        }
    }

    fn deadlines(&self, arrival: &Arrival) -> Deadlines {
        let operation = &self.operations[arrival.operation].settings;
        let own_work = (operation.stretch * arrival.work.unwrap_or(0) as f64) as Nanos;
        let latency_target = operation.latency_target + own_work;
        let client = arrival.deadline.saturating_sub(self.environment.tick);
        let target = client.min(self.now + latency_target);
        let is_late_answer_useful = operation.late_value_fraction > 0.0 || operation.stream;
        let answer_deadline = if is_late_answer_useful {
            client
        } else {
            target
        };
        Deadlines {
            client,
            target,
            answer_deadline,
        }
    }

    /// Expected work of an invocation, in nanoseconds: as announced, otherwise the mean latency of its operation,
    /// otherwise a guess.
    fn expected_work(&self, arrival: &Arrival) -> f64 {
        let operation = &self.operations[arrival.operation];
        match arrival.work {
            Some(work) if work > 0 => work as f64,
            _ if operation.latency.mean > 0.0 => operation.latency.mean,
            _ => operation.settings.latency_target.max(4) as f64 / 4.0,
        }
    }

    fn valuate(&mut self, arrival: &Arrival) -> Valuation {
        let work = self.expected_work(arrival);
        // The arrival is counted even if the quota was checked elsewhere, because gossip messages report arrivals.
        let own_count = self.admission.record_arrival(arrival.tenant, self.now);
        let is_within_quota = arrival.is_within_quota.unwrap_or(own_count);
        let fraction = if is_within_quota {
            1.0
        } else {
            self.environment.over_quota_value_fraction
        };
        let operation = &self.operations[arrival.operation].settings;
        let value = operation.billed_value * fraction;
        let band = band_index(arrival.operation, is_within_quota);
        let badness = self.caches.mean_badness(self.now);
        let admission = &mut self.admission;
        let shed_chance = admission.shed_chance(band, value, work, badness, self.now);
        Valuation {
            priority: value * if arrival.write { WRITE_PRIORITY } else { 1.0 },
            shed_chance,
        }
    }

    /// Reason for rejecting an arrival; `None` if it is admitted. `deadline` is the client's. A random number is
    /// drawn only if the decision depends on it.
    fn rejection(&mut self, key: u64, deadline: Nanos, shed_chance: f64) -> Option<ShedReason> {
        let stats = self.keys.get_mut(key);
        let key_chance = stats.map_or(1.0, |s| s.admission_chance(self.now));
        let fails_everywhere = key_chance < 1.0 && self.rng.f64() > key_chance;
        if deadline <= self.now {
            Some(ShedReason::DeadlineExceeded)
        } else if fails_everywhere {
            Some(ShedReason::FailsEverywhere)
        } else if self.rng.f64() < shed_chance {
            Some(ShedReason::Overload)
        } else {
            None
        }
    }
}
