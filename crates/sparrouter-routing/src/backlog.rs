//! Estimates how long a prompt would queue at one server, over all nodes.
//!
//! A node's own requests are a small part of what a server has to prefill; how long a prompt waits for its first token is
//! decided by the rest. So one node owns the backlog of each server, and is queried before a prompt is sent there. It
//! adds up the announced prompts whose generation has not started, and estimates the server's prefill rate from how long
//! each of them took. Source: Little, "A proof for the queuing formula L = λW", 1961.
use crate::Nanos;
use std::collections::BTreeMap;

/// Largest number of prompts in one server's queue; further ones are not counted.
const MAX_QUEUED: usize = 4_096;
/// A prompt whose removal was never reported stops counting after this time.
const MAX_QUEUE_TIME: Nanos = 15_000_000_000;
/// Prefill rate in tokens per second that is assumed of a server before the first measurement.
const INITIAL_RATE: f64 = 40_000.0;
/// Bounds of the estimated prefill rate, in tokens per second.
const MIN_RATE: f64 = 1_000.0;
const MAX_RATE: f64 = 2_000_000.0;
/// Weight of a new measurement in the moving average of the rate.
const RATE_SMOOTHING: f64 = 0.1;
/// Seconds that a prompt takes beside its prefill, even with an empty queue.
const FIXED_OVERHEAD_SECONDS: f64 = 0.04;
/// Shortest wait in seconds that the rate is measured from: fixed costs dominate shorter ones.
const MIN_MEASURED_SECONDS: f64 = 0.12;
/// Number of priorities that are distinguished; all above count as the last one.
const PRIORITIES: usize = 16;
/// Time constant in seconds of the arrivals from which it is estimated how much will overtake a queued prompt.
const ARRIVAL_DECAY_SECONDS: f64 = 2.0;
/// Largest share of the rate that is assumed to go to overtaking prompts, so that the estimated wait stays finite.
const MAX_OVERTAKING_SHARE: f64 = 0.9;

/// A prompt whose generation has not started.
#[derive(Clone, Copy, Debug)]
struct QueuedPrompt {
    /// Tokens to prefill.
    cost: f64,
    /// 0 is served first.
    priority: u32,
    enqueued_at: Nanos,
    /// Tokens that were served before its own, as of its arrival, and its own.
    tokens_ahead: f64,
    /// Tokens of higher priority that had arrived in total by its arrival: later ones overtake it.
    overtaking_before: f64,
}

/// The queue of one server. Its tokens are those that are expected to be prefilled: the caller leaves out what it expects
/// the server to have cached of a prompt.
#[derive(Clone, Debug)]
pub struct Backlog {
    /// By the token that the prompt was enqueued under; at most [`MAX_QUEUED`].
    queue: BTreeMap<u64, QueuedPrompt>,
    /// Estimated prefill rate in tokens per second, within [`MIN_RATE`] and [`MAX_RATE`].
    rate: f64,
    last_used_at: Nanos,
    /// Tokens that have arrived so far, by priority.
    arrived: [f64; PRIORITIES],
    /// Tokens that arrived recently, by priority, decayed exponentially up to `decayed_at`.
    arrived_recently: [f64; PRIORITIES],
    decayed_at: Nanos,
}

/// Sum of the tokens whose priority is higher, that is of lower number.
fn higher_priority_sum(tokens: &[f64; PRIORITIES], priority: u32) -> f64 {
    tokens.iter().take(priority as usize).sum()
}

impl Default for Backlog {
    fn default() -> Backlog {
        Backlog {
            queue: BTreeMap::new(),
            rate: INITIAL_RATE,
            last_used_at: 0,
            arrived: [0.0; PRIORITIES],
            arrived_recently: [0.0; PRIORITIES],
            decayed_at: 0,
        }
    }
}

impl Backlog {
    /// How long a prompt would queue before its prefill starts. Prompts of higher priority (lower number) go first, also
    /// if they arrive while it waits, and so do earlier ones of the same priority.
    pub fn estimate_wait(&mut self, priority: u32, now: Nanos) -> Nanos {
        self.last_used_at = now;
        self.queue
            .retain(|_, queued| now.saturating_sub(queued.enqueued_at) < MAX_QUEUE_TIME);
        self.decay_arrivals(now);
        let overtaking_rate =
            higher_priority_sum(&self.arrived_recently, priority) / ARRIVAL_DECAY_SECONDS;
        let overtaking_share = (overtaking_rate / self.rate).min(MAX_OVERTAKING_SHARE);
        let remaining_rate = self.rate * (1.0 - overtaking_share);
        (self.tokens_ahead(priority) / remaining_rate * 1e9) as Nanos
    }

    fn decay_arrivals(&mut self, now: Nanos) {
        let elapsed_seconds = now.saturating_sub(self.decayed_at) as f64 / 1e9;
        let factor = (-elapsed_seconds / ARRIVAL_DECAY_SECONDS).exp();
        for tokens in &mut self.arrived_recently {
            *tokens *= factor;
        }
        self.decayed_at = self.decayed_at.max(now);
    }

    /// Tokens of queued prompts that are served before a new one of this priority.
    fn tokens_ahead(&self, priority: u32) -> f64 {
        self.queue
            .values()
            .filter(|queued| queued.priority <= priority)
            .map(|queued| queued.cost)
            .sum()
    }

    /// Adds a prompt of `cost` tokens to prefill. `token` identifies it at this server for [`Backlog::remove`].
    pub fn enqueue(&mut self, token: u64, cost: f64, priority: u32, now: Nanos) {
        if self.queue.len() < MAX_QUEUED {
            let queued = QueuedPrompt {
                cost,
                priority,
                enqueued_at: now,
                tokens_ahead: self.tokens_ahead(priority) + cost,
                overtaking_before: higher_priority_sum(&self.arrived, priority),
            };
            self.queue.insert(token, queued);
        }
        self.decay_arrivals(now);
        let level = (priority as usize).min(PRIORITIES - 1);
        self.arrived[level] += cost;
        self.arrived_recently[level] += cost;
        self.last_used_at = now;
    }

    /// Removes a prompt. `began`: its first token arrived, so its wait measures the rate; otherwise it ended without one.
    /// Does nothing if no prompt was enqueued under `token`.
    pub fn remove(&mut self, token: u64, began: bool, now: Nanos) {
        let Some(queued) = self.queue.remove(&token) else {
            return;
        };
        let waited_seconds =
            now.saturating_sub(queued.enqueued_at) as f64 / 1e9 - FIXED_OVERHEAD_SECONDS;
        if began && waited_seconds > MIN_MEASURED_SECONDS {
            let overtaken_by =
                higher_priority_sum(&self.arrived, queued.priority) - queued.overtaking_before;
            let measured = (queued.tokens_ahead + overtaken_by) / waited_seconds;
            let average = self.rate * (1.0 - RATE_SMOOTHING) + measured * RATE_SMOOTHING;
            self.rate = average.clamp(MIN_RATE, MAX_RATE);
        }
    }

    /// When the wait was last estimated or a prompt was last enqueued; unused backlogs may be dropped.
    pub fn last_used_at(&self) -> Nanos {
        self.last_used_at
    }

    /// Number of queued prompts.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }
}
