//! One node's parts of all common limits: events and now in, notes and parts out.
use crate::bucket::TokenBucket;
use crate::leases::{BorrowedShares, LoanedShares, MAX_LEASES};
use crate::level::level;
use crate::note::{QuotaMessage, QuotaRows, ROWS};
use crate::size::ClusterSize;
use crate::{Nanos, NodeIx, SECOND};
use std::collections::BTreeMap;

/// Of its own part a node lends no more than this.
const LENDS: f64 = 0.8;
/// Of it one that needs all of it by itself lends this much to those that have less still: what liars can take.
const SPARES: f64 = 0.125;
/// More is asked for and kept than was needed of late.
const HEADROOM: f64 = 0.05;
/// And so many deviations of a Poisson count over the window.
const CHANCE: f64 = 0.25;
/// Looks at demand in the time of a lease, and how many of them pass between rounds of asking.
const TICKS: Nanos = 8;
const ROUND: u64 = 2;
/// The short mean goes over this part of a lease.
const SHORT: Nanos = 4;
/// A lease is renewed as it is where what is reckoned differs by less than this part of it.
const STEADY: f64 = 0.25;
/// Peers asked in a round; answers between two looks, to all and to one peer.
const ASKS: usize = 16;
const ANSWERS: (usize, usize) = (64, 2);
/// How much of the way to what is reckoned a lease moves at once: many lenders see the same need.
const STEP: f64 = 0.5;

/// A common limit, in units a second of all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    pub per_s: f64,
    /// In any window no more than the part comes to in it; what was not used in it is lost.
    pub window: Nanos,
}

struct Kept {
    limit: Limit,
    lent: LoanedShares,
    held: BorrowedShares,
    bucket: TokenBucket,
    /// Since the last look.
    came: u64,
    /// Came a second: a short mean and a long one.
    short: f64,
    long: f64,
    /// Who asked of late: what it had, what it needs, when.
    askers: BTreeMap<NodeIx, (f64, f64, Nanos)>,
    /// The part in force until then, unless something changes it.
    part: (f64, Nanos),
    arrived: u64,
    within: u64,
}

impl Kept {
    /// What came a second, a little more, and a part of what comes beyond it by chance in a window: cut to the mean,
    /// nodes of few arrivals turned a sixth of theirs away.
    fn need(&self) -> f64 {
        let window = self.limit.window.max(1) as f64 / SECOND as f64;
        self.long * (1.0 + HEADROOM) + CHANCE * (self.long / window).sqrt()
    }
}

/// What an operator wants to know of one limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ShareCounts {
    pub per_s: f64,
    /// This node's part now, of which lent from others; and what it has lent.
    pub part: f64,
    pub held: f64,
    pub lent: f64,
    pub need: f64,
    /// Since the start.
    pub arrived: u64,
    pub within: u64,
}

pub struct QuotaShares {
    print: u16,
    lease: Nanos,
    /// Without notes a part is one over the number of nodes.
    notes: bool,
    size: ClusterSize,
    settles: Nanos,
    limits: Vec<Kept>,
    rng: fastrand::Rng,
    /// The ask that is out to each peer: its number, and when it left.
    out: BTreeMap<NodeIx, (u32, Nanos)>,
    next: Nanos,
    looked: Nanos,
    looks: u64,
    /// Whom it has answered since the last look.
    answered: Vec<NodeIx>,
}

/// Where this node stands among the others.
#[derive(Clone, Copy, Debug)]
pub struct ClusterPosition {
    pub own: NodeIx,
    pub nodes: usize,
    pub sends_messages: bool,
    pub seed: u64,
    /// Of the limits' names in their order: nodes that differ here do not deal with each other.
    pub fingerprint: u16,
}

impl QuotaShares {
    /// `informed`: after so long every node has been told how many there are. `lease`: what is lent ends by itself.
    pub fn new(
        place: ClusterPosition,
        limits: &[Limit],
        informed: Nanos,
        lease: Nanos,
        now: Nanos,
    ) -> QuotaShares {
        let lease = lease.max(TICKS);
        // A tenth more for clocks that run slow.
        let settles = informed + informed / 10 + lease;
        let mut rng = fastrand::Rng::with_seed(place.seed);
        let kept = limits
            .iter()
            .map(|l| Kept::new(*l, rng.fork(), now))
            .collect();
        QuotaShares {
            print: place.fingerprint,
            lease,
            notes: place.sends_messages && place.nodes > 1,
            size: ClusterSize::new(place.own, place.nodes, settles, now),
            settles,
            limits: kept,
            next: now,
            looked: now,
            looks: 0,
            answered: Vec::new(),
            out: BTreeMap::new(),
            rng,
        }
    }

