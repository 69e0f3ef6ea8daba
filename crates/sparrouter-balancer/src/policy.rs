//! Every decision of sparrouter, for one node.
//!
//! How it is called: `Policy::new` takes the settings, part by part; then `handle(now, event)` is
//! called once an event, in order of arrival, and `drain()` yields the actions to carry out, in
//! order. Nothing else goes in or out: no I/O, no clock, no chance but the seeded one. The plain
//! types of that door are in `types.rs`.
//!
//! The ordinary path is the election hash of docs/design.md: every ready cache server is scored by
//! hash(id, key), the highest score wins, a miss goes on to the origin. The rest of this file keeps
//! that path standing when things break.

use crate::gossip::*;
use crate::records::*;
use crate::types::*;
use std::collections::{BTreeMap, HashMap};

// ---- The gate: rules 1 to 3. Every forward and every final answer asks here first. ----

fn may_forward(
    inv: &Inv,
    op: &Operation,
    limits: &ForwardLimits,
    to: &Cache,
    fleet: &Fleet,
    now: Nanos,
) -> bool {
    let free = inv.live() && now < inv.arrival.deadline && to.standing == LifecycleState::Ready;
    let room =
        inv.forwards.len() < limits.max_forwards && (limits.allows_hedging || inv.open() == 0);
    let effect = match (op.effect, inv.first_effect()) {
        (Effect::Idempotent, _) | (_, None) => true,
        (Effect::NonIdempotent, Some(_)) => false,
        (Effect::Deduplicated { group, window }, Some(first)) => {
            let from = fleet.get(first.cache);
            let same = match group {
                Group::All => true,
                Group::Zone => from.zone == to.zone,
                Group::Cell => from.cell == to.cell,
            };
            same && now < first.at + window
        }
    };
    free && room && effect
}

/// Guards against a window that runs out between the decision and the last byte: a connection takes its time.
fn leaves_before(inv: &Inv, op: &Operation) -> Option<Nanos> {
    let Effect::Deduplicated { window, .. } = op.effect else {
        return None;
    };
    inv.first_effect().map(|first| first.at + window)
}

fn may_throttle(inv: &Inv, op: &Operation) -> bool {
    match op.effect {
        Effect::Idempotent
        | Effect::Deduplicated {
            group: Group::All, ..
        } => true,
        _ => inv.first_effect().is_none(),
    }
}

// ---- Fleet: one record a cache server, found by its index. ----

impl Cache {
    /// Guards against a list that is wrong: where gone is advice, one that never drained stays in the
    /// election until own forwards show that it is out of reach.
    fn listed(&mut self, standing: LifecycleState, advice: bool) {
        self.missing =
            advice && standing == LifecycleState::Left && self.standing == LifecycleState::Ready;
        self.standing = if self.missing {
            LifecycleState::Ready
        } else {
            standing
        };
    }
    fn started(&mut self, at: Nanos, now: Nanos, tokens: f64) {
        (self.ready_at, self.tokens, self.filled_at) = (at.max(self.ready_at), tokens, now);
    }
    /// How much of its weight a cache server keeps: less where its forwards end badly, by all that was
    /// learnt here or told by peers. Guards against deep queues that no single node feeds enough to see.
    fn health(&self, prior: f64, now: Nanos) -> f64 {
        let left = fade(now.saturating_sub(self.learnt_at) / 8);
        1.0 / (1.0 + CROWD_GAIN * self.crowd.0 * left / (self.crowd.1 * left + prior))
    }
}

#[derive(Default)]
struct Fleet {
    caches: Vec<Option<Cache>>,
    /// The members of the election.
    ready: Vec<CacheIndex>,
    origin: Option<CacheIndex>,
    rules: Rules,
    origin_kind: Option<usize>,
    live_weights: bool,
    /// First wait before a doubted cache server is looked at again: the shortest objective.
    first_look: Nanos,
    rng: fastrand::Rng,
    /// Answers a second that this node gets from a unit of warm weight, smoothed.
    rate: f64,
    answers: f64,
    /// Part of the forwards of late that were strikes.
    silence: f64,
    counted_at: Nanos,
    doubts: u64,
    cold_sends: u64,
}

impl Fleet {
    fn get(&self, c: CacheIndex) -> &Cache {
        self.caches[c].as_ref().expect("listed cache")
    }
    fn known(&mut self, c: CacheIndex) -> Option<&mut Cache> {
        self.caches.get_mut(c).and_then(|c| c.as_mut())
    }
    fn at(&mut self, c: CacheIndex) -> &mut Cache {
        self.known(c).expect("listed cache")
    }
    fn is_origin(&self, c: CacheIndex) -> bool {
        self.origin_kind == Some(self.get(c).kind)
    }

    fn list(&mut self, form: ListKind, rows: &[CacheRecord], now: Nanos) {
        let advice = self.rules.removal_is_advisory;
        self.count(now);
        if form != ListKind::Changes {
            self.caches
                .iter_mut()
                .flatten()
                .for_each(|c| c.listed(LifecycleState::Left, advice));
        }
        for row in rows {
            if self.caches.len() <= row.cache {
                self.caches.resize_with(row.cache + 1, || None);
            }
            let weight = if self.live_weights || row.weight <= 0.0 {
                1.0
            } else {
                row.weight
            };
            // Also where another had that index and has long gone.
            let fresh = Cache {
                id_hash: row.id_hash,
                kind: row.kind,
                limit: LIMIT_MAX / 2.0,
                heard: now,
                learnt_at: now,
                ..Cache::default()
            };
            let c = self.caches[row.cache]
                .take()
                .filter(|c| c.id_hash == row.id_hash)
                .unwrap_or(fresh);
            let c = self.caches[row.cache].insert(c);
            if row.ready_at > c.ready_at {
                // A restart under the same id: what was held against the old process is void.
                (c.doubt, c.strikes, c.unreachable) = (None, 0, false);
                c.started(row.ready_at, now, self.rng.f64());
            }
            c.listed(row.state, advice);
            (c.weight, c.zone, c.cell) = (weight, row.zone, row.cell);
        }
        let up = |c: &CacheIndex| {
            self.caches[*c]
                .as_ref()
                .is_some_and(|c| c.standing == LifecycleState::Ready)
        };
        let all = (0..self.caches.len()).filter(up);
        let (origin, ready): (Vec<_>, _) = all.partition(|&c| self.is_origin(c));
        (self.origin, self.ready) = (origin.first().copied(), ready);
    }

    /// The part of its capacity that it has at least, by the stated climb.
    fn warmth(&self, c: CacheIndex, now: Nanos) -> f64 {
        let (ready_at, start) = (self.get(c).ready_at, self.rules.start_capacity);
        let age = now.saturating_sub(ready_at) as f64 / self.rules.warm_up_period.max(1) as f64;
        if ready_at == 0 {
            1.0
        } else {
            (start + (1.0 - start) * age).min(1.0)
        }
    }

    /// All ready cache servers, highest score first. A weight's share of the keys is its part of
    /// the sum; a cold cache server weighs as much as it is warm, alike at every node.
    fn rank(&self, key: u64, peers: usize, now: Nanos) -> Vec<(f64, CacheIndex)> {
        let prior = 1.0 / (1.0 + peers as f64);
        let score = |&c: &CacheIndex| {
            let cache = self.get(c);
            let weight = cache.weight * self.warmth(c, now) * cache.health(prior, now);
            (sparrouter_rendezvous::score(cache.id_hash, key, weight), c)
        };
        let mut order: Vec<_> = self.ready.iter().map(score).collect();
        order.sort_unstable_by(|a, b| b.0.total_cmp(&a.0));
        order
    }

    /// The part of all keys that cold cache servers win.
    fn cold_part(&self, now: Nanos) -> f64 {
        let part = |&c: &CacheIndex| {
            (
                self.warmth(c, now),
                self.warmth(c, now) * self.get(c).weight,
            )
        };
        let each = || self.ready.iter().map(part);
        each().filter(|p| p.0 < 1.0).map(|p| p.1).sum::<f64>() / each().map(|p| p.1).sum::<f64>()
    }

