//! What waits at one server, over all nodes: kept by one node a server, which is asked before a prompt is sent there.
//!
//! A node's own requests in flight are a small part of what a server has to read; how long a prompt waits for its first
//! token is decided by the rest. The keeper adds up what was said to be sent and has not begun, and learns how fast it
//! goes from how long each took. Source: Little, "A proof for the queuing formula L = λW", 1961.
use crate::Nanos;
use std::collections::BTreeMap;

/// Most that are kept for one server, and how long one that is never heard of again.
const MOST: usize = 4_096;
const LOST: Nanos = 15_000_000_000;
/// Tokens a second at first.
const FIRST_RATE: f64 = 40_000.0;
/// How much a new observation weighs.
const WEIGHT: f64 = 0.1;
/// What a prompt takes that nothing is ahead of, beside being read: shorter waits say nothing of the rate.
const FIXED: f64 = 0.04;
const TELLING: f64 = 0.12;
/// Urgencies are told apart up to here.
const URGENCIES: usize = 16;
/// What came within so many seconds tells how much will overtake a prompt that waits.
const LOOK_BACK: f64 = 2.0;
/// Most of the reading that may be taken for overtaken: beyond, a wait has no end.
const MOST_OVERTAKEN: f64 = 0.9;

#[derive(Clone, Copy, Debug)]
struct Waiting {
    cost: f64,
    urgency: u32,
    at: Nanos,
    /// What was ahead of it when it came, itself included.
    ahead: f64,
    /// All that was sent by then which is more urgent: what comes later overtakes it.
    before: f64,
}

/// One server's.
#[derive(Clone, Debug)]
pub struct Backlog {
    waiting: BTreeMap<u64, Waiting>,
    /// Tokens a second.
    rate: f64,
    used: Nanos,
    /// Tokens that were sent so far, by urgency; and lately, fading.
    sent: [f64; URGENCIES],
    lately: [f64; URGENCIES],
    faded: Nanos,
}

fn more_urgent(of: &[f64; URGENCIES], urgency: u32) -> f64 {
    of.iter().take(urgency as usize).sum()
}

impl Default for Backlog {
    fn default() -> Backlog {
        Backlog {
            waiting: BTreeMap::new(),
            rate: FIRST_RATE,
            used: 0,
            sent: [0.0; URGENCIES],
            lately: [0.0; URGENCIES],
            faded: 0,
        }
    }
}

impl Backlog {
    /// How long a prompt would wait before it is read, in nanoseconds: the more urgent (lower) go before it, also those
    /// that come while it waits, and those of its own urgency that came earlier.
    pub fn wait(&mut self, urgency: u32, now: Nanos) -> Nanos {
        self.used = now;
        self.waiting.retain(|_, w| now.saturating_sub(w.at) < LOST);
        self.fade(now);
        let overtaking = more_urgent(&self.lately, urgency) / LOOK_BACK / self.rate;
        let left = self.rate * (1.0 - overtaking.min(MOST_OVERTAKEN));
        (self.ahead(urgency) / left * 1e9) as Nanos
    }

    fn fade(&mut self, now: Nanos) {
        let gone = now.saturating_sub(self.faded) as f64 / 1e9;
        let part = (-gone / LOOK_BACK).exp();
        self.lately.iter_mut().for_each(|l| *l *= part);
        self.faded = self.faded.max(now);
    }

    fn ahead(&self, urgency: u32) -> f64 {
        self.waiting
            .values()
            .filter(|w| w.urgency <= urgency)
            .map(|w| w.cost)
            .sum()
    }

    /// It is sent there.
    pub fn sent(&mut self, token: u64, cost: f64, urgency: u32, now: Nanos) {
        if self.waiting.len() < MOST {
            let ahead = self.ahead(urgency) + cost;
            let before = more_urgent(&self.sent, urgency);
            self.waiting.insert(
                token,
                Waiting {
                    cost,
                    urgency,
                    at: now,
                    ahead,
                    before,
                },
            );
        }
        self.fade(now);
        let place = (urgency as usize).min(URGENCIES - 1);
        self.sent[place] += cost;
        self.lately[place] += cost;
        self.used = now;
    }

    /// Its first token came (`true`), or it ended without.
    pub fn over(&mut self, token: u64, began: bool, now: Nanos) {
        let Some(waiting) = self.waiting.remove(&token) else {
            return;
        };
        let took = now.saturating_sub(waiting.at) as f64 / 1e9 - FIXED;
        if began && took > TELLING {
            let overtook = more_urgent(&self.sent, waiting.urgency) - waiting.before;
            let seen = (waiting.ahead + overtook) / took;
            self.rate = (self.rate * (1.0 - WEIGHT) + seen * WEIGHT).clamp(1_000.0, 2_000_000.0);
        }
    }

    pub fn used(&self) -> Nanos {
        self.used
    }
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}
