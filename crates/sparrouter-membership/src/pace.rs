//! When rows that changed go out to whoever asks: at once while it is quiet, else the next few together.
//!
//! A thousand servers come one by one, and each change that went out alone would be a message to every poller. All
//! pollers are told up to the same revision, so that they can be told by the same bytes.
use crate::{Nanos, Rows};

/// What can wait is gathered so long, and longer where many ask.
const GATHER: Nanos = 60_000_000;
const GATHER_A_POLLER: Nanos = 1_000_000;
/// What is urgent goes out at once, but not more often than this.
const URGENT: Nanos = 2_000_000;
const URGENT_A_POLLER: Nanos = 250_000;

#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    published: u64,
    /// When that was.
    at: Nanos,
    /// Since when something is not published.
    since: Option<Nanos>,
}

impl Pace {
    /// Pollers are told up to this revision.
    pub fn published(&self) -> u64 {
        self.published
    }

    /// When the rows are to be published; None while nothing is new.
    pub fn due(&mut self, rows: &Rows, pollers: usize, now: Nanos) -> Option<Nanos> {
        if rows.revision() == self.published {
            self.since = None;
            return None;
        }
        let since = *self.since.get_or_insert(now);
        let pollers = pollers as Nanos;
        Some(if rows.urgent() > self.published {
            since.max(self.at + URGENT + URGENT_A_POLLER * pollers)
        } else {
            since + GATHER + GATHER_A_POLLER * pollers
        })
    }

    pub fn publish(&mut self, rows: &Rows, now: Nanos) {
        (self.published, self.at, self.since) = (rows.revision(), now, None);
    }
}