    /// This node's in-flight bar: over it, a cache server is passed over.
    fn bar(&self) -> f64 {
        let known = self.ready.iter().map(|&c| self.get(c)).filter(|c| c.used);
        let (out, count) = known.fold((0, 0), |(out, count), c| (out + c.out, count + 1));
        (2.0 * f64::from(out) / f64::from(count.max(1))).max(PASS_OVER_FLOOR)
    }

    /// What this node may send a cold cache server: a second, and saved up at the most. What a warm
    /// unit of weight answers this node stands for the capacity that nobody tells.
    fn cold_budget(&self, c: CacheIndex, now: Nanos) -> (f64, f64) {
        let capacity = self.rate * self.get(c).weight * self.warmth(c, now);
        let per_s = capacity * self.rules.fall_multiple * COLD_MARGIN;
        let window = self.rules.fall.max(SECOND) as f64 / SECOND as f64;
        (per_s, (per_s * window / 2.0).max(1.0))
    }
    /// Guards rule 4 alone. A part far below one forward is saved up from a start drawn by chance, so
    /// that of hundreds of nodes few send at once: 'one from each' pushed new cache servers over.
    fn cold_tokens(&self, c: CacheIndex, now: Nanos) -> f64 {
        let (per_s, most) = self.cold_budget(c, now);
        let cache = self.get(c);
        let age = now.saturating_sub(cache.filled_at) as f64 / SECOND as f64;
        (cache.tokens + per_s * age).min(most)
    }
    fn cold_room(&self, c: CacheIndex, now: Nanos) -> bool {
        self.warmth(c, now) >= 1.0 || self.cold_tokens(c, now) >= 1.0
    }

    fn sent(&mut self, c: CacheIndex, now: Nanos) {
        let cold = self.warmth(c, now) < 1.0;
        let tokens = if cold {
            self.cold_tokens(c, now) - 1.0
        } else {
            0.0
        };
        self.cold_sends += u64::from(cold);
        let cache = self.at(c);
        (cache.tokens, cache.filled_at) = (tokens, now);
        (cache.out, cache.used) = (cache.out + 1, true);
    }

    /// Counts answers: what is only sent says nothing of what can be done.
    fn answered(&mut self, c: CacheIndex, now: Nanos) {
        self.answers += f64::from(u8::from(self.get(c).standing == LifecycleState::Ready));
        self.silence *= 0.95;
        if now > self.counted_at + SECOND {
            self.count(now);
        }
    }
    /// Guards against a list that shrinks: answers of two hundred, shared out among the eight that were left,
    /// made the budget of a cold one many times what it can do, and so did the first few within a moment.
    fn count(&mut self, now: Nanos) {
        let time = (now - self.counted_at) as f64 / SECOND as f64;
        let total: f64 = self
            .ready
            .iter()
            .map(|&r| self.get(r).weight * self.warmth(r, now))
            .sum();
        if time > 0.0 && total > 0.0 {
            let per_s = self.answers / time / total;
            let part = if self.rate == 0.0 {
                time.min(1.0)
            } else {
                0.3 * time.min(1.0)
            };
            self.rate += part * (per_s - self.rate);
        }
        (self.answers, self.counted_at) = (0.0, now);
    }

    /// One more piece of evidence against a cache server; `hard` is proof that it can't be reached.
    fn strike(&mut self, c: CacheIndex, hard: bool, now: Nanos) {
        let (first, most, usual) = (self.first_look, self.most_doubted(), self.silence);
        self.silence += 0.05 * (1.0 - self.silence);
        let cache = self.at(c);
        cache.strikes += 1;
        let before = cache.doubt.is_some();
        // Where silence is rare one is enough: at full size a second comes only after many seconds.
        // The more of it all over the fleet, the less it says of this one.
        let doubted = usual.powi(cache.strikes as i32) <= RARE;
        cache.unreachable |= hard && doubted;
        if doubted {
            // Out of reach and not listed either: looked at ever more seldom.
            let longest = match cache.missing && cache.unreachable {
                true => Nanos::MAX,
                false => first * if most { 1 } else { 8 },
            };
            let backoff = cache
                .doubt
                .as_ref()
                .map_or(first, |d| (d.backoff * 2).min(longest));
            cache.doubt = Some(Doubt {
                until: now + backoff,
                backoff,
                trial: false,
            });
            self.doubts += u64::from(!before);
            let cache = self.at(c);
            // List and own forwards have agreed for long: it is kept no more, until it is listed again.
            if cache.missing && backoff > first * LOOKS {
                (cache.standing, cache.missing) = (LifecycleState::Left, false);
                self.ready.retain(|&r| r != c);
            }
        }
    }

    /// It answered something: the doubt is over. One that was out of reach comes back as cold,
    /// whatever the list says yet: a crashed process restarts before the list knows.
    fn cleared(&mut self, c: CacheIndex, now: Nanos) {
        let phase = self.rng.f64();
        let Some(cache) = self.known(c) else { return };
        if cache.unreachable {
            cache.started(now, now, phase);
        }
        (cache.heard, cache.strikes, cache.unreachable, cache.doubt) = (now, 0, false, None);
    }

    /// The worst of them, for peers: push-sum as with keys.
    fn give(&mut self, to: usize) -> Vec<Sums> {
        let part = 1.0 / (1 + to) as f64;
        let mut worst: Vec<CacheIndex> = self.ready.clone();
        worst.retain(|&c| self.get(c).crowd.0 > 0.0);
        worst.sort_by(|&a, &b| self.get(b).crowd.0.total_cmp(&self.get(a).crowd.0));
        worst.truncate(NOTE_ROWS);
        let row = |&c: &CacheIndex| {
            let cache = self.at(c);
            cache.crowd = (cache.crowd.0 * part, cache.crowd.1 * part);
            (cache.id_hash as u32, cache.crowd.0, cache.crowd.1)
        };
        worst.iter().map(row).collect()
    }
    fn take(&mut self, (id, bad, all): Sums, now: Nanos) {
        let Some(c) = self
            .caches
            .iter_mut()
            .flatten()
            .find(|c| c.id_hash as u32 == id)
        else {
            return;
        };
        let (old, kept) = (fade(now - c.learnt_at), fade((now - c.learnt_at) / 8));
        c.crowd = (c.crowd.0 * kept + bad.min(all), c.crowd.1 * kept + all);
        (c.bad, c.known, c.learnt_at) = (c.bad * old, c.known * old, now);
    }

    fn most_doubted(&self) -> bool {
        let doubted = self
            .ready
            .iter()
            .filter(|&&c| self.get(c).doubt.is_some())
            .count();
        doubted * 2 > self.ready.len()
    }

    /// Mean badness of the ready cache servers, each counted once however much it gets, and by how
    /// fresh the latest evidence is: none is neither good nor bad. Counted as good, the many that a
    /// node of a large deployment has not just heard hid an overload from it; counted by their
    /// traffic, a few crowded ones had the whole fleet shed; counted as long as that of one, what was
    /// learnt of two hundred outweighed all that had gone well since for five seconds.
    fn badness(&self, now: Nanos) -> f64 {
        let each = self
            .ready
            .iter()
            .map(|&c| self.get(c))
            .filter(|c| c.doubt.is_none() && c.known > 0.0);
        let sum = |(bad, known), c: &Cache| {
            let weight = (c.known * fade(STALE * (now - c.learnt_at))).min(LEARN_PART);
            (bad + weight * c.bad / c.known, known + weight)
        };
        let (bad, known) = each.fold((0.0, 0.0), sum);
        bad / (known + LEARN_PART)
    }
}

