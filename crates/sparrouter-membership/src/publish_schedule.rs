//! When changed records are published to the pollers: at once after a quiet period, otherwise a few together.
//!
//! When a thousand servers start one after the other, publishing each change alone would be a message to every poller for
//! each. All pollers are sent records up to the same revision, so that the same bytes serve all of them.
use crate::{MembershipTable, Nanos};

/// How long changes that are not urgent are gathered: 60 ms.
const GATHER_NANOS: Nanos = 60_000_000;
/// How much longer they are gathered for each poller: 1 ms.
const GATHER_NANOS_PER_POLLER: Nanos = 1_000_000;
/// Shortest time between two publications with urgent changes: 2 ms.
const URGENT_INTERVAL_NANOS: Nanos = 2_000_000;
/// How much longer that time is for each poller: 0.25 ms.
const URGENT_INTERVAL_NANOS_PER_POLLER: Nanos = 250_000;

/// The schedule of publications at one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct PublishSchedule {
    /// The table's revision at the last publication; never above its current one.
    published: u64,
    /// The moment of that publication.
    published_at: Nanos,
    /// The moment at which the oldest unpublished change was first seen; `None` while there is none.
    pending_from: Option<Nanos>,
}

impl PublishSchedule {
    /// The revision up to which pollers are sent records.
    pub fn published(&self) -> u64 {
        self.published
    }

    /// The moment at which the changes are to be published; `None` while nothing has changed. It may be past. `pollers`:
    /// how many nodes poll this one.
    pub fn next_publish_at(
        &mut self,
        table: &MembershipTable,
        pollers: usize,
        now: Nanos,
    ) -> Option<Nanos> {
        if table.revision() == self.published {
            self.pending_from = None;
            return None;
        }
        let pending_from = *self.pending_from.get_or_insert(now);
        let pollers = pollers as Nanos;
        let is_urgent = table.urgent_revision() > self.published;
        Some(if is_urgent {
            let interval = URGENT_INTERVAL_NANOS + URGENT_INTERVAL_NANOS_PER_POLLER * pollers;
            pending_from.max(self.published_at + interval)
        } else {
            pending_from + GATHER_NANOS + GATHER_NANOS_PER_POLLER * pollers
        })
    }

    /// Publishes all changes up to now.
    pub fn publish(&mut self, table: &MembershipTable, now: Nanos) {
        self.published = table.revision();
        self.published_at = now;
        self.pending_from = None;
    }
}
