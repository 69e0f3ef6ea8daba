//! A model of the safety rules, independent of the policy's implementation: it knows only the events and the actions.
use super::Harness;
use sparrouter_balancer::types::*;
use std::collections::BTreeMap;

/// The model's view of a forward.
pub struct ModelForward {
    pub cache: CacheIndex,
    pub sent_at: Nanos,
    /// Time at which the forward times out.
    pub timeout_at: Nanos,
    pub is_in_flight: bool,
    pub may_have_run: bool,
}

/// The model's view of an invocation.
pub struct ModelInvocation {
    pub operation: usize,
    pub limits: ForwardLimits,
    pub deadline: Nanos,
    pub forwards: Vec<ModelForward>,
    pub is_answered: bool,
    pub has_response_started: bool,
}

impl ModelInvocation {
    pub fn is_open(&self) -> bool {
        !self.is_answered && !self.has_response_started
    }
}

/// A forward to a cache server that was warming up.
struct WarmUpForward {
    sent_at: Nanos,
    cache: CacheIndex,
}

/// State of the model.
#[derive(Default)]
pub struct Model {
    pub records: BTreeMap<CacheIndex, CacheRecord>,
    pub invocations: BTreeMap<InvocationIndex, ModelInvocation>,
    warm_up_forwards: Vec<WarmUpForward>,
    forwards_sent_at: Vec<Nanos>,
    /// Highest number of forwards per unit of warm weight in one second so far.
    peak_per_weight: f64,
}

/// Returns the state that the node must respect after a list: if removal is advisory, only draining is binding, until
/// the server is listed as ready.
fn binding_state(
    old: Option<LifecycleState>,
    new: LifecycleState,
    is_advisory: bool,
) -> LifecycleState {
    match (old, new) {
        (Some(LifecycleState::Ready), LifecycleState::Left) if is_advisory => LifecycleState::Ready,
        (_, new) => new,
    }
}

impl Model {
    pub fn apply_list(&mut self, kind: ListKind, records: &[CacheRecord], is_advisory: bool) {
        if matches!(kind, ListKind::Full | ListKind::Saved) {
            for record in self.records.values_mut() {
                record.state = binding_state(Some(record.state), LifecycleState::Left, is_advisory);
            }
        }
        for record in records {
            let old = self.records.get(&record.cache).map(|r| r.state);
            let state = binding_state(old, record.state, is_advisory);
            let record = CacheRecord {
                state,
                ..record.clone()
            };
            self.records.insert(record.cache, record);
        }
    }
}

impl Harness {
    fn model_invocation(&mut self, index: InvocationIndex) -> &mut ModelInvocation {
        let known = self.model.invocations.get_mut(&index);
        known.expect("rule 1: unknown invocation")
    }

    /// Checks rule 1: no invocation is unanswered after its deadline.
    pub fn check_answers_in_time(&self) {
        let slack = self.setup.rules.answer_slack;
        for (index, invocation) in &self.model.invocations {
            assert!(
                !invocation.is_open() || self.now <= invocation.deadline + slack,
                "rule 1: {index} was not answered in time"
            );
        }
    }

    /// Checks an action against the rules, and updates the model.
    pub fn check(&mut self, action: &Action) {
        let now = self.now;
        match *action {
            Action::Forward {
                inv,
                cache,
                wait,
                send_deadline,
            } => {
                self.check_forward(inv, cache, send_deadline);
                self.model_invocation(inv).forwards.push(ModelForward {
                    cache,
                    sent_at: now,
                    timeout_at: now + wait,
                    is_in_flight: true,
                    may_have_run: false,
                });
            }
            Action::Throttle { inv, .. } => {
                self.check_final_answer(inv);
                self.check_throttle(inv);
            }
            Action::Error { inv } => self.check_final_answer(inv),
            Action::Withdraw { inv, forward_index } => {
                assert!(
                    self.model.invocations[&inv].limits.withdraw,
                    "withdrawals are not allowed in this setup"
                );
                self.withdrawals.push((inv, forward_index));
            }
            Action::SetTimer { after, token } => self.timers.push((now + after, token)),
            Action::CheckHealth { cache } => {
                assert!(
                    self.setup.environment.allows_health_checks,
                    "health checks are not allowed in this setup"
                );
                self.health_checks.push(cache);
            }
            Action::SendGossip { peer, ref message } => {
                let environment = &self.setup.environment;
                assert!(
                    environment.peers
                        && message.len() <= 256
                        && peer < environment.nodes
                        && peer != environment.own_index
                );
            }
            Action::FollowList | Action::RequestList => self.has_requested_list = true,
        }
    }

    fn check_final_answer(&mut self, index: InvocationIndex) {
        let invocation = self.model_invocation(index);
        assert!(invocation.is_open(), "rule 1: {index} answered twice");
        invocation.is_answered = true;
    }