    /// Told anew how many there are, and what the limits are. Limits of a fingerprint that changed begin anew.
    pub fn update_cluster(&mut self, place: ClusterPosition, limits: &[Limit], now: Nanos) {
        self.size.update(place.own, place.nodes, now);
        self.notes = place.sends_messages && place.nodes > 1;
        if place.fingerprint != self.print || limits.len() != self.limits.len() {
            self.print = place.fingerprint;
            self.limits = limits
                .iter()
                .map(|l| Kept::new(*l, self.rng.fork(), now))
                .collect();
            self.size.forget(now);
        }
        for (kept, limit) in self.limits.iter_mut().zip(limits) {
            kept.limit = *limit;
        }
        self.stale();
    }

    fn stale(&mut self) {
        self.limits.iter_mut().for_each(|l| l.part.1 = 0);
    }

    /// Of all that this node might use were nothing lent: its own part, without what it holds.
    fn base(&mut self, limit: usize, now: Nanos) -> f64 {
        let base = self.limits[limit].limit.per_s / self.size.share_count(now) as f64;
        let age = now.saturating_sub(self.size.began());
        if !self.notes {
            // Nobody can be asked: by time alone.
            return base * (age as f64 / self.settles as f64).min(1.0);
        }
        // What a process before this one had lent may still be used.
        let start = if age < self.lease { 1.0 - LENDS } else { 1.0 };
        if self.size.is_agreed(now) {
            base * start
        } else {
            0.0
        }
    }

    /// Guards against a process that stood still: how many there are may have changed unheard, and whatever it is asked
    /// first when it wakes must not be answered by what it knew.
    fn awake(&mut self, now: Nanos) {
        if now.saturating_sub(self.looked) > self.lease / 2 {
            self.size.forget(now);
            self.looked = now;
            // Counted over the short time since it woke, what came before would pass for a burst.
            self.limits.iter_mut().for_each(|l| l.came = 0);
            self.stale();
        }
    }

    /// What this node may use of a limit now, a second.
    pub fn own_rate(&mut self, limit: usize, now: Nanos) -> f64 {
        self.awake(now);
        let (part, until) = self.limits[limit].part;
        if now < until {
            return part;
        }
        let base = self.base(limit, now);
        let kept = &mut self.limits[limit];
        let part = (base - kept.lent.sum(now)).max(0.0) + kept.held.sum(now);
        kept.part = (part, kept.held.next_end(now).min(now + self.lease / TICKS));
        part
    }

    /// One that came; whether it is within the limit.
    pub fn try_acquire(&mut self, limit: usize, now: Nanos) -> bool {
        if limit >= self.limits.len() {
            return true;
        }
        let before = self.limits[limit].part.0;
        let part = self.own_rate(limit, now);
        let kept = &mut self.limits[limit];
        (kept.came, kept.arrived) = (kept.came + 1, kept.arrived + 1);
        // A part that has ended meanwhile, as while the process stood still, counts for nothing.
        kept.bucket.fill(part.min(before), now);
        let within = kept.bucket.try_acquire();
        kept.within += u64::from(within);
        within
    }

    pub fn counts(&mut self, limit: usize, now: Nanos) -> ShareCounts {
        let part = self.own_rate(limit, now);
        let kept = &self.limits[limit];
        ShareCounts {
            per_s: kept.limit.per_s,
            part,
            held: kept.held.sum(now),
            lent: kept.lent.sum(now),
            need: kept.need(),
            arrived: kept.arrived,
            within: kept.within,
        }
    }

    /// When `tick` is due.
    pub fn next_tick(&self) -> Nanos {
        self.next
    }

    /// Notes to send, by peer.
    pub fn tick(&mut self, now: Nanos) -> Vec<(NodeIx, Vec<u8>)> {
        if now < self.next {
            return Vec::new();
        }
        let gap = now.saturating_sub(self.looked);
        self.awake(now);
        if gap > 0 {
            self.limits.iter_mut().for_each(|l| l.look(gap, self.lease));
        }
        (self.looked, self.next) = (now, now + self.lease / TICKS);
        self.looks += 1;
        self.answered.clear();
        for limit in 0..self.limits.len() {
            // What was not asked for is filled too, so that a long gap is no burst.
            let before = self.limits[limit].part.0;
            self.limits[limit].part.1 = 0;
            let part = self.own_rate(limit, now);
            self.limits[limit].bucket.fill(part.min(before), now);
        }
        if self.notes && self.looks % ROUND == 1 {
            self.ask(now)
        } else {
            Vec::new()
        }
    }