/// The design's floor of the pass-over bar.
const PASS_OVER_FLOOR: f64 = 2.0;
/// This much of the cold budget is used; the rest is for chance.
const COLD_MARGIN: f64 = 0.5;
/// How fast what became of those that erred is learnt.
const RESCUE_STEP: f64 = 0.1;
/// Strikes in a row that would come by chance no more often than this raise doubt.
const RARE: f64 = 0.1;
/// How bad a full cache server is, beside one that answers too late.
const FULL_BAD: f64 = 0.25;
/// One that is missing is let go when the wait between looks at it has grown to so many of the first.
const LOOKS: Nanos = 256;
const CROWD_GAIN: f64 = 6.0;
/// Evidence of the whole fleet's badness grows stale so much faster than that of one cache server.
const STALE: Nanos = 6;

// ---- Origin guard: a learned limit, one fetch a key, a short queue. ----

impl OriginGuard {
    fn room(&self, now: Nanos) -> bool {
        now >= self.rests_until && (self.out as f64) < self.limit.max(1.0)
    }
    /// Behind those that are worth as much or more.
    fn wait(&self, value: f64) -> f64 {
        let ahead = self.queue.iter().filter(|q| q.0 >= value).count();
        (ahead as f64 + 1.0) * self.mean / self.limit
    }
    /// The gradient rule: the limit follows how far latency lies over the uncrowded one.
    fn learn(&mut self, outcome: Outcome, lag: Nanos, now: Nanos) {
        let lag = lag.max(1) as f64;
        // The older what is known, the more a new answer weighs: with many nodes each sees few.
        let stale = |part: f64, age: f64| part.max(1.0 - fade((age / part / 10.0) as Nanos));
        let age = now.saturating_sub(self.learnt_at) as f64;
        self.learnt_at = now;
        match outcome {
            Outcome::Succeeded => {
                (self.strikes, self.heard) = (0, now);
                self.usual.learn(lag);
                let (fast, slow) = (stale(0.1, age), stale(0.02, age));
                self.mean = if self.mean == 0.0 {
                    lag
                } else {
                    self.mean + fast * (lag - self.mean)
                };
                self.slow = if self.slow == 0.0 {
                    lag
                } else {
                    self.slow + slow * (lag - self.slow)
                };
                // What it takes uncrowded. Taken from the first answers, a crowd at the start passed for the
                // usual for good: now it begins at half of what is tolerated, falls back to that, and rises
                // by long answers the less of them are out, as those few are no crowd.
                let usual = self.tolerated / 2.0;
                self.base = if self.base == 0.0 { usual } else { self.base };
                let alone = 0.2 * stale(0.2, age) * (self.least / self.limit).min(1.0).powi(3);
                let up = alone * (self.slow - self.base).max(0.0);
                self.base = (self.base + up + 0.01 * fast * (usual - self.base)).min(self.slow);
                let good = self.tolerated.max(2.0 * self.base);
                let gradient = (good / self.mean).clamp(0.5, 1.0);
                let goal = self.limit * gradient + self.growth.max(self.limit.min(1.0) / 4.0);
                self.limit += stale(0.4, age) * (goal - self.limit);
                self.limit = self.limit.clamp(self.least, self.out as f64 + 3.0);
            }
            // Guards against invocations that fail wherever they go: taken for a crowd, they had the limit
            // fall to nothing, and every miss was turned away. What errs is answered, and quickly.
            Outcome::Withdrawn | Outcome::NotSent | Outcome::Miss | Outcome::Error => {}
            // A connection that broke, or fell silent while others were answered, is no sign of a crowd.
            Outcome::Reset | Outcome::Broken => self.strikes += 1,
            Outcome::TimedOut if self.heard + lag as Nanos > now => {}
            _ => {
                (self.strikes, self.limit) = (self.strikes + 1, (self.limit * 0.7).max(self.least))
            }
        }
        // A part of one fetch: it is out for that part of the time.
        let pause = lag * (1.0 / self.limit - 1.0);
        self.rests_until = self.rests_until.max(now + pause.max(0.0) as Nanos);
    }
    /// The dearest of those that wait, the eldest among equals.
    fn pop(&mut self) -> Option<InvocationIndex> {
        let best = (0..self.queue.len())
            .min_by(|&a, &b| self.queue[b].0.total_cmp(&self.queue[a].0).then(a.cmp(&b)))?;
        Some(self.queue.remove(best).1)
    }
}

/// Fetches that all nodes together may have out before anything is known of the origin.
const ORIGIN_START: f64 = 8.0;

// ---- Hot keys: where the design's like keys end. ----

impl KeyCounts {
    /// Over how many cache servers the key is spread: by its part of the arrivals and by how slow its
    /// answers are, as where nothing is crowded each copy only costs fetches. 1 for nearly all keys.
    fn spread(&self, key: u64, caches: usize) -> usize {
        // Without the arrival at hand that is the mean part of a key seen so often, where popularity falls
        // as one over the rank. A few arrivals more than were seen keep the first from looking hot.
        let n = self
            .counts
            .get(&((key >> 32) as u32))
            .copied()
            .unwrap_or_default();
        let others = n.arrived - 1.0;
        if others <= 0.0 {
            return 1;
        }
        let slow = (n.slow / others).min(1.0);
        let part = others / (self.total + HOT_FEW);
        (HOT_SPREAD * slow * slow * caches as f64 * part)
            .ceil()
            .clamp(1.0, caches.max(1) as f64) as usize
    }
}

// ---- Who failed: a key whose invocations fail wherever they go. ----

impl Seen {
    /// The chance of being let in. One is not enough, as two cache servers may err by chance; then ever
    /// fewer, who bring the news that it is over. Guards against keys with a good part of all traffic that
    /// filled the few cache servers they belong to, where others' invocations were turned away.
    fn chance(&self, now: Nanos) -> f64 {
        1.0 / self.failing(now).max(1.0)
    }
}

const HOT_FEW: f64 = 12.0;
const HOT_SPREAD: f64 = 6.0;
/// Counts are halved after so many arrivals a cache server, or such a time.
const HOT_ARRIVALS: f64 = 32.0;
const HOT_MEMORY: Nanos = 24 * SECOND;

// ---- Admission: what is throttled early. ----

#[derive(Default)]
struct Admission {
    quotas: Vec<Quota>,
    /// Part of the arriving load that is turned away, lowest value first.
    excess: f64,
    proven: Proven,
    stepped_at: Nanos,
    /// By operation, beyond and within quota: value for the work it brings, load of late,
    /// and value.
    bands: Vec<(f64, f64, f64)>,
}

impl Admission {
    fn within_quota(&mut self, tenant: Option<usize>, now: Nanos) -> bool {
        tenant
            .and_then(|t| self.quotas.get_mut(t))
            .is_none_or(|q| q.take(now))
    }
    /// One came: the part to be turned away, as far as what was done in time not long ago allows it. Guards
    /// against turning nearly all away for as long as old evidence lasts: what was done can be done.
    fn bound(&mut self, now: Nanos) -> f64 {
        let p = &mut self.proven;
        p.came(now);
        let most = (1.0 - PROVEN * p.rate / p.came).clamp(0.0, 1.0);
        p.binds = (self.excess > most).then(|| p.binds.unwrap_or(now));
        self.excess.min(most)
    }
    /// What left when no more had been let in for an objective's time, and went badly: it can't be done now.
    fn late(&mut self, sent_at: Nanos, objective: Nanos) {
        if self
            .proven
            .binds
            .is_some_and(|since| sent_at > since + objective)
        {
            self.proven.falls();
        }
    }
    /// Chance of being throttled for an invocation of this value for the work it brings, so that in
    /// all the excess is shed from the bottom. The excess rises while too much goes badly over the
    /// whole fleet: one bad cache server or a slow origin is no reason to turn work away.
    fn shed(&mut self, band: usize, value: f64, work: f64, bad: f64, now: Nanos) -> f64 {
        let density = value / work;
        self.bands.iter_mut().for_each(|b| b.1 *= 0.99);
        self.bands[band] = (density, self.bands[band].1 + work, value);
        let bound = self.bound(now);
        let load = |of: &dyn Fn(f64) -> bool| {
            self.bands
                .iter()
                .filter(|b| of(b.0))
                .map(|b| b.1)
                .sum::<f64>()
        };
        let total = load(&|_| true);
        let mean = self.bands.iter().map(|b| b.2 * b.1).sum::<f64>() / total;
        let over = bound * total;
        let chance = ((over - load(&|d| d < density)) / load(&|d| d == density)).clamp(0.0, 1.0);
        // The band that the excess has reached: the less it is worth, the sooner it goes.
        let next = self
            .bands
            .iter()
            .filter(|b| b.1 > 0.0 && load(&|d| d <= b.0) > over);
        let next = next
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map_or(f64::INFINITY, |b| b.2);
        let tolerated = (TOLERATED * next / mean).min(1.0);
        let gap = now.saturating_sub(self.stepped_at) as f64 / SECOND as f64;
        self.stepped_at = now;
        let step = (EXCESS_PER_S * gap).clamp(EXCESS_STEP, 4.0 * EXCESS_STEP);
        self.excess = (self.excess + step * (bad - tolerated)).clamp(0.0, EXCESS_MAX);
        chance
    }
}