    fn check_throttle(&mut self, index: InvocationIndex) {
        let invocation = &self.model.invocations[&index];
        let mut forwards = invocation.forwards.iter();
        let may_run = forwards.any(|f| f.is_in_flight || f.may_have_run);
        let is_harmless = match self.setup.operations[invocation.operation].effect {
            Effect::Idempotent
            | Effect::Deduplicated {
                group: Group::All, ..
            } => true,
            _ => !may_run,
        };
        assert!(
            is_harmless,
            "rule 2: {index} was throttled although it may have run"
        );
    }

    fn check_forward(
        &mut self,
        index: InvocationIndex,
        cache: CacheIndex,
        send_deadline: Option<Nanos>,
    ) {
        let known = self.model.invocations.get(&index);
        let invocation = known.expect("rule 1: unknown invocation");
        assert!(
            invocation.is_open(),
            "rule 1: {index} forwarded after its answer"
        );
        assert!(
            invocation.forwards.len() < invocation.limits.max_forwards,
            "more forwards than `max_forwards`"
        );
        let target = &self.model.records[&cache];
        assert_eq!(
            target.state,
            LifecycleState::Ready,
            "rule 3: forward to a cache server that is draining or removed"
        );
        let overlaps = invocation.forwards.iter().any(|f| f.is_in_flight);
        assert!(
            invocation.limits.allows_hedging || !overlaps,
            "rule 2: overlapping forwards"
        );
        self.check_repeats(index, invocation, target, send_deadline);
        let is_origin =
            matches!(self.setup.mode, OriginMode::Aside { kind } if kind == target.kind);
        if !is_origin {
            self.check_warm_up_budget(cache);
        }
    }

    fn check_repeats(
        &self,
        index: InvocationIndex,
        invocation: &ModelInvocation,
        target: &CacheRecord,
        send_deadline: Option<Nanos>,
    ) {
        let forwards = invocation.forwards.iter();
        let mut earlier = forwards.filter(|f| f.is_in_flight || f.may_have_run);
        match self.setup.operations[invocation.operation].effect {
            Effect::Idempotent => {}
            Effect::NonIdempotent => {
                assert!(earlier.next().is_none(), "rule 2: {index} may run twice");
            }
            Effect::Deduplicated { group, window } => {
                for forward in earlier {
                    let first = &self.model.records[&forward.cache];
                    let is_same_group = match group {
                        Group::All => true,
                        Group::Zone => first.zone == target.zone,
                        Group::Cell => first.cell == target.cell,
                    };
                    assert!(
                        is_same_group,
                        "rule 2: {index} was repeated outside its deduplication group"
                    );
                    let window_end = forward.sent_at + window;
                    assert!(
                        self.now < window_end,
                        "rule 2: {index} was sent after its deduplication window"
                    );
                    let is_sent_in_time = send_deadline.is_some_and(|m| m <= window_end);
                    assert!(
                        is_sent_in_time,
                        "rule 2: {index} may be sent after its deduplication window"
                    );
                }
            }
        }
    }

    fn capacity_fraction(&self, record: &CacheRecord) -> f64 {
        let rules = &self.setup.rules;
        if record.ready_at == 0 {
            return 1.0;
        }
        let age = (self.now - record.ready_at) as f64 / rules.warm_up_period as f64;
        (rules.start_capacity + (1.0 - rules.start_capacity) * age).min(1.0)
    }

    /// Checks rule 4: in no window is a cache server that is warming up sent more than the configured multiple of its
    /// capacity. The capacity is the highest rate so far per unit of warm weight, reduced by the configured ramp.
    fn check_warm_up_budget(&mut self, cache: CacheIndex) {
        let now = self.now;
        let records = self.model.records.values();
        let ready = records.filter(|r| r.state == LifecycleState::Ready);
        let weight: f64 = ready.map(|r| self.capacity_fraction(r)).sum();
        let target = &self.model.records[&cache];
        let target_weight = target.weight;
        let fraction = self.capacity_fraction(target);
        let model = &mut self.model;
        model.forwards_sent_at.push(now);
        let forwards = model.forwards_sent_at.iter();
        let recent_forwards = forwards.filter(|&&sent| sent + SECOND >= now).count() as f64;
        model.peak_per_weight = model
            .peak_per_weight
            .max(recent_forwards / weight.max(1e-9));
        if fraction >= 1.0 {
            return;
        }
        let rules = &self.setup.rules;
        let window = rules.fall.max(SECOND);
        model.warm_up_forwards.push(WarmUpForward {
            sent_at: now,
            cache,
        });
        let forwards = model.warm_up_forwards.iter();
        let in_window = forwards.filter(|f| f.cache == cache && f.sent_at + window > now);
        let sent = in_window.count() as f64;
        let seconds = window as f64 / SECOND as f64;
        let budget =
            rules.fall_multiple * fraction * target_weight * model.peak_per_weight * seconds;
        assert!(
            sent <= budget.max(1.0),
            "rule 4: {sent} forwards to cache server {cache} while it warms up; the budget is {budget}"
        );
    }
}
