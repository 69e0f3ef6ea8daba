//! When changed rows are published to the pollers: at once after a quiet period, otherwise a few together.
//!
//! When a thousand servers start one after the other, publishing each change alone would be a message to every poller for
//! each. All pollers are sent rows up to the same revision, so that the same bytes serve all of them.
use crate::{MembershipTable, Nanos};

/// How long changes that are not urgent are gathered, and how much longer for each poller.
const GATHER: Nanos = 60_000_000;
const GATHER_A_POLLER: Nanos = 1_000_000;
/// Shortest time between two publications with urgent changes, and how much more for each poller.
const URGENT: Nanos = 2_000_000;
const URGENT_A_POLLER: Nanos = 250_000;

/// The schedule of publications at one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct PublishSchedule {
    published: u64,
    /// When that was published.
    at: Nanos,
    /// Since when there are changes that are not published.
    since: Option<Nanos>,
}

impl PublishSchedule {
    /// The revision up to which pollers are sent rows.
    pub fn published(&self) -> u64 {
        self.published
    }

    /// When the rows are to be published next; `None` while nothing has changed.
    pub fn next_publish_at(
        &mut self,
        rows: &MembershipTable,
        pollers: usize,
        now: Nanos,
    ) -> Option<Nanos> {
        if rows.revision() == self.published {
            self.since = None;
            return None;
        }
        let since = *self.since.get_or_insert(now);
        let pollers = pollers as Nanos;
        Some(if rows.urgent_revision() > self.published {
            since.max(self.at + URGENT + URGENT_A_POLLER * pollers)
        } else {
            since + GATHER + GATHER_A_POLLER * pollers
        })
    }

    /// Publishes all changes up to now.
    pub fn publish(&mut self, rows: &MembershipTable, now: Nanos) {
        (self.published, self.at, self.since) = (rows.revision(), now, None);
    }
}