/// Of what was proven so many times as much is let in.
const PROVEN: f64 = 1.5;
/// How fast the excess follows: an arrival, and a second where few arrive.
const EXCESS_STEP: f64 = 0.06;
const EXCESS_PER_S: f64 = 2.0;
/// Part of the forwards that may end badly before more is turned away.
const TOLERATED: f64 = 0.1;
const EXCESS_MAX: f64 = 0.9;
/// How far the excess moves towards what a peer tells.
const EXCESS_PEER: f64 = 0.25;
/// A forward that is out for this multiple of what nearly all take is overdue in any case.
const OVERDUE: f64 = 1.5;
/// Second copies an arrival, and how many may be saved up.
const COPIES: (f64, f64) = (0.05, 10.0);
/// Peers told at once.
const NOTES: usize = 2;
/// Cache servers and keys told of in a note: at most 256 bytes in all.
const NOTE_ROWS: usize = 6;
const NOTE_TENANTS: usize = 48;

// ---- The whole: events in, actions out. ----

#[derive(Default)]
pub struct Policy {
    now: Nanos,
    actions: Vec<Action>,
    rng: fastrand::Rng,
    place: Environment,
    /// Operations, and what each may cost. Places of earlier settings stay for what came under them.
    ops: Vec<Operation>,
    limits: Vec<ForwardLimits>,
    usual: Vec<Usual>,
    invs: HashMap<InvocationIndex, Inv>,
    fleet: Fleet,
    guard: OriginGuard,
    keys: KeyCounts,
    admission: Admission,
    /// Per peer: when it last told, and its arrivals by tenant.
    peers: BTreeMap<usize, (Nanos, Vec<u16>, f64)>,
    list_backoff: Nanos,
    /// When to ask for the list again; 0 while nothing is owed to us.
    ask_at: Nanos,
    /// Second copies that may be sent: a part of the arrivals.
    copies: f64,
    /// Part of those that erred which the next cache server answered.
    rescued: f64,
    /// Invocations given up so far, by `Why`.
    given_up: ShedCounts,
}

const GIVE_UP: u64 = 0;
const PATIENCE: u64 = 2;
const LIST: u64 = 4;
const PEERS: u64 = 5;
const ORIGIN: u64 = 6;

fn token(kind: u64, inv: InvocationIndex, copy: usize) -> u64 {
    kind | (copy as u64) << 3 | (inv as u64) << 16
}

impl Policy {
    pub fn new(
        place: Environment,
        ops: Vec<Operation>,
        tenants: &[Tenant],
        limits: ForwardLimits,
        rules: Rules,
        mode: OriginMode,
    ) -> Policy {
        let origin_kind = if let OriginMode::Aside { kind } = mode {
            Some(kind)
        } else {
            None
        };
        let part = 1.0 / place.nodes.max(1) as f64;
        let quota = |t: &Tenant| {
            let (per_s, tokens) = (t.quota_per_s, t.quota_per_s * part);
            Quota {
                per_s,
                tokens,
                part,
                ..Quota::default()
            }
        };
        let bands = vec![(0.0, 0.0, 0.0); 2 * ops.len()];
        let first_look = ops
            .iter()
            .map(|o| o.latency_target)
            .min()
            .unwrap_or(SECOND)
            .max(1);
        let tolerated = first_look as f64 / 3.0;
        let quotas = tenants.iter().map(quota).collect();
        Policy {
            rng: fastrand::Rng::with_seed(place.seed),
            usual: vec![Usual::default(); ops.len()],
            fleet: Fleet {
                origin_kind,
                live_weights: place.live_weights,
                first_look,
                rules,
                rng: fastrand::Rng::with_seed(place.seed ^ 1),
                ..Fleet::default()
            },
            guard: OriginGuard {
                limit: (ORIGIN_START * part).max(1.0),
                least: part.min(1.0),
                growth: (4.0 * part).min(1.0),
                tolerated,
                ..OriginGuard::default()
            },
            admission: Admission {
                quotas,
                bands,
                ..Admission::default()
            },
            place,
            limits: vec![limits; ops.len()],
            ops,
            rescued: 1.0,
            ..Policy::default()
        }
    }

    /// Other settings for what comes from now on, out of a policy made of them; what is in hand keeps those
    /// that it came under. `rows`: where each operation stands here; `tenants`: which each of them was.
    pub fn apply_settings(
        &mut self,
        now: Nanos,
        fresh: Policy,
        rows: &[OperationMapping],
        tenants: &[Option<usize>],
    ) {
        self.now = now;
        let (most, limits) = (
            rows.iter()
                .map(|r| r.new_index + 1)
                .fold(self.ops.len(), usize::max),
            fresh.limits[0],
        );
        self.usual.resize(most, Usual::default());
        self.limits.resize(most, limits);
        self.admission.bands.resize(2 * most, (0.0, 0.0, 0.0));
        for (
            &OperationMapping {
                new_index,
                old_index,
            },
            op,
        ) in rows.iter().zip(fresh.ops)
        {
            self.ops.resize(most, op.clone());
            (self.ops[new_index], self.limits[new_index]) = (op, limits);
            // What was learnt of it stays; a place that was another's is not learnt from.
            self.usual[new_index] = old_index.map_or(Usual::default(), |f| self.usual[f]);
            for w in 0..2 {
                let bands = &mut self.admission.bands;
                bands[2 * new_index + w] = old_index.map_or((0.0, 0.0, 0.0), |f| bands[2 * f + w]);
            }
        }
        // Fewer or more nodes: this one's part of what all share. Own answers, which stand for a cold cache
        // server's budget, are counted down at once and up only as they come: rule 4 holds meanwhile.
        let part = self.place.nodes.max(1) as f64 / fresh.place.nodes.max(1) as f64;
        self.fleet.rate *= part.min(1.0);
        (self.fleet.rules, self.fleet.first_look) = (fresh.fleet.rules, fresh.fleet.first_look);
        let (old, new) = (&mut self.guard, fresh.guard);
        old.limit = (old.limit * part).max(1.0);
        (old.least, old.growth, old.tolerated) = (new.least, new.growth, new.tolerated);
        let old = std::mem::replace(&mut self.admission.quotas, fresh.admission.quotas);
        for (q, was) in self.admission.quotas.iter_mut().zip(tenants) {
            let Some(old) = was.and_then(|t| old.get(t)) else {
                continue;
            };
            *q = Quota {
                per_s: q.per_s,
                part: (old.part * part).min(1.0),
                ..*old
            };
        }
        // Numbers of peers may mean others now: what they told ends with the next second. Forgotten at once,
        // a node at work took the first note for all that is known, like one that has just started.
        self.peers.values_mut().for_each(|told| told.0 = 0);
        self.place = Environment {
            seed: self.place.seed,
            ..fresh.place
        };
    }

