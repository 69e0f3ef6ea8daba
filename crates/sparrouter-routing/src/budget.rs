//! The retry budget: this node's part of what all nodes may send beyond the first send of each request.
//!
//! Parts add up: the ratio is taken of one's own requests, the slack is divided by the number of nodes. What is not
//! spent within the window is lost, so that no window ever holds more than was allowed for it.
use crate::Nanos;

/// In how many pieces the window is counted. One more than these is looked at, so that a window that begins inside
/// a piece never holds more than is allowed.
const PIECES: usize = 10;

#[derive(Clone, Copy, Debug)]
pub struct BudgetTerms {
    /// Repeats allowed per request.
    pub ratio: f64,
    /// Repeats allowed beside, by all nodes together, in a window.
    pub slack: f64,
    pub window: Nanos,
}

/// One service's budget at this node.
#[derive(Clone, Debug)]
pub struct Budget {
    terms: BudgetTerms,
    piece: Nanos,
    /// Requests and repeats of each piece; the newest is at `at % len`.
    counts: [(f64, f64); PIECES + 1],
    at: u64,
    /// Before then the slack stays unspent: a process that just started may have spent it in its former life.
    slack_from: Nanos,
}

impl Budget {
    pub fn new(terms: BudgetTerms, started: Nanos, now: Nanos) -> Budget {
        let piece = (terms.window / PIECES as u64).max(1);
        let slack_from = started + terms.window;
        Budget {
            terms,
            piece,
            counts: [(0.0, 0.0); PIECES + 1],
            at: now / piece,
            slack_from,
        }
    }

    fn turn(&mut self, now: Nanos) -> usize {
        let at = (now / self.piece).max(self.at);
        let steps = (at - self.at).min(self.counts.len() as u64);
        for step in 0..steps {
            self.counts[((at - step) % self.counts.len() as u64) as usize] = (0.0, 0.0);
        }
        self.at = at;
        (at % self.counts.len() as u64) as usize
    }

    /// A request came for the service.
    pub fn asked(&mut self, now: Nanos) {
        let ix = self.turn(now);
        self.counts[ix].0 += 1.0;
    }

    /// One repeat, if this node's part of the budget has it. `nodes`: how many share the slack.
    pub fn take(&mut self, nodes: usize, now: Nanos) -> bool {
        let ix = self.turn(now);
        let spent: f64 = self.counts.iter().map(|c| c.1).sum();
        // The oldest piece may be out of the window that is judged: its requests earn nothing any more.
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
