//! The retry budget: this node's share of what all nodes may send beyond the first send of each request.
//!
//! The shares of all nodes add up to the whole: the ratio applies to a node's own requests, and the slack is divided by the
//! number of nodes. What is not spent within a window expires, so that no window exceeds the budget.
use crate::Nanos;

/// Number of pieces that the window is counted in. One piece more is kept, so that a window that begins inside a piece
/// does not exceed the budget either.
const PIECES: usize = 10;

/// The limits of a retry budget.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudgetSettings {
    /// Retries allowed a request.
    pub ratio: f64,
    /// Further retries that all nodes together may make in a window.
    pub slack: f64,
    /// Length of the window.
    pub window: Nanos,
}

/// One service's budget at this node.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    terms: RetryBudgetSettings,
    piece: Nanos,
    /// Requests and retries of each piece; the newest is at `at % len`.
    counts: [(f64, f64); PIECES + 1],
    at: u64,
    /// No slack is spent before: the process may have spent it before it was restarted.
    slack_from: Nanos,
}

impl RetryBudget {
    /// A budget of a process that was started at `started`.
    pub fn new(terms: RetryBudgetSettings, started: Nanos, now: Nanos) -> RetryBudget {
        let piece = (terms.window / PIECES as u64).max(1);
        let slack_from = started + terms.window;
        RetryBudget {
            terms,
            piece,
            counts: [(0.0, 0.0); PIECES + 1],
            at: now / piece,
            slack_from,
        }
    }

    /// Moves on to the piece of `now`; gives its index.
    fn turn(&mut self, now: Nanos) -> usize {
        let at = (now / self.piece).max(self.at);
        let steps = (at - self.at).min(self.counts.len() as u64);
        for step in 0..steps {
            self.counts[((at - step) % self.counts.len() as u64) as usize] = (0.0, 0.0);
        }
        self.at = at;
        (at % self.counts.len() as u64) as usize
    }

    /// Counts a request for the service.
    pub fn record_request(&mut self, now: Nanos) {
        let ix = self.turn(now);
        self.counts[ix].0 += 1.0;
    }

    /// Spends one retry if this node's share of the budget has one left. `nodes`: how many nodes share the slack.
    pub fn try_acquire(&mut self, nodes: usize, now: Nanos) -> bool {
        let ix = self.turn(now);
        let spent: f64 = self.counts.iter().map(|c| c.1).sum();
        // The oldest piece may lie outside of the window, so its requests do not count any more.
        let oldest = (ix + 1) % self.counts.len();
        let asked: f64 = self
            .counts
            .iter()
            .enumerate()
            .filter(|(i, _)| *i != oldest)
            .map(|(_, c)| c.0)
            .sum();
        let slack = if now < self.slack_from {
            0.0
        } else {
            self.terms.slack / nodes.max(1) as f64
        };
        let allowed = self.terms.ratio * asked + slack.floor();
        let has = spent + 1.0 <= allowed;
        if has {
            self.counts[ix].1 += 1.0;
        }
        has
    }
}
