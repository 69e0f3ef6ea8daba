//! Publishes changed records to the nodes that poll this one, and wakes pollers that wait for changes.
use super::Node;
use sparrouter_membership::PublishSchedule;
use sparrouter_routing::Nanos;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Maximum number of records in one reply to a poll: after a start all pollers request everything at once.
const MAX_RECORDS_PER_REPLY: usize = 400;
/// Maximum number of packed replies that are cached until the records change, for pollers with the same revision.
const MAX_CACHED_REPLIES: usize = 16;
/// Shortest time between two syncs of the server table, so that one sync covers several changes: a fixed time, plus
/// `SYNC_INTERVAL_PER_SERVER` for each server.
const SYNC_INTERVAL: Nanos = 5_000_000;
const SYNC_INTERVAL_PER_SERVER: Nanos = 8_000;

/// Counts the changes for which pollers wait. Waiters are woken in the order in which they began to wait; tokio's
/// `watch` wakes them in random order, so that simulated runs with the same seed would differ.
#[derive(Default)]
struct Changes {
    count: Cell<u64>,
    raised: Notify,
}

/// Waits for changes that happen after the last observed one.
pub struct ChangeSubscription {
    changes: Rc<Changes>,
    observed: u64,
}

impl ChangeSubscription {
    /// Marks all changes until now as observed.
    pub fn mark_unchanged(&mut self) {
        self.observed = self.changes.count.get();
    }

    /// Waits until there is a change that was not observed, and marks it as observed. Cancel-safe.
    pub async fn changed(&mut self) {
        while self.changes.count.get() == self.observed {
            self.changes.raised.notified().await;
        }
        self.mark_unchanged();
    }
}

/// A cached packed reply to polls with the same revision.
struct CachedReply {
    from_revision: u64,
    packed: Vec<u8>,
}

/// State of the publication of records.
pub(crate) struct Publication {
    changes: Rc<Changes>,
    /// The published revision, and when the next one is published.
    schedule: RefCell<PublishSchedule>,
    /// Cached replies. Invariant: cleared with each published revision.
    replies: RefCell<Vec<CachedReply>>,
    /// Number of nodes that poll this one.
    poller_count: Cell<usize>,
    /// Whether records changed since the server table was last synced.
    is_sync_pending: Cell<bool>,
    /// When the server table was last synced; `None` if never.
    synced_at: Cell<Option<Nanos>>,
    /// When the task of [`Node::run_publication`] next wakes without a notification; [`Nanos::MAX`] if it waits for
    /// one.
    wakes_at: Cell<Nanos>,
    /// Wakes the task of [`Node::run_publication`].
    wake: Notify,
}

impl Default for Publication {
    fn default() -> Publication {
        Publication {
            changes: Rc::default(),
            schedule: RefCell::default(),
            replies: RefCell::default(),
            poller_count: Cell::new(0),
            is_sync_pending: Cell::new(false),
            synced_at: Cell::new(None),
            wakes_at: Cell::new(Nanos::MAX),
            wake: Notify::new(),
        }
    }
}

impl Publication {
    /// Sets the number of nodes that poll this one.
    pub(crate) fn set_poller_count(&self, count: usize) {
        self.poller_count.set(count);
    }
}

impl Node {
    /// A subscription to changes from now on.
    pub fn subscribe(&self) -> ChangeSubscription {
        let changes = self.publication.changes.clone();
        let observed = changes.count.get();
        ChangeSubscription { changes, observed }
    }

    /// Wakes the tasks that wait for a change.
    pub fn notify_subscribers(&self) {
        let changes = &self.publication.changes;
        changes.count.set(changes.count.get() + 1);
        changes.raised.notify_waiters();
    }

    /// Publishes changed records: syncs the server table and sends the records to pollers, now or together with the
    /// next changes.
    pub fn publish_changes(&self) {
        self.publication.is_sync_pending.set(true);
        if let Some(next_at) = self.publish_pending()
            && next_at < self.publication.wakes_at.get()
        {
            self.publication.wake.notify_one();
        }
    }

    /// Runs the parts of the publication that are due; returns when the next part is due, `None` if none is pending.
    fn publish_pending(&self) -> Option<Nanos> {
        let sync_at = self.sync_servers();
        let publish_at = self.publish_records();
        match (sync_at, publish_at) {
            (Some(sync), Some(publish)) => Some(sync.min(publish)),
            (sync, publish) => sync.or(publish),
        }
    }

    /// Syncs the server table with the records, unless the last sync was too recent; then returns when the next is due.
    fn sync_servers(&self) -> Option<Nanos> {
        let publication = &self.publication;
        if !publication.is_sync_pending.get() {
            return None;
        }
        let now = self.now();
        let records = self.membership.borrow();
        let interval = SYNC_INTERVAL + SYNC_INTERVAL_PER_SERVER * records.server_count() as Nanos;
        let next_at = publication.synced_at.get().map_or(now, |at| at + interval);
        if next_at > now {
            return Some(next_at);
        }
        self.server_table.borrow_mut().sync(&records, now);
        publication.is_sync_pending.set(false);
        publication.synced_at.set(Some(now));
        None
    }

    /// Publishes the newest revision if it is due; otherwise returns when it is due.
    fn publish_records(&self) -> Option<Nanos> {
        let now = self.now();
        let publication = &self.publication;
        let records = self.membership.borrow();
        let mut schedule = publication.schedule.borrow_mut();
        let next_at = schedule.next_publish_at(&records, publication.poller_count.get(), now)?;
        if next_at > now {
            return Some(next_at);
        }
        schedule.publish(&records, now);
        publication.replies.borrow_mut().clear();
        self.notify_subscribers();
        None
    }

    /// The task that publishes changes which were deferred to a later time. It runs until the process ends.
    pub async fn run_publication(self: Rc<Self>) {
        let publication = &self.publication;
        loop {
            let next_at = self.publish_pending();
            publication.wakes_at.set(next_at.unwrap_or(Nanos::MAX));
            let Some(next_at) = next_at else {
                publication.wake.notified().await;
                continue;
            };
            let remaining = Duration::from_nanos(next_at.saturating_sub(self.now()));
            // The deadline has passed, or an earlier one was set.
            let _ = tokio::time::timeout(remaining, publication.wake.notified()).await;
        }
    }

    /// The packed records that a poller with this epoch and revision lacks; `None` if it has all published records.
    pub fn packed_delta_since(&self, epoch: u64, revision: u64) -> Option<Vec<u8>> {
        let records = self.membership.borrow();
        let published = self.publication.schedule.borrow().published();
        let is_same_epoch = epoch == records.epoch();
        if is_same_epoch && revision >= published {
            return None;
        }
        let from_revision = if is_same_epoch { revision } else { 0 };
        let mut replies = self.publication.replies.borrow_mut();
        let cached = replies.iter().find(|r| r.from_revision == from_revision);
        if let Some(reply) = cached {
            return Some(reply.packed.clone());
        }
        let delta = records.delta_between(
            records.epoch(),
            from_revision,
            published,
            MAX_RECORDS_PER_REPLY,
        );
        let packed = delta.pack();
        if replies.len() < MAX_CACHED_REPLIES {
            replies.push(CachedReply {
                from_revision,
                packed: packed.clone(),
            });
        }
        Some(packed)
    }
}
