//! Schedules the publication of changed records to polling nodes. An urgent change is published as soon as a short minimum
//! interval since the last publication has passed, so after a quiet period it is published immediately. Other changes are
//! batched.
//!
//! Without batching, the start of a thousand servers would send a thousand messages to every polling node. All polling nodes
//! receive records up to the same revision, so that one encoded response serves all of them.
use crate::{MembershipTable, Nanos};

/// How long non-urgent changes are batched before they are published: 60 ms.
const BATCH_DELAY_NANOS: Nanos = 60_000_000;
/// Increase of [`BATCH_DELAY_NANOS`] per polling node: 1 ms.
const BATCH_DELAY_NANOS_PER_POLLER: Nanos = 1_000_000;
/// Minimum interval between a publication and a following publication with urgent changes: 2 ms.
const URGENT_INTERVAL_NANOS: Nanos = 2_000_000;
/// Increase of [`URGENT_INTERVAL_NANOS`] per polling node: 0.25 ms.
const URGENT_INTERVAL_NANOS_PER_POLLER: Nanos = 250_000;

/// The schedule of publications by one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct PublishSchedule {
    /// Revision of the table at the last publication; never above the table's current revision.
    published_revision: u64,
    /// Time of the last publication.
    published_at: Nanos,
    /// Time at which the oldest unpublished change was detected; `None` if there is none.
    pending_since: Option<Nanos>,
}

impl PublishSchedule {
    /// The revision up to which changes are published to polling nodes.
    pub fn published(&self) -> u64 {
        self.published_revision
    }

    /// The time at which pending changes are to be published, which may be in the past; `None` if there are none. `pollers` is
    /// the number of nodes that poll this node.
    pub fn next_publish_at(
        &mut self,
        table: &MembershipTable,
        pollers: usize,
        now: Nanos,
    ) -> Option<Nanos> {
        if table.revision() == self.published_revision {
            self.pending_since = None;
            return None;
        }
        let pending_since = *self.pending_since.get_or_insert(now);
        let pollers = pollers as Nanos;
        let is_urgent = table.urgent_revision() > self.published_revision;
        Some(if is_urgent {
            let interval = URGENT_INTERVAL_NANOS + URGENT_INTERVAL_NANOS_PER_POLLER * pollers;
            pending_since.max(self.published_at + interval)
        } else {
            pending_since + BATCH_DELAY_NANOS + BATCH_DELAY_NANOS_PER_POLLER * pollers
        })
    }

    /// Publishes all changes up to the table's current revision.
    pub fn publish(&mut self, table: &MembershipTable, now: Nanos) {
        self.published_revision = table.revision();
        self.published_at = now;
        self.pending_since = None;
    }
}