    /// A fingerprint of where keys go: nodes that differ here disagree on a key's cache server.
    pub fn placement() -> u64 {
        let row = |n: usize| CacheRecord {
            cache: n,
            id_hash: mix(n as u64 + 1),
            state: LifecycleState::Ready,
            zone: 0,
            cell: 0,
            kind: 0,
            weight: 1.0 + (n % 3) as f64,
            ready_at: 0,
        };
        let mut fleet = Fleet::default();
        fleet.list(ListKind::Full, &(0..16).map(row).collect::<Vec<_>>(), 1);
        (0..256).fold(0, |print, key| {
            mix(print ^ (fleet.rank(mix(key), 0, 1)[0].1 as u64 + 1))
        })
    }

    /// What an operator wants to know, counted since the start.
    pub fn counts(&self) -> PolicyCounts {
        let Fleet {
            doubts, cold_sends, ..
        } = self.fleet;
        PolicyCounts {
            shed: self.given_up,
            shed_fraction: self.admission.excess,
            suspicions: doubts,
            warm_up_forwards: cold_sends,
        }
    }

    pub fn removal_is_advisory(&self) -> bool {
        self.fleet.rules.removal_is_advisory
    }
    /// Whether this cache server may still be sent to, whatever the list says.
    pub fn has_record(&self, cache: CacheIndex) -> bool {
        self.fleet
            .caches
            .get(cache)
            .and_then(|c| c.as_ref())
            .is_some_and(|c| c.standing == LifecycleState::Ready)
    }

