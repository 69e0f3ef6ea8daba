//! Estimates how long a prompt would queue at one server, over all nodes.
//!
//! A node's own requests are a small part of what a server prefills; the other nodes' requests decide how long a prompt
//! waits for its first token. Therefore one node owns the backlog of each server, and other nodes query it before they
//! send a prompt there. The owner adds up the announced prompts that have no first token yet, and estimates the server's
//! prefill rate from their waits. Source: Little, "A proof for the queuing formula L = λW", 1961.
use crate::Nanos;
use std::collections::BTreeMap;

/// Maximum number of prompts in one server's queue; further ones are not counted.
const MAX_QUEUED: usize = 4_096;
/// Time after which a prompt is dropped from the queue if its removal was never reported.
const MAX_QUEUE_TIME: Nanos = 15_000_000_000;
/// Assumed prefill rate of a server before the first measurement, in tokens per second.
const INITIAL_RATE: f64 = 40_000.0;
/// Bounds of the estimated prefill rate, in tokens per second.
const MIN_RATE: f64 = 1_000.0;
const MAX_RATE: f64 = 2_000_000.0;
/// Weight of a new measurement in the moving average of the rate.
const RATE_SMOOTHING: f64 = 0.1;
/// Time of a prompt in addition to its prefill, in seconds, even with an empty queue.
const FIXED_OVERHEAD_SECONDS: f64 = 0.04;
/// Minimum wait from which the rate is measured, in seconds: fixed costs dominate shorter waits.
const MIN_MEASURED_SECONDS: f64 = 0.12;
/// Number of distinct priorities; all higher numbers count as the last one.
const PRIORITIES: usize = 16;
/// Time constant of the recent arrivals, in seconds; they predict how many tokens will overtake a queued prompt.
const ARRIVAL_DECAY_SECONDS: f64 = 2.0;
/// Maximum share of the rate that is assumed to go to overtaking prompts, so that the estimated wait stays finite.
const MAX_OVERTAKING_SHARE: f64 = 0.9;

/// A prompt that has no first token yet.
#[derive(Clone, Copy, Debug)]
struct QueuedPrompt {
    /// Number of tokens to prefill.
    cost: f64,
    /// Priority; 0 is served first.
    priority: u32,
    enqueued_at: Nanos,
    /// Tokens to prefill until this prompt is prefilled, as of its arrival: the tokens ahead of it plus its own.
    tokens_until_prefilled: f64,
    /// Tokens of higher priority that had arrived in total before this prompt; those that arrive later overtake it.
    overtaking_before: f64,
}

/// The prompts queued at one server. Token counts are the expected prefill: callers subtract the tokens that they expect
/// the server to have cached.
#[derive(Clone, Debug)]
pub struct Backlog {
    /// By the prompt's id; at most [`MAX_QUEUED`] entries.
    queue: BTreeMap<u64, QueuedPrompt>,
    /// Estimated prefill rate in tokens per second, within [`MIN_RATE`] and [`MAX_RATE`].
    rate: f64,
    last_used_at: Nanos,
    /// Tokens that have arrived in total, by priority.
    arrived: [f64; PRIORITIES],
    /// Tokens that arrived recently, by priority, decayed exponentially until `decayed_at`.
    arrived_recently: [f64; PRIORITIES],
    decayed_at: Nanos,
}

/// Sum of the tokens of higher priority, that is with a lower number.
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
    /// The estimated time that a prompt would queue before its prefill starts. Prompts of higher priority (lower number)
    /// are served first, even if they arrive while the prompt waits; so are earlier prompts of the same priority.
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

    /// Tokens of the queued prompts that are served before a new prompt of this priority.
    fn tokens_ahead(&self, priority: u32) -> f64 {
        self.queue
            .values()
            .filter(|queued| queued.priority <= priority)
            .map(|queued| queued.cost)
            .sum()
    }

    /// Adds a prompt of `cost` tokens to prefill. `prompt_id` identifies the prompt at this server for [`Backlog::remove`].
    pub fn enqueue(&mut self, prompt_id: u64, cost: f64, priority: u32, now: Nanos) {
        if self.queue.len() < MAX_QUEUED {
            let queued = QueuedPrompt {
                cost,
                priority,
                enqueued_at: now,
                tokens_until_prefilled: self.tokens_ahead(priority) + cost,
                overtaking_before: higher_priority_sum(&self.arrived, priority),
            };
            self.queue.insert(prompt_id, queued);
        }
        self.decay_arrivals(now);
        let level = (priority as usize).min(PRIORITIES - 1);
        self.arrived[level] += cost;
        self.arrived_recently[level] += cost;
        self.last_used_at = now;
    }

    /// Removes a prompt; does nothing if no prompt was enqueued with `prompt_id`. `has_first_token`: whether its first token
    /// arrived, in which case its wait is a measurement of the rate.
    pub fn remove(&mut self, prompt_id: u64, has_first_token: bool, now: Nanos) {
        let Some(queued) = self.queue.remove(&prompt_id) else {
            return;
        };
        let waited_seconds =
            now.saturating_sub(queued.enqueued_at) as f64 / 1e9 - FIXED_OVERHEAD_SECONDS;
        if has_first_token && waited_seconds > MIN_MEASURED_SECONDS {
            let overtaken_by =
                higher_priority_sum(&self.arrived, queued.priority) - queued.overtaking_before;
            let measured = (queued.tokens_until_prefilled + overtaken_by) / waited_seconds;
            let average = self.rate * (1.0 - RATE_SMOOTHING) + measured * RATE_SMOOTHING;
            self.rate = average.clamp(MIN_RATE, MAX_RATE);
        }
    }

    /// When a wait was last estimated or a prompt last enqueued; callers may drop unused backlogs.
    pub fn last_used_at(&self) -> Nanos {
        self.last_used_at
    }

    /// Number of queued prompts.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }
}
