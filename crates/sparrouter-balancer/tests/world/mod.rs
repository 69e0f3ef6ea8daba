//! A legal environment for one node, with a model of the rules written apart from the module: it
//! knows only what went in and what came out, and checks every action as it comes.
#![allow(dead_code)]
use sparrouter_balancer::policy::Policy;
use sparrouter_balancer::types::*;
use std::collections::BTreeMap;

pub const MS: Nanos = 1_000_000;

#[derive(Clone, Debug)]
pub struct Site {
    pub place: Environment,
    pub ops: Vec<Operation>,
    pub limits: ForwardLimits,
    pub rules: Rules,
    pub mode: OriginMode,
    pub tenants: Vec<Tenant>,
}

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

pub fn site() -> Site {
    Site {
        place: Environment {
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
        ops: vec![
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
        mode: OriginMode::Aside { kind: 9 },
        tenants: vec![],
    }
}

pub fn row(cache: CacheIndex, kind: usize) -> CacheRecord {
    CacheRecord {
        cache,
        id_hash: (cache as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        state: LifecycleState::Ready,
        zone: cache % 3,
        cell: (cache % 2) as i64,
        kind,
        weight: 1.0 + (cache % 2) as f64,
        ready_at: 0,
    }
}

pub fn fleet(n: usize) -> Vec<CacheRecord> {
    (0..n).map(|c| row(c, 0)).chain([row(n, 9)]).collect()
}

/// Where a read of this key goes; it succeeds there at once.
pub fn winner(w: &mut World, key: u64) -> CacheIndex {
    let inv = w.arrive(0, Some(key), false, SECOND);
    let to = w.sent_to(inv)[0];
    w.end(inv, 0, Outcome::Succeeded);
    to
}

struct Sent {
    cache: CacheIndex,
    at: Nanos,
    until: Nanos,
    open: bool,
    may_have_run: bool,
}

struct Held {
    op: usize,
    limits: ForwardLimits,
    due: Nanos,
    sent: Vec<Sent>,
    answered: bool,
    begun: bool,
}

pub struct World {
    pub site: Site,
    /// Where the operations in force begin.
    pub first: usize,
    pub policy: Policy,
    pub now: Nanos,
    rows: BTreeMap<CacheIndex, CacheRecord>,
    held: BTreeMap<InvocationIndex, Held>,
    timers: Vec<(Nanos, u64)>,
    coming: Vec<ForwardOutcome>,
    probes: Vec<CacheIndex>,
    cold_sends: Vec<(Nanos, CacheIndex, f64)>,
    sends: Vec<Nanos>,
    peak: f64,
    next: InvocationIndex,
    pub asked: bool,
    /// What every ending and probe reports.
    pub load: Option<Load>,
    pub log: Vec<Action>,
}

impl World {
    pub fn new(site: Site, rows: Vec<CacheRecord>) -> World {
        let s = site.clone();
        let policy = Policy::new(s.place, s.ops, &s.tenants, s.limits, s.rules, s.mode);
        let mut w = World {
            site,
            first: 0,
            policy,
            now: 100 * SECOND,
            rows: BTreeMap::new(),
            held: BTreeMap::new(),
            timers: vec![],
            coming: vec![],
            probes: vec![],
            cold_sends: vec![],
            sends: vec![],
            peak: 0.0,
            next: 0,
            asked: false,
            load: None,
            log: vec![],
        };
        w.list(ListKind::Saved, rows);
        w
    }

    /// Other settings: each operation moves to a place of its own, so that what is in hand keeps its rules.
    pub fn apply_settings(&mut self, ops: Vec<Operation>, limits: ForwardLimits, nodes: usize) {
        let place = Environment {
            nodes,
            ..self.site.place.clone()
        };
        let (tenants, rules) = (&self.site.tenants, self.site.rules.clone());
        let fresh = Policy::new(
            place.clone(),
            ops.clone(),
            tenants,
            limits,
            rules,
            self.site.mode,
        );
        let (most, kept, first) = (self.site.ops.len(), tenants.len(), self.first);
        let taken = |n: usize| OperationMapping {
            new_index: most + n,
            old_index: (first + n < most).then_some(first + n),
        };
        let rows: Vec<OperationMapping> = (0..ops.len()).map(taken).collect();
        self.policy.apply_settings(
            self.now,
            fresh,
            &rows,
            &(0..kept).map(Some).collect::<Vec<_>>(),
        );
        self.site.ops.extend(ops);
        self.first = most;
        (self.site.limits, self.site.place) = (limits, place);
    }

    pub fn list(&mut self, form: ListKind, rows: Vec<CacheRecord>) {
        // What binds: where gone is advice, only what was listed as draining, until it is listed as ready.
        let advice = self.site.rules.removal_is_advisory;
        let binding = |old: Option<LifecycleState>, new| match (old, new) {
            (Some(LifecycleState::Ready), LifecycleState::Left) if advice => LifecycleState::Ready,
            (_, new) => new,
        };
        if matches!(form, ListKind::Full | ListKind::Saved) {
            self.rows
                .values_mut()
                .for_each(|r| r.state = binding(Some(r.state), LifecycleState::Left));
        }
        for r in &rows {
            let old = self.rows.get(&r.cache).map(|r| r.state);
            self.rows.insert(
                r.cache,
                CacheRecord {
                    state: binding(old, r.state),
                    ..r.clone()
                },
            );
        }
        self.play(Event::Listed {
            form,
            records: rows,
        });
    }

    pub fn arrive(
        &mut self,
        op: usize,
        key: Option<u64>,
        write: bool,
        patience: Nanos,
    ) -> InvocationIndex {
        let (inv, due) = (self.next, self.now + patience);
        self.next += 1;
        self.held.insert(
            inv,
            Held {
                op,
                limits: self.site.limits,
                due,
                sent: vec![],
                answered: false,
                begun: false,
            },
        );
        let tenant = (!self.site.tenants.is_empty())
            .then_some(inv as usize % self.site.tenants.len().max(1));
        let arrival = Arrival {
            inv,
            operation: op,
            tenant,
            key,
            write,
            deadline: due,
            ..Arrival::default()
        };
        self.play(Event::Arrived(arrival));
        inv
    }

    /// The forwards that are out, oldest first.
    pub fn open(&self) -> Vec<(InvocationIndex, usize)> {
        let each = self
            .held
            .iter()
            .flat_map(|(&i, h)| h.sent.iter().enumerate().map(move |(n, s)| (i, n, s.open)));
        each.filter(|e| e.2).map(|e| (e.0, e.1)).collect()
    }
    pub fn sent_to(&self, inv: InvocationIndex) -> Vec<CacheIndex> {
        self.held[&inv].sent.iter().map(|s| s.cache).collect()
    }
    pub fn answered(&self, inv: InvocationIndex) -> bool {
        self.held[&inv].answered
    }

    pub fn end(&mut self, inv: InvocationIndex, copy: usize, outcome: Outcome) {
        let h = self.held.get_mut(&inv).expect("held");
        let s = &mut h.sent[copy];
        if !s.open {
            return;
        }
        (s.open, s.may_have_run) = (false, !outcome.never_ran());
        let (cache, lag) = (s.cache, self.now - s.at);
        h.answered |= outcome == Outcome::Succeeded || h.begun;
        let last = h.answered;
        let load = self.load;
        self.play(Event::ForwardEnded(ForwardOutcome {
            inv,
            copy,
            cache,
            outcome,
            latency: lag,
            is_final: last,
            cache_result: None,
            load,
        }));
    }

    pub fn begin(&mut self, inv: InvocationIndex, copy: usize) {
        let h = self.held.get_mut(&inv).expect("held");
        if h.answered || h.begun || !self.site.ops[h.op].stream {
            return;
        }
        h.begun = true;
        h.sent[copy].until = Nanos::MAX;
        self.play(Event::ResponseStarted { inv, copy });
    }

    pub fn leave(&mut self, inv: InvocationIndex) {
        let h = self.held.get_mut(&inv).expect("held");
        if !h.answered && !h.begun {
            h.answered = true;
            self.play(Event::ClientLeft { inv });
        }
    }

    /// Lets time pass: timers, time-outs and withdrawals come when they are due.
    pub fn pass(&mut self, time: Nanos) {
        let end = self.now + time;
        while self.now < end {
            self.now = (self.now + self.site.place.tick).min(end);
            for e in std::mem::take(&mut self.coming) {
                self.end(e.inv, e.copy, e.outcome);
            }
            for cache in std::mem::take(&mut self.probes) {
                let ok = cache % 2 == 0;
                self.play(Event::HealthChecked {
                    cache,
                    ok,
                    load: self.load,
                });
            }
            for (inv, copy) in self.open() {
                if self.held[&inv].sent[copy].until <= self.now {
                    self.end(inv, copy, Outcome::TimedOut);
                }
            }
            let (fired, later) = self.timers.iter().partition(|t| t.0 <= self.now);
            self.timers = later;
            let mut fired: Vec<(Nanos, u64)> = fired;
            fired.sort();
            for (_, token) in fired {
                self.play(Event::TimerFired { token });
            }
            let slack = self.site.rules.answer_slack;
            for (inv, h) in &self.held {
                assert!(
                    h.answered || h.begun || self.now <= h.due + slack,
                    "rule 1: {inv} has no answer in time"
                );
            }
        }
    }

    pub fn play(&mut self, event: Event) {
        self.policy.handle(self.now, event);
        let actions: Vec<Action> = self.policy.take_actions().collect();
        for action in actions {
            self.check(&action);
            self.log.push(action);
        }
    }

    fn check(&mut self, action: &Action) {
        let now = self.now;
        match *action {
            Action::Forward {
                inv,
                cache,
                wait,
                must_leave_before: before,
            } => {
                self.check_forward(inv, cache, before);
                let h = self.held.get_mut(&inv).expect("rule 1: unknown invocation");
                let until = now + wait;
                h.sent.push(Sent {
                    cache,
                    at: now,
                    until,
                    open: true,
                    may_have_run: false,
                });
            }
            Action::Throttle { inv, .. } => {
                let h = self.held.get_mut(&inv).expect("rule 1: unknown invocation");
                assert!(!h.answered && !h.begun, "rule 1: {inv} answered twice");
                h.answered = true;
                let open_to_doubt = h.sent.iter().any(|s| s.open || s.may_have_run);
                let harmless = match self.site.ops[h.op].effect {
                    Effect::Idempotent
                    | Effect::Deduplicated {
                        group: Group::All, ..
                    } => true,
                    _ => !open_to_doubt,
                };
                assert!(harmless, "rule 2: {inv} throttled though it may have run");
            }
            Action::Error { inv } => {
                let h = self.held.get_mut(&inv).expect("rule 1: unknown invocation");
                assert!(!h.answered && !h.begun, "rule 1: {inv} answered twice");
                h.answered = true;
            }
            Action::Withdraw { inv, copy } => {
                assert!(
                    self.held[&inv].limits.withdraw,
                    "withdrawals are not allowed here"
                );
                let s = &self.held[&inv].sent[copy];
                let (cache, outcome) = (s.cache, Outcome::Withdrawn);
                self.coming.push(ForwardOutcome {
                    inv,
                    copy,
                    cache,
                    outcome,
                    latency: 0,
                    is_final: false,
                    cache_result: None,
                    load: None,
                });
            }
            Action::SetTimer { after, token } => self.timers.push((now + after, token)),
            Action::CheckHealth { cache } => {
                assert!(
                    self.site.place.allows_health_checks,
                    "probes are not allowed here"
                );
                self.probes.push(cache);
            }
            Action::SendGossip { peer, ref text } => {
                let place = &self.site.place;
                assert!(
                    place.peers
                        && text.len() <= 256
                        && peer < place.nodes
                        && peer != place.own_index
                )
            }
            Action::FollowList | Action::RequestList => self.asked = true,
        }
    }

    fn check_forward(&mut self, inv: InvocationIndex, cache: CacheIndex, before: Option<Nanos>) {
        let h = self.held.get(&inv).expect("rule 1: unknown invocation");
        assert!(
            !h.answered && !h.begun,
            "rule 1: {inv} forwarded after its answer"
        );
        assert!(
            h.sent.len() < h.limits.max_forwards,
            "more forwards than allowed"
        );
        let to = &self.rows[&cache];
        assert_eq!(
            to.state,
            LifecycleState::Ready,
            "rule 3: sent to a drained cache server"
        );
        let open = h.sent.iter().any(|s| s.open);
        assert!(
            h.limits.allows_hedging || !open,
            "rule 2: overlapping forwards"
        );
        let mut ran = h.sent.iter().filter(|s| s.open || s.may_have_run);
        match self.site.ops[h.op].effect {
            Effect::Idempotent => {}
            Effect::NonIdempotent => assert!(ran.next().is_none(), "rule 2: {inv} may run twice"),
            Effect::Deduplicated { group, window } => {
                let earlier: Vec<&Sent> = ran.collect();
                for s in &earlier {
                    let from = &self.rows[&s.cache];
                    let same = match group {
                        Group::All => true,
                        Group::Zone => from.zone == to.zone,
                        Group::Cell => from.cell == to.cell,
                    };
                    assert!(same, "rule 2: {inv} left its group");
                    assert!(
                        self.now < s.at + window,
                        "rule 2: {inv} sent past its window"
                    );
                    let in_time = before.is_some_and(|before| before <= s.at + window);
                    assert!(in_time, "rule 2: {inv} may leave past its window");
                }
            }
        }
        let origin = matches!(self.site.mode, OriginMode::Aside { kind } if kind == to.kind);
        if !origin {
            self.check_cold(cache);
        }
    }

    /// In no window does a cold cache server get more than the stated multiple of what the busiest
    /// second so far gave to a warm one of its size, cut to the stated climb.
    fn check_cold(&mut self, cache: CacheIndex) {
        let (now, r) = (self.now, self.site.rules.clone());
        let warmth = |row: &CacheRecord| match row.ready_at {
            0 => 1.0,
            at => (r.start_capacity
                + (1.0 - r.start_capacity) * (now - at) as f64 / r.warm_up_period as f64)
                .min(1.0),
        };
        self.sends.push(now);
        let lately = self.sends.iter().filter(|&&t| t + SECOND >= now).count() as f64;
        let weight: f64 = self
            .rows
            .values()
            .filter(|r| r.state == LifecycleState::Ready)
            .map(&warmth)
            .sum();
        self.peak = self.peak.max(lately / weight.max(1e-9));
        let (to, share) = (&self.rows[&cache], warmth(&self.rows[&cache]));
        if share < 1.0 {
            let window = r.fall.max(SECOND);
            self.cold_sends.push((now, cache, share));
            let sent = self
                .cold_sends
                .iter()
                .filter(|s| s.1 == cache && s.0 + window > now)
                .count() as f64;
            let budget =
                r.fall_multiple * share * to.weight * self.peak * window as f64 / SECOND as f64;
            assert!(
                sent <= budget.max(1.0),
                "rule 4: {sent} sent to cold {cache}, budget {budget}"
            );
        }
    }

    /// To the end: nothing new comes, all that is held must be answered.
    pub fn finish(&mut self) {
        let last = self.held.values().map(|h| h.due).max().unwrap_or(self.now);
        self.pass(last.saturating_sub(self.now) + self.site.rules.answer_slack + MS);
        for (inv, h) in &self.held {
            assert!(h.answered || h.begun, "rule 1: {inv} was never answered");
        }
    }
}
