//! Limits retries to a share of the requests. Each node gets a share of the attempts that all nodes together may make in
//! addition to the first attempt of each request.
//!
//! The shares of all nodes add up to the whole budget: the ratio applies to a node's own requests, and the slack is
//! divided among the nodes in whole retries, with the remainder going to the first nodes. Unspent retries expire with
//! their window, so that no window exceeds the budget. When a node's share grows because nodes joined or left, the
//! increase takes effect one window later, since the node that had it before may just have spent it.
//! Source: "Handling Overload", in Beyer et al., "Site Reliability Engineering", 2016.
use crate::Nanos;

/// Number of slices that a window is divided into.
const SLICES_PER_WINDOW: usize = 10;
/// Number of stored slices: one more than in a window, so that a window that starts within a slice does not exceed the
/// budget either.
const STORED_SLICES: usize = SLICES_PER_WINDOW + 1;

/// The limits of a retry budget.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudgetSettings {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Additional retries that all nodes together may make per window.
    pub slack: f64,
    /// Length of the window.
    pub window: Nanos,
}

/// This node's position among the nodes that divide the slack.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlackDivision {
    /// Number of nodes, 1 or more.
    pub nodes: usize,
    /// Number of nodes that precede this one, in an order that all nodes agree on.
    pub rank: usize,
}

impl SlackDivision {
    /// This node's share of the slack in whole retries; the shares of all nodes add up to the slack, rounded down.
    fn share_of(self, slack: f64) -> f64 {
        let nodes = self.nodes.max(1) as u64;
        let slack = slack.max(0.0) as u64;
        let has_remainder = (self.rank as u64) < slack % nodes;
        (slack / nodes + u64::from(has_remainder)) as f64
    }
}

/// A larger share of the slack that is not in effect yet.
#[derive(Clone, Copy, Debug)]
struct PendingShare {
    /// The smallest share of this node since `since`.
    share: f64,
    since: Nanos,
}

/// Requests and retries in one slice of the window.
#[derive(Clone, Copy, Debug, Default)]
struct WindowSlice {
    requests: f64,
    retries: f64,
}

/// One service's retry budget at this node.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    /// Length of a slice, 1 ns or more.
    slice_length: Nanos,
    /// Slice number `n` is at index `n % STORED_SLICES`.
    slices: [WindowSlice; STORED_SLICES],
    /// Number of the newest slice: its start time divided by the slice length. Never decreases.
    newest: u64,
    /// No slack is spent before this time, because the process may have spent it before a restart.
    slack_starts_at: Nanos,
    /// This node's share of the slack that is in effect; `None` before the first retry.
    slack_share: Option<f64>,
    pending_share: Option<PendingShare>,
}

impl RetryBudget {
    /// Creates an empty budget. `started`: when the process started.
    pub fn new(settings: RetryBudgetSettings, started: Nanos, now: Nanos) -> RetryBudget {
        let slice_length = (settings.window / SLICES_PER_WINDOW as u64).max(1);
        RetryBudget {
            settings,
            slice_length,
            slices: [WindowSlice::default(); STORED_SLICES],
            newest: now / slice_length,
            slack_starts_at: started + settings.window,
            slack_share: None,
            pending_share: None,
        }
    }

    /// Advances to the slice of `now`, clears the slices in between, and returns the index of the current slice.
    fn advance(&mut self, now: Nanos) -> usize {
        let stored = self.slices.len() as u64;
        let newest = (now / self.slice_length).max(self.newest);
        let expired = (newest - self.newest).min(stored);
        for age in 0..expired {
            self.slices[((newest - age) % stored) as usize] = WindowSlice::default();
        }
        self.newest = newest;
        (newest % stored) as usize
    }

    /// Counts a request of the service.
    pub fn record_request(&mut self, now: Nanos) {
        let current = self.advance(now);
        self.slices[current].requests += 1.0;
    }

    /// Spends one retry if this node's share of the budget allows it. Returns whether the retry is allowed.
    pub fn try_acquire(&mut self, division: SlackDivision, now: Nanos) -> bool {
        let current = self.advance(now);
        let retries: f64 = self.slices.iter().map(|slice| slice.retries).sum();
        let share = self.slack_share(division, now);
        let slack = if now < self.slack_starts_at {
            0.0
        } else {
            share
        };
        let allowed = self.settings.ratio * self.requests_within_window(current) + slack;
        let is_allowed = retries + 1.0 <= allowed;
        if is_allowed {
            self.slices[current].retries += 1.0;
        }
        is_allowed
    }

    /// The share of the slack that is in effect: a decrease applies at once, an increase after one window.
    fn slack_share(&mut self, division: SlackDivision, now: Nanos) -> f64 {
        let share = division.share_of(self.settings.slack);
        let current_share = *self.slack_share.get_or_insert(share);
        if share <= current_share {
            self.pending_share = None;
            self.slack_share = Some(share);
            return share;
        }
        let pending = self
            .pending_share
            .get_or_insert(PendingShare { share, since: now });
        pending.share = pending.share.min(share);
        if now.saturating_sub(pending.since) < self.settings.window {
            return current_share;
        }
        let increased_share = pending.share;
        self.pending_share = None;
        self.slack_share = Some(increased_share);
        increased_share
    }

    /// Number of requests in all slices but the oldest, which may be outside the window.
    fn requests_within_window(&self, current: usize) -> f64 {
        let oldest = (current + 1) % self.slices.len();
        self.slices
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != oldest)
            .map(|(_, slice)| slice.requests)
            .sum()
    }
}