    pub fn take_actions(&mut self) -> std::vec::Drain<'_, Action> {
        self.actions.drain(..)
    }

    pub fn handle(&mut self, now: Nanos, event: Event) {
        self.now = now;
        match event {
            Event::Listed { form, records } => self.listed(form, &records),
            Event::Arrived(arrival) => self.arrived(arrival),
            Event::ResponseStarted { inv, copy } => self.begun(inv, copy),
            Event::ForwardEnded(ending) => self.ended(ending),
            Event::ClientLeft { inv } => self.left(inv),
            Event::HealthChecked { cache, ok, .. } => self.probed(cache, ok),
            Event::GossipReceived { peer, text } => self.told(peer, &text),
            Event::TimerFired { token } => self.woke(token),
        }
    }

    fn wake(&mut self, at: Nanos, token: u64) {
        let after = at.saturating_sub(self.now).max(1);
        self.actions.push(Action::SetTimer { after, token });
    }

    // -- the list --

    fn listed(&mut self, form: ListKind, rows: &[CacheRecord]) {
        if form == ListKind::Lost {
            // Any of our calls, or the subscription itself: a new one may always be asked for.
            let longest = self.fleet.rules.poll_interval / 4;
            self.list_backoff = (self.list_backoff * 2).min(longest).max(SECOND / 4);
            let jitter = self.rng.f64() * self.list_backoff as f64;
            self.ask_at = self.now + self.list_backoff + jitter as Nanos;
            return self.wake(self.ask_at, LIST);
        }
        (self.ask_at, self.list_backoff) = (0, 0);
        self.fleet.list(form, rows, self.now);
        if form == ListKind::Saved {
            if self.place.list_is_polled {
                self.follow();
            }
            if self.place.peers {
                self.wake(self.now + SECOND, PEERS);
            }
        }
        self.pump();
    }

    fn follow(&mut self) {
        // Guards against a call that is never answered: silence counts as being informed.
        self.ask_at = self.now + (self.fleet.rules.poll_interval / 2).max(SECOND);
        self.actions.push(if self.place.list_is_polled {
            Action::FollowList
        } else {
            Action::RequestList
        });
        self.wake(self.ask_at, LIST);
    }

    // -- peers: how much of each tenant's traffic comes by here, and which keys --

    fn tell_peers(&mut self) {
        // To a few, drawn anew each time: notes to all would grow with the square of the nodes.
        let (own, nodes) = (self.place.own_index, self.place.nodes);
        let steps = self.rng.choose_multiple(1..nodes.max(1), NOTES);
        let arrived = self
            .admission
            .quotas
            .iter()
            .take(NOTE_TENANTS)
            .map(|q| q.arrived)
            .collect();
        let tenants = Some(self.place.tenants_fingerprint);
        let mut note = GossipMessage {
            arrived,
            tenants,
            excess: self.admission.excess,
            ..GossipMessage::default()
        };
        if !self.peers.is_empty() {
            // Nothing is given away where no peer is heard: if notes are lost own counts must do.
            (note.caches, note.keys) = (
                self.fleet.give(steps.len()),
                self.keys.give(steps.len(), NOTE_ROWS),
            );
            note.total = self.keys.total;
        }
        let text = note.write();
        for step in steps {
            self.actions.push(Action::SendGossip {
                peer: (own + step) % nodes,
                text: text.clone(),
            });
        }
        let fresh = self.now.saturating_sub(3 * SECOND);
        self.peers.retain(|_, told| told.0 > fresh);
        let missing = self.place.nodes.saturating_sub(1 + self.peers.len()) as f64;
        for (t, q) in self.admission.quotas.iter_mut().enumerate() {
            let others: f64 = self
                .peers
                .values()
                .map(|(_, n, _)| n.get(t).copied().unwrap_or(0) as f64)
                .sum();
            let own = q.arrived as f64;
            let all = own + others + missing * (own + others) / (1.0 + self.peers.len() as f64);
            // What is told of nobody else's stays at this node's part by number.
            if all > 0.0 && t < NOTE_TENANTS {
                q.part += 0.3 * (own / all - q.part);
            }
            q.arrived = 0;
        }
        self.wake(self.now + SECOND, PEERS);
    }

    fn told(&mut self, peer: usize, text: &[u8]) {
        let Some(note) = GossipMessage::read(text).filter(|_| peer != self.place.own_index) else {
            return;
        };
        note.caches
            .iter()
            .for_each(|&row| self.fleet.take(row, self.now));
        self.keys.take(note.total, &note.keys);
        // A node that has just started knows of no overload yet: it let everything in. What many
        // arrivals of its own teach it stands.
        let own: f64 = self
            .admission
            .quotas
            .iter()
            .map(|q| f64::from(q.arrived))
            .sum();
        let weight = if self.peers.is_empty() && own < 4.0 {
            1.0
        } else {
            EXCESS_PEER.min(1.0 / (1.0 + own * own))
        };
        // A few alone are not believed over the others: liars had the whole fleet turn nine in ten away.
        let others = self
            .peers
            .iter()
            .filter(|(p, _)| **p != peer)
            .map(|(_, told)| told.2);
        let most = middle(others).map_or(EXCESS_MAX, |o| o.max(self.admission.excess));
        self.admission.excess += weight * (note.excess.min(most) - self.admission.excess);
        // Counted by other tenants, in the middle of a change: as if it were not heard.
        if note
            .tenants
            .is_none_or(|t| t == self.place.tenants_fingerprint)
        {
            self.peers
                .insert(peer, (self.now, note.arrived, note.excess.min(EXCESS_MAX)));
        }
    }

    // -- the steps of an invocation --

    fn arrived(&mut self, arrival: Arrival) {
        let ix = arrival.inv;
        let op = &self.ops[arrival.operation];
        let objective =
            op.latency_target + (op.stretch * arrival.work.unwrap_or(0) as f64) as Nanos;
        let due = arrival.deadline.saturating_sub(self.place.tick);
        // Past the objective an answer earns nothing here: what is not out by then is given up.
        let good_until = due.min(self.now + objective);
        let give_up = if op.late_value_fraction > 0.0 || op.stream {
            due
        } else {
            good_until
        };
        let work = match (arrival.work, self.usual[arrival.operation].mean) {
            (Some(w), _) if w > 0 => w as f64,
            (_, m) if m > 0.0 => m,
            _ => op.latency_target.max(4) as f64 / 4.0,
        };
        let within = arrival
            .is_within_quota
            .unwrap_or(self.admission.within_quota(arrival.tenant, self.now));
        let part = if within {
            1.0
        } else {
            self.place.over_quota_value_fraction
        };
        let billed = op.billed_value * part;
        let value = billed * if arrival.write { 1e6 } else { 1.0 };
        let band = 2 * arrival.operation + usize::from(within);
        let shed = self
            .admission
            .shed(band, billed, work, self.fleet.badness(self.now), self.now);
        let key = arrival.key.unwrap_or_else(|| self.rng.u64(..));
        self.copies = (self.copies + COPIES.0).min(COPIES.1);
        let most = HOT_ARRIVALS * self.fleet.ready.len().max(1) as f64;
        self.keys.count(key, most, HOT_MEMORY, self.now);
        let origin_write = arrival.write && self.fleet.origin.is_some();
        let due_now = due <= self.now;
        self.invs.insert(
            ix,
            Inv {
                key,
                value,
                good_until,
                give_up,
                arrival,
                ..Inv::default()
            },
        );
        let fails = self.keys.get(key).map_or(1.0, |k| k.chance(self.now));
        let fails = fails < 1.0 && self.rng.f64() > fails;
        if due_now || fails || self.rng.f64() < shed {
            let why = if fails {
                ShedReason::FailsEverywhere
            } else {
                ShedReason::Overload
            };
            return self.conclude(
                ix,
                if due_now {
                    ShedReason::DeadlineExceeded
                } else {
                    why
                },
            );
        }
        self.wake(give_up, token(GIVE_UP, ix, 0));
        if origin_write {
            self.try_origin(ix)
        } else {
            self.try_cache(ix)
        }
    }

    /// Sends to the first in the key's order that nothing speaks against.
    fn try_cache(&mut self, ix: InvocationIndex) {
        let inv = &self.invs[&ix];
        let (key, read) = (inv.key, !inv.arrival.write);
        let first = read && inv.forwards.is_empty();
        if let Some(waiting) = self.guard.flights.get_mut(&key).filter(|_| first) {
            return waiting.push(ix);
        }
        // The last forward is the origin's, if there is one to turn to.
        let left = self.limits[inv.arrival.operation]
            .max_forwards
            .saturating_sub(inv.forwards.len());
        let origin = self.fleet.origin.filter(|_| read);
        if left <= 1 && origin.is_some() && !inv.forwards.is_empty() {
            return self.fetch(ix);
        }
        match self.pick(ix) {
            Some(c) => self.send(ix, c, Policy::after_cache),
            // Not because all are crowded: the origin would be the next to fall.
            None if origin.is_some()
                && self.fleet.ready.iter().all(|&c| self.fleet.get(c).out == 0) =>
            {
                self.fetch(ix)
            }
            None => self.conclude(ix, ShedReason::NoCapacity),
        }
    }

    fn pick(&mut self, ix: InvocationIndex) -> Option<CacheIndex> {
        let (chosen, look) = self.choose(ix);
        // Looked at only when wanted: nodes x doubted cache servers of probes add up.
        if let Some(d) = look.and_then(|c| self.fleet.at(c).doubt.as_mut().map(|d| (c, d))) {
            d.1.until = self.now + d.1.backoff;
            self.actions.push(Action::CheckHealth { cache: d.0 });
        }
        chosen
    }

    /// The cache server to send to, and a doubted one before it in the order to be probed.
    fn choose(&self, ix: InvocationIndex) -> (Option<CacheIndex>, Option<CacheIndex>) {
        let inv = &self.invs[&ix];
        let op = &self.ops[inv.arrival.operation];
        let bar = self.fleet.bar();
        let most = self.fleet.most_doubted();
        // Cold misses get their part of the keys at the origin, or a quarter where that is more.
        let fetches = self.guard.limit * self.fleet.cold_part(self.now).max(0.25);
        let cold_room = (self.guard.cold_out as f64) < fetches.max(1.0);
        let (mut spare, mut probe) = (None, None);
        let mut order = self.fleet.rank(inv.key, self.peers.len(), self.now);
        // A hot key is spread over the first few of its order, the least busy of them first.
        let few = self.keys.spread(inv.key, order.len()).min(order.len());
        // Each node begins elsewhere among them: that many nodes with one in flight each are a crowd.
        order[..few].rotate_left(
            self.place.own_index % self.place.nodes.max(1) * few / self.place.nodes.max(1),
        );
        // One in flight is no crowd: each copy costs fetches.
        order[..few].sort_by_key(|&(_, c)| self.fleet.get(c).out.max(1));
        for (_, c) in order {
            let cache = self.fleet.get(c);
            let warm = self.fleet.warmth(c, self.now) >= 1.0;
            let room = warm || cold_room && self.fleet.cold_room(c, self.now);
            let allowed = self.may_forward(inv, c);
            // One whose connection broke has the key where the next in order would miss: once more.
            let before: Vec<_> = inv.forwards.iter().filter(|f| f.cache == c).collect();
            if !room || !allowed || before.len() > 1 || before.iter().any(|f| !f.broke) {
                continue;
            }
            if let Some(d) = &cache.doubt {
                // The connection that broke raised the doubt: asking there again tells a crash from a break.
                if !before.is_empty() {
                    return (Some(c), probe);
                }
                // If most look bad, the judgement may be what is bad: they need no probe, only time.
                let due = d.until <= self.now;
                let look = d.trial || due && (most || !self.place.allows_health_checks);
                if look && cache.out == 0 && op.effect == Effect::Idempotent {
                    return (Some(c), probe);
                }
                probe = probe.or((due && !d.trial && self.place.allows_health_checks).then_some(c));
                continue;
            }
            if f64::from(cache.out) >= cache.limit.floor() {
                continue;
            }
            if f64::from(cache.out) > bar {
                spare.get_or_insert(c);
                continue;
            }
            return (Some(c), probe);
        }
        (spare, probe)
    }

    fn may_forward(&self, inv: &Inv, to: CacheIndex) -> bool {
        let op = inv.arrival.operation;
        may_forward(
            inv,
            &self.ops[op],
            &self.limits[op],
            self.fleet.get(to),
            &self.fleet,
            self.now,
        )
    }

    fn send(&mut self, ix: InvocationIndex, c: CacheIndex, then: Then) {
        let Some(inv) = self.invs.get(&ix) else {
            return;
        };
        if !self.may_forward(inv, c) {
            return self.conclude(ix, ShedReason::ForbiddenByRules);
        }
        let Some(inv) = self.invs.get_mut(&ix) else {
            return;
        };
        let before = leaves_before(inv, &self.ops[inv.arrival.operation]);
        let (wait, cold) = (inv.arrival.deadline - self.now, inv.cold);
        let (at, fate) = (self.now, Fate::Open);
        inv.forwards.push(Forward {
            cache: c,
            at,
            fate,
            broke: false,
            erred: false,
            cold,
            then,
        });
        let copy = inv.forwards.len() - 1;
        let (operation, origin) = (inv.arrival.operation, self.fleet.is_origin(c));
        self.actions.push(Action::Forward {
            inv: ix,
            cache: c,
            wait,
            must_leave_before: before,
        });
        if origin {
            self.guard.out += 1;
            self.guard.cold_out += usize::from(cold);
            self.fleet.at(c).out += 1;
        } else {
            self.fleet.sent(c, self.now);
        }
        let usual = if origin {
            self.guard.usual
        } else {
            self.usual[operation]
        };
        let patience = usual.patience(self.place.tick);
        if usual.mean > 0.0 && patience < wait {
            self.wake(self.now + patience, token(PATIENCE, ix, copy));
        }
    }

    fn fetch(&mut self, ix: InvocationIndex) {
        let inv = self.invs.get_mut(&ix).expect("inv");
        if let Some(waiting) = self.guard.flights.get_mut(&inv.key) {
            return waiting.push(ix);
        }
        self.guard.flights.insert(inv.key, Vec::new());
        inv.leads = true;
        self.try_origin(ix);
    }

    fn try_origin(&mut self, ix: InvocationIndex) {
        let inv = &self.invs[&ix];
        let Some(origin) = self.fleet.origin else {
            return self.conclude(ix, ShedReason::Origin);
        };
        if self.guard.room(self.now) && self.guard.queue.is_empty() {
            return self.send(ix, origin, Policy::after_origin);
        }
        // Not worth waiting for: the answer would come late, or the origin gives none.
        let left = inv.good_until.saturating_sub(self.now) as f64;
        if self.guard.wait(inv.value) + self.guard.base > left || self.guard.strikes > 4 {
            return self.conclude(ix, ShedReason::Origin);
        }
        self.guard.queue.push((inv.value, ix));
        // Whoever is now too far back for an answer in time is told at once.
        let worst = self
            .guard
            .queue
            .iter()
            .copied()
            .min_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)));
        if let Some((value, last)) = worst.filter(|w| w.1 != ix)
            && self.now as f64 + self.guard.wait(value) > self.invs[&last].good_until as f64
        {
            self.conclude(last, ShedReason::Origin);
        }
    }

    fn pump(&mut self) {
        while self.guard.room(self.now) {
            let (Some(origin), Some(ix)) = (self.fleet.origin, self.guard.pop()) else {
                return;
            };
            if self.invs.get(&ix).is_some_and(|i| !i.over) {
                self.send(ix, origin, Policy::after_origin);
            }
        }
    }

    /// A cache answered.
    fn after_cache(&mut self, ix: InvocationIndex, e: &ForwardOutcome) {
        let cold = self.fleet.warmth(e.cache, self.now) < 1.0;
        let inv = self.invs.get_mut(&ix).expect("inv");
        if e.outcome == Outcome::Miss && self.fleet.origin_kind.is_some() {
            inv.cold |= cold;
            self.fetch(ix);
        } else if inv.open() == 0 {
            let twice = self.fails_anywhere(ix);
            if twice {
                let key = self.invs[&ix].key;
                self.keys
                    .get(key)
                    .into_iter()
                    .for_each(|k| k.fails(self.now));
                self.rescued -= RESCUE_STEP * self.rescued;
            }
            // Guards against one that brings down what it reaches: it was there when its cache server died,
            // and the next would die too. Whoever was there by chance is told to come back.
            // Where the connection broke before all was sent it never ran, and killed nobody.
            let there = |f: &Forward| f.cache == e.cache && f.broke && f.fate == Fate::MayHaveRun;
            let died =
                e.outcome == Outcome::Unavailable && self.invs[&ix].forwards.iter().any(there);
            let worth = !twice
                && !died
                && (e.outcome != Outcome::Error || self.rng.f64() < self.rescued.max(RARE));
            if worth {
                self.try_cache(ix)
            } else {
                self.conclude(ix, ShedReason::FailsEverywhere)
            }
        }
    }

    /// It erred wherever it was sent, so the invocation fails by itself: given up, nobody is blamed.
    fn fails_anywhere(&self, ix: InvocationIndex) -> bool {
        self.invs[&ix].forwards.iter().filter(|f| f.erred).count() > 1
    }

    /// The origin answered, but not with success.
    fn after_origin(&mut self, ix: InvocationIndex, e: &ForwardOutcome) {
        let inv = &self.invs[&ix];
        // Where it may run again it waits its turn once more; an origin silent to all is left in peace.
        let there = inv.forwards.iter().filter(|f| f.cache == e.cache).count();
        let again = self.may_forward(inv, e.cache);
        if e.outcome != Outcome::TimedOut && again && there < 2 && !self.fails_anywhere(ix) {
            self.try_origin(ix);
        } else if inv.open() == 0 {
            self.conclude(ix, ShedReason::Origin);
        }
    }

    fn ended(&mut self, e: ForwardOutcome) {
        let Some(inv) = self.invs.get_mut(&e.inv) else {
            return;
        };
        let Some(f) = inv
            .forwards
            .get_mut(e.copy)
            .filter(|f| f.fate == Fate::Open && f.cache == e.cache)
        else {
            return;
        };
        f.broke = matches!(e.outcome, Outcome::Reset | Outcome::Broken);
        f.erred = e.outcome == Outcome::Error;
        f.fate = if e.outcome.never_ran() {
            Fate::NeverRan
        } else {
            Fate::MayHaveRun
        };
        let (then, sent_at, cold) = (f.then, f.at, f.cold);
        inv.over |= e.is_final;
        let cache = self.fleet.at(e.cache);
        cache.out = cache.out.saturating_sub(1);
        let origin = self.fleet.is_origin(e.cache);
        if origin {
            self.guard.out -= 1;
            self.guard.cold_out -= usize::from(cold);
            self.guard.learn(e.outcome, e.latency, self.now);
            if matches!(e.outcome, Outcome::Full | Outcome::Unavailable) {
                // Asking again at once would only feed its queue: all wait for a part of its time.
                let rest = (self.guard.mean as Nanos).max(self.place.tick);
                self.guard.rests_until = self.guard.rests_until.max(self.now + rest);
            }
            if self.guard.rests_until > self.now {
                self.wake(self.guard.rests_until, ORIGIN);
            }
        } else {
            self.judge(&e, sent_at);
        }
        if self.invs[&e.inv].over {
            self.settle(e.inv, e.outcome == Outcome::Succeeded);
        } else {
            then(self, e.inv, &e);
        }
        self.forget(e.inv);
        if origin {
            self.pump();
        }
    }

    /// What an ending says of its cache server.
    fn judge(&mut self, e: &ForwardOutcome, sent_at: Nanos) {
        let inv = &self.invs[&e.inv];
        let (operation, key) = (inv.arrival.operation, inv.key);
        let part = e.latency as f64 / self.ops[operation].latency_target as f64;
        match e.outcome {
            Outcome::Succeeded if part <= 1.0 => self.admission.proven.good(self.now),
            Outcome::Succeeded | Outcome::TimedOut | Outcome::Withdrawn => {
                self.admission
                    .late(sent_at, self.ops[operation].latency_target);
            }
            _ => {}
        }
        match e.outcome {
            Outcome::Succeeded | Outcome::Miss | Outcome::Error => {
                self.fleet.cleared(e.cache, self.now);
                self.fleet.answered(e.cache, self.now);
                self.fleet.at(e.cache).learn(
                    f64::from(u8::from(part > 1.0)),
                    part.min(1.0),
                    self.now,
                );
                self.keys.took(key, part);
                if e.outcome == Outcome::Succeeded {
                    self.usual[operation].learn(e.latency as f64);
                }
                if e.outcome != Outcome::Error {
                    if self.invs[&e.inv].forwards.iter().any(|f| f.erred) {
                        self.rescued += RESCUE_STEP * (1.0 - self.rescued);
                    }
                    self.keys.get(key).into_iter().for_each(|k| k.failed = 0.0);
                }
            }
            Outcome::Unavailable => self.fleet.strike(e.cache, true, self.now),
            // Single connections break where the process runs on: taken for crashes, they had the whole
            // fleet come back 'cold' time and again. A process that is gone refuses the next one.
            Outcome::Reset | Outcome::Broken if self.fleet.get(e.cache).heard <= sent_at => {
                self.fleet.strike(e.cache, false, self.now);
            }
            // Turned away is cheap: the next in order takes it, and most end well.
            Outcome::Full => {
                self.fleet.at(e.cache).learn(FULL_BAD, 0.0, self.now);
                self.keys.took(key, 1.0);
            }
            Outcome::TimedOut => {
                self.silent(e.cache, sent_at);
                self.keys.took(key, 1.0);
            }
            Outcome::Withdrawn => self.keys.took(key, part),
            Outcome::Reset | Outcome::Broken | Outcome::NotSent => {}
        }
    }

    /// No answer in time. If nothing at all came from there since the forward left that is silence,
    /// while one that answers others is only slow.
    fn silent(&mut self, c: CacheIndex, since: Nanos) {
        self.fleet.at(c).learn(1.0, 1.0, self.now);
        if self.fleet.get(c).heard <= since {
            self.fleet.strike(c, false, self.now);
        }
    }

    /// Gives the final answer: throttled where that is allowed, errored elsewhere.
    fn conclude(&mut self, ix: InvocationIndex, why: ShedReason) {
        let Some(inv) = self.invs.get_mut(&ix).filter(|i| i.live()) else {
            return;
        };
        inv.over = true;
        self.given_up[why as usize] += 1;
        // Soon enough for a second try to count, or as late as may be told where none can.
        let op = &self.ops[inv.arrival.operation];
        let longest = self.limits[inv.arrival.operation]
            .max_retry_after
            .unwrap_or(0);
        let hope = inv.give_up.saturating_sub(self.now) > op.latency_target / 2;
        let retry_after = if hope {
            longest.min(op.latency_target / 8)
        } else {
            longest
        };
        let throttle = may_throttle(inv, op);
        self.actions.push(match throttle {
            true => Action::Throttle {
                inv: ix,
                retry_after,
            },
            false => Action::Error { inv: ix },
        });
        self.settle(ix, false);
        self.forget(ix);
    }

    fn withdraw_open(&mut self, ix: InvocationIndex, except: Option<usize>) {
        let inv = &self.invs[&ix];
        if !self.limits[inv.arrival.operation].withdraw || inv.begun && except.is_none() {
            return;
        }
        for (copy, f) in inv.forwards.iter().enumerate() {
            // A fetch stays out: its answer still fills the cache for those that come next.
            let fetch = self.fleet.is_origin(f.cache) && !inv.arrival.write;
            if f.fate == Fate::Open && Some(copy) != except && !fetch {
                self.actions.push(Action::Withdraw { inv: ix, copy });
            }
        }
    }

    /// The invocation is over: whoever waits for its fetch goes on.
    fn settle(&mut self, ix: InvocationIndex, stored: bool) {
        self.withdraw_open(ix, None);
        self.guard.queue.retain(|q| q.1 != ix);
        let inv = self.invs.get_mut(&ix).expect("inv");
        let fetching = inv
            .forwards
            .iter()
            .any(|f| f.fate == Fate::Open && self.fleet.is_origin(f.cache));
        if !inv.leads || fetching {
            return;
        }
        inv.leads = false;
        for w in self.guard.flights.remove(&inv.key).unwrap_or_default() {
            let Some(follower) = self.invs.get(&w).filter(|i| !i.over) else {
                continue;
            };
            let more =
                follower.forwards.len() < self.limits[follower.arrival.operation].max_forwards;
            if stored && more {
                self.again(w)
            } else {
                self.fetch(w)
            }
        }
    }

    /// The value is now where the key's order begins: one more forward there is a hit.
    fn again(&mut self, ix: InvocationIndex) {
        let inv = &self.invs[&ix];
        let missed = inv
            .forwards
            .iter()
            .rev()
            .find(|f| f.fate == Fate::NeverRan)
            .map(|f| f.cache);
        let good = |c: &Cache| c.standing == LifecycleState::Ready && c.doubt.is_none();
        match missed.filter(|&c| good(self.fleet.get(c))) {
            Some(c) => self.send(ix, c, Policy::after_cache),
            None => self.try_cache(ix),
        }
    }

    fn forget(&mut self, ix: InvocationIndex) {
        if self.invs.get(&ix).is_some_and(|i| i.over && i.open() == 0) {
            self.invs.remove(&ix);
        }
    }

    fn begun(&mut self, ix: InvocationIndex, copy: usize) {
        let Some(inv) = self.invs.get_mut(&ix) else {
            return;
        };
        inv.begun = true;
        let Some(cache) = inv.forwards.get(copy).map(|f| f.cache) else {
            return;
        };
        self.withdraw_open(ix, Some(copy));
        self.fleet.cleared(cache, self.now);
    }

    fn left(&mut self, ix: InvocationIndex) {
        let Some(inv) = self.invs.get_mut(&ix).filter(|i| !i.over) else {
            return;
        };
        inv.over = true;
        self.settle(ix, false);
        self.forget(ix);
    }

    // -- time --

    fn woke(&mut self, token_: u64) {
        let (kind, copy, ix) = (
            token_ & 7,
            (token_ >> 3 & 0x1fff) as usize,
            (token_ >> 16) as InvocationIndex,
        );
        match kind {
            GIVE_UP => self.give_up(ix),
            PATIENCE => self.impatient(ix, copy),
            LIST if self.ask_at > 0 && self.now >= self.ask_at => self.follow(),
            PEERS => self.tell_peers(),
            ORIGIN => self.pump(),
            _ => {}
        }
    }

    fn give_up(&mut self, ix: InvocationIndex) {
        let Some(inv) = self.invs.get(&ix).filter(|i| i.live()) else {
            return;
        };
        let quiet: Vec<(CacheIndex, Nanos)> = inv
            .forwards
            .iter()
            .filter(|f| f.fate == Fate::Open)
            .map(|f| (f.cache, f.at))
            .collect();
        let due = inv.arrival.deadline.saturating_sub(self.place.tick);
        let wait_on = !quiet.is_empty() && !may_throttle(inv, &self.ops[inv.arrival.operation]);
        for (c, at) in quiet {
            if !self.fleet.is_origin(c) {
                self.silent(c, at);
            }
        }
        if wait_on && self.now < due {
            // It may be running and cannot be taken back: its answer still counts as told.
            return self.wake(due, token(GIVE_UP, ix, 0));
        }
        self.conclude(ix, ShedReason::DeadlineExceeded)
    }

    /// A forward is out for longer than nearly all of its operation: if its cache server was silent
    /// all that time, or answers others while this one is far overdue, the invocation moves on.
    fn impatient(&mut self, ix: InvocationIndex, copy: usize) {
        let Some(inv) = self.invs.get(&ix).filter(|i| !i.begun) else {
            return;
        };
        let Some(f) = inv.forwards.get(copy).filter(|f| f.fate == Fate::Open) else {
            return;
        };
        let (c, at, operation, over) = (f.cache, f.at, inv.arrival.operation, inv.over);
        let origin = self.fleet.is_origin(c);
        let (usual, heard) = match origin {
            true => (&mut self.guard.usual, self.guard.heard),
            false => (&mut self.usual[operation], self.fleet.get(c).heard),
        };
        // Guards against connections that fall silent alone: a fetch on one held its key's followers and
        // a place at the origin till its end, and counted as a sign that the origin is crowded.
        let patience = usual.patience(self.place.tick);
        let overdue = at + (OVERDUE * patience as f64) as Nanos;
        if (heard > at || origin) && self.now < overdue {
            return self.wake(overdue, token(PATIENCE, ix, copy));
        }
        if heard <= at && origin {
            let next = self.now + patience;
            return self.wake(next, token(PATIENCE, ix, copy));
        }
        // It takes that long at least: learnt from answers alone, patience shrank while all slowed down.
        usual.learn((self.now - at) as f64);
        if heard <= at && !over {
            self.fleet.strike(c, false, self.now);
        }
        let inv = &self.invs[&ix];
        if !matches!(self.ops[operation].effect, Effect::Idempotent)
            || over && (!origin || inv.arrival.write)
        {
            return;
        }
        let left = self.limits[operation]
            .max_forwards
            .saturating_sub(inv.forwards.len());
        if self.limits[operation].allows_hedging && !origin {
            // Few second copies: where all are slow they would double the load.
            let more = self.copies >= 1.0 && left > 1;
            if more
                && let Some(to) = self
                    .pick(ix)
                    .filter(|&to| self.fleet.get(to).doubt.is_none())
            {
                self.copies -= 1.0;
                self.send(ix, to, Policy::after_cache);
            }
        } else if self.limits[operation].withdraw && (over || left > 0) {
            self.actions.push(Action::Withdraw { inv: ix, copy });
        }
    }

    fn probed(&mut self, c: CacheIndex, ok: bool) {
        if let Some(d) = self
            .fleet
            .known(c)
            .and_then(|c| c.doubt.as_mut())
            .filter(|_| ok)
        {
            d.trial = true;
        }
    }
}
