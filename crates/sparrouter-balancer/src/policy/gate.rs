//! Safety rules that every forward and every final answer must satisfy.
//!
//! The module holds no state. Rule 1: one final answer, in time. Rule 2: an invocation never runs twice if that does
//! harm. Rule 3: nothing is sent to a cache server that is draining or was removed. Rule 4, the budget of cache
//! servers that are warming up, is enforced by `caches/warm_up.rs`.
use super::Policy;
use super::caches::{Cache, CacheSet};
use super::invocation::Invocation;
use crate::types::{CacheIndex, Effect, ForwardLimits, Group, LifecycleState, Nanos, Operation};

/// Whether `target` is in the same group as `first`, so that it drops a repeat of a forward to `first`.
fn is_same_group(group: Group, first: &Cache, target: &Cache) -> bool {
    match group {
        Group::All => true,
        Group::Zone => first.zone == target.zone,
        Group::Cell => first.cell == target.cell,
    }
}

/// Whether another execution at `target` does no harm.
fn may_run_again(
    invocation: &Invocation,
    effect: Effect,
    target: &Cache,
    caches: &CacheSet,
    now: Nanos,
) -> bool {
    match (effect, invocation.first_effect()) {
        (Effect::Idempotent, _) | (_, None) => true,
        (Effect::NonIdempotent, Some(_)) => false,
        (Effect::Deduplicated { group, window }, Some(first)) => {
            let is_known_there = is_same_group(group, caches.get(first.cache), target);
            is_known_there && now < first.sent_at + window
        }
    }
}

/// Whether an invocation may be forwarded to `target`.
fn may_forward(
    invocation: &Invocation,
    operation: &Operation,
    limits: &ForwardLimits,
    target: &Cache,
    caches: &CacheSet,
    now: Nanos,
) -> bool {
    let is_open = invocation.is_unanswered() && now < invocation.arrival.deadline;
    let is_ready = target.state == LifecycleState::Ready;
    let has_forward_left = invocation.forwards.len() < limits.max_forwards;
    let overlaps = invocation.in_flight() > 0;
    is_open
        && is_ready
        && has_forward_left
        && (limits.allows_hedging || !overlaps)
        && may_run_again(invocation, operation.effect, target, caches, now)
}

/// Time before which the next forward must have been sent completely; `None` if there is no such limit. Guards
/// against a deduplication window that expires between the decision and the last byte, because connecting takes time.
pub fn send_deadline(invocation: &Invocation, operation: &Operation) -> Option<Nanos> {
    let Effect::Deduplicated { window, .. } = operation.effect else {
        return None;
    };
    let first = invocation.first_effect()?;
    Some(first.sent_at + window)
}

/// Whether an invocation may get a throttling reply that asks the client to retry; otherwise its answer is an error.
pub fn may_throttle(invocation: &Invocation, operation: &Operation) -> bool {
    match operation.effect {
        Effect::Idempotent
        | Effect::Deduplicated {
            group: Group::All, ..
        } => true,
        _ => invocation.first_effect().is_none(),
    }
}

impl Policy {
    /// Whether an invocation may be forwarded to `target` now.
    pub(super) fn may_forward(&self, invocation: &Invocation, target: CacheIndex) -> bool {
        let operation = &self.operations[invocation.arrival.operation];
        may_forward(
            invocation,
            &operation.settings,
            &operation.limits,
            self.caches.get(target),
            &self.caches,
            self.now,
        )
    }
}