    fn ask(&mut self, now: Nanos) -> Vec<(NodeIx, Vec<u8>)> {
        let nodes = self.size.nodes();
        let known = self.size.is_agreed(now);
        self.out.retain(|_, (_, at)| now < *at + self.lease / 2);
        let mut short: Vec<(usize, f64)> = Vec::new();
        let mut wanting = false;
        for limit in 0..self.limits.len() {
            let base = self.base(limit, now);
            let kept = &self.limits[limit];
            let need = kept.need();
            // Who needs no more than an equal part takes back what it has lent, by lending no more: borrowing it from
            // others, nodes of few arrivals handed theirs round in a ring.
            if need > base {
                short.push((limit, need));
                wanting |= need > self.own_rate(limit, now);
            }
        }
        if known && short.is_empty() {
            return Vec::new();
        }
        // Those that need most of what they lack come first where a note can't hold all.
        short.sort_by(|a, b| b.1.total_cmp(&a.1));
        short.truncate(ROWS);
        let mut to: Vec<NodeIx> = Vec::new();
        let ending = now + self.lease / 2 + self.lease / TICKS * ROUND;
        for (limit, _) in &short {
            to.extend(self.limits[*limit].held.ending(ending, now));
        }
        to.sort_unstable();
        to.dedup();
        self.rng.shuffle(&mut to);
        if !known {
            let own = to.len();
            to.extend(
                self.size
                    .unheard_peers()
                    .filter(|n| !self.out.contains_key(n)),
            );
            self.rng.shuffle(&mut to[own..]);
        }
        if wanting || !known {
            let more = (0..2 * ASKS)
                .map(|_| self.rng.usize(..nodes))
                .collect::<Vec<_>>();
            to.extend(more.into_iter().filter(|n| !self.out.contains_key(n)));
        }
        let rows = short
            .iter()
            .map(|&(limit, need)| (limit as u8, self.limits[limit].part.0, need));
        let rows = QuotaRows::Request(rows.collect());
        let says = self.size.own_view(self.fits(now), now);
        let own = self.size.own();
        let mut asks = Vec::new();
        for peer in to {
            if peer == own || peer >= nodes || asks.iter().any(|(p, _)| *p == peer) {
                continue;
            }
            if asks.len() == ASKS {
                break;
            }
            let number = self.rng.u32(..);
            self.out.insert(peer, (number, now));
            asks.push((
                peer,
                QuotaMessage {
                    fingerprint: self.print,
                    size_view: says,
                    sequence: number,
                    rows: rows.clone(),
                }
                .write(),
            ));
        }
        asks
    }

    /// What is lent fits the part of which it is lent: until then the smaller part is not in force.
    fn fits(&self, now: Nanos) -> bool {
        let parts = self.size.nodes() as f64;
        self.limits
            .iter()
            .all(|l| l.lent.sum(now) <= l.limit.per_s / parts)
    }

    /// A note from a peer; the answer to it, if it asks.
    pub fn receive(&mut self, peer: NodeIx, text: &[u8], now: Nanos) -> Option<Vec<u8>> {
        let note = QuotaMessage::read(text).filter(|n| n.fingerprint == self.print)?;
        if !self.notes || peer == self.size.own() {
            return None;
        }
        self.awake(now);
        match note.rows {
            QuotaRows::Give(rows) => {
                // Only what was asked for, of whom, and once: nothing old or made up counts.
                let asked = self
                    .out
                    .get(&peer)
                    .filter(|o| o.0 == note.sequence && now < o.1 + self.lease)?
                    .1;
                // The number can't come again; that it was asked is kept, so that others are asked next.
                self.out.insert(peer, (self.rng.u32(..), asked));
                self.size.receive(peer, note.size_view);
                for (limit, amount) in rows {
                    let Some(kept) = self.limits.get_mut(usize::from(limit)) else {
                        continue;
                    };
                    kept.held
                        .take(peer, amount.min(kept.limit.per_s), asked, self.lease, now);
                    kept.part.1 = 0;
                }
                None
            }
            QuotaRows::Request(rows) => {
                // Guards against one that asks without end: the others' turn comes all the same.
                let to_it = self.answered.iter().filter(|p| **p == peer).count();
                if self.answered.len() >= ANSWERS.0 || to_it >= ANSWERS.1 {
                    return None;
                }
                self.answered.push(peer);
                let mut given = Vec::with_capacity(rows.len());
                for (limit, have, need) in rows {
                    if usize::from(limit) < self.limits.len() {
                        given.push((limit, self.give(usize::from(limit), peer, have, need, now)));
                    }
                }
                let says = self.size.own_view(self.fits(now), now);
                Some(
                    QuotaMessage {
                        fingerprint: self.print,
                        size_view: says,
                        sequence: note.sequence,
                        rows: QuotaRows::Give(given),
                    }
                    .write(),
                )
            }
        }
    }

