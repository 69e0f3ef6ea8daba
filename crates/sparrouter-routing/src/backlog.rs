//! The queue of one server, over all nodes. One node keeps it for each server, and is asked before a prompt is sent there.
//!
//! A node's own requests are a small part of what a server has to read; how long a prompt waits for its first token is
//! decided by the rest. The keeper adds up the prompts that were announced and have not begun, and estimates the server's
//! speed from how long each took. Source: Little, "A proof for the queuing formula L = λW", 1961.
use crate::Nanos;
use std::collections::BTreeMap;

/// Most prompts that are kept for one server.
const MOST: usize = 4_096;
/// After so long a prompt that was never reported over stops counting.
const LOST: Nanos = 15_000_000_000;
/// Assumed speed of a server that nothing is known of, in tokens a second.
const FIRST_RATE: f64 = 40_000.0;
/// Weight of a new observation in the moving average of the speed.
const WEIGHT: f64 = 0.1;
/// Seconds that a prompt takes beside being read, even if nothing is ahead of it.
const FIXED: f64 = 0.04;
/// Shortest wait in seconds from which the speed is estimated: shorter ones say too little.
const TELLING: f64 = 0.12;
/// How many urgencies are distinguished; all above count as the last one.
const URGENCIES: usize = 16;
/// Seconds of recent arrivals from which it is estimated how much will overtake a waiting prompt.
const LOOK_BACK: f64 = 2.0;
/// Largest part of the speed that is assumed to go to overtaking prompts, so that a wait stays finite.
const MOST_OVERTAKEN: f64 = 0.9;

/// A prompt that has not begun.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    cost: f64,
    urgency: u32,
    at: Nanos,
    /// Tokens ahead of it when it came, its own included.
    ahead: f64,
    /// More urgent tokens sent until then: those sent later overtake it.
    before: f64,
}

/// The queue of one server.
#[derive(Clone, Debug)]
pub struct Backlog {
    waiting: BTreeMap<u64, Waiting>,
    /// Tokens a second.
    rate: f64,
    used: Nanos,
    /// Tokens sent so far, by urgency.
    sent: [f64; URGENCIES],
    /// Tokens sent recently, by urgency, decaying exponentially.
    lately: [f64; URGENCIES],
    faded: Nanos,
}

/// Tokens of lower number, that is of higher urgency.
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
    /// How long a prompt would wait before it is read. More urgent ones (lower numbers) go first, also if they come while it
    /// waits, and so do earlier ones of the same urgency.
    pub fn estimate_wait(&mut self, urgency: u32, now: Nanos) -> Nanos {
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

    /// Adds a prompt of `cost` tokens under a token that is unique for this server.
    pub fn enqueue(&mut self, token: u64, cost: f64, urgency: u32, now: Nanos) {
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

    /// Removes a prompt. `began`: its first token came; otherwise it ended without one.
    pub fn remove(&mut self, token: u64, began: bool, now: Nanos) {
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

    /// When the queue was last used.
    pub fn last_used_at(&self) -> Nanos {
        self.used
    }
    /// How many prompts wait.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }
}