    fn give(&mut self, limit: usize, peer: NodeIx, have: f64, need: f64, now: Nanos) -> f64 {
        let base = self.base(limit, now);
        let lease = self.lease;
        let kept = &mut self.limits[limit];
        kept.askers.retain(|_, a| now < a.2 + lease);
        if kept.askers.len() < MAX_LEASES || kept.askers.contains_key(&peer) {
            kept.askers.insert(peer, (have, need, now));
        }
        if !kept.lent.room(peer, now) {
            return 0.0;
        }
        let own = kept.need();
        let idle = base + kept.held.sum(now) - own;
        // Who needs all it has spares a little for those that have far less; who does not lends what is idle.
        let spare = match idle > 0.0 {
            true => idle.min(LENDS * base),
            false if have < 0.8 * base => SPARES * base,
            false => 0.0,
        };
        let unused = (spare - kept.lent.lasts(now)).max(0.0);
        // Where all that ask would stand if what they have, and what is left here, were shared out among them.
        let there = kept.askers.values().map(|a| a.0).sum::<f64>() + unused;
        let level = level(there, kept.askers.values().map(|a| a.1));
        let before = kept.lent.last(peer, now);
        let lacks = need.min(level) - have;
        let lack = |a: &(f64, f64, Nanos)| (a.1.min(level) - a.0).max(0.0);
        let wanted = if lacks < 0.0 {
            // Its other lenders see the same: each takes back its own part of it.
            before * (1.0 + lacks / (have - base).max(before).max(f64::MIN_POSITIVE)).max(0.0)
        } else {
            let lack: f64 = kept.askers.values().map(lack).sum();
            before + lacks.min(unused * lacks / lack.max(f64::MIN_POSITIVE))
        };
        // Two bounds: what may still be used of all answers must fit what is lent at all; what is meant now must fit
        // what is idle. Held to the first alone, each of many borrowers was cut by the whole of what one was to lose.
        let fits = LENDS * base - (kept.lent.sum(now) - kept.lent.to(peer, now));
        let most = (spare - (kept.lent.lasts(now) - before)).min(fits).max(0.0);
        let steady = (wanted - before).abs() < STEADY * before;
        let amount = if steady {
            before
        } else {
            before + STEP * (wanted - before)
        };
        let amount = amount.min(most).max(0.0);
        // So small a part is not worth the note that renews it.
        let amount = if amount < 1e-3 * base { 0.0 } else { amount };
        if amount > 0.0 {
            kept.lent.give(peer, amount, now + lease);
            kept.part.1 = 0;
        }
        amount
    }
}

impl Kept {
    fn new(limit: Limit, rng: fastrand::Rng, now: Nanos) -> Kept {
        Kept {
            limit,
            lent: LoanedShares::default(),
            held: BorrowedShares::default(),
            bucket: TokenBucket::new(limit.window, rng, now),
            came: 0,
            short: 0.0,
            long: 0.0,
            askers: BTreeMap::new(),
            part: (0.0, 0),
            arrived: 0,
            within: 0,
        }
    }

    fn look(&mut self, gap: Nanos, lease: Nanos) {
        let rate = self.came as f64 * SECOND as f64 / gap as f64;
        let toward =
            |of: f64, time: Nanos| of + (1.0 - (-(gap as f64) / time as f64).exp()) * (rate - of);
        (self.short, self.long) = (
            toward(self.short, lease / SHORT),
            toward(self.long, 2 * lease),
        );
        // Where the short one lies further off than chance has it (three deviations of a Poisson count over its time)
        // something has moved, and what was before counts for nothing. Followed at once, chance had nodes of few
        // arrivals lend and borrow back in turns.
        let time = (lease / SHORT) as f64 / SECOND as f64;
        let chance = 3.0 * (self.long / (2.0 * time)).sqrt() + 1.0 / time;
        if (self.short - self.long).abs() > chance {
            self.long = self.short;
        }
        self.came = 0;
    }
}
