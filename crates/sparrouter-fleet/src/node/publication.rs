//! When changed records are published to the nodes that poll this one, and how those wait for them.
use super::Node;
use sparrouter_membership::PublishSchedule;
use sparrouter_routing::Nanos;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Most records in one reply to a poll: after a start all pollers ask for everything at once.
const MAX_RECORDS_A_REPLY: usize = 400;
/// Most packed replies that are cached until the records change, for pollers that ask for the same.
const MAX_CACHED_REPLIES: usize = 16;
/// Shortest time between two syncs of the server table, so that one sync covers several changes: a base and a time for
/// each server.
const SYNC_INTERVAL: Nanos = 5_000_000;
const SYNC_INTERVAL_A_SERVER: Nanos = 8_000;

/// Counts changes that pollers wait for. They are woken in the order in which they began to wait; the `watch` of tokio
/// wakes in a random one, with which no simulated day would run twice alike.
#[derive(Default)]
struct Changes {
    count: Cell<u64>,
    raised: Notify,
}

/// Waits for changes that come after those that it has observed.
pub struct ChangeSubscription {
    changes: Rc<Changes>,
    observed: u64,
}

impl ChangeSubscription {
    /// Counts all changes until now as observed.
    pub fn mark_unchanged(&mut self) {
        self.observed = self.changes.count.get();
    }

    /// Waits until there is a change that was not observed, and counts it as observed. Safe to cancel.
    pub async fn changed(&mut self) {
        while self.changes.count.get() == self.observed {
            self.changes.raised.notified().await;
        }
        self.mark_unchanged();
    }
}

/// A packed reply to polls from one revision.
struct CachedReply {
    from_revision: u64,
    packed: Vec<u8>,
}

/// The state of publication.
pub(crate) struct Publication {
    changes: Rc<Changes>,
    /// Which revision is published, and when the next one is.
    schedule: RefCell<PublishSchedule>,
    /// Invariant: cleared with each published revision.
    replies: RefCell<Vec<CachedReply>>,
    /// How many nodes poll this one.
    poller_count: Cell<usize>,
    /// Whether records changed since the server table was last synced.
    is_sync_pending: Cell<bool>,
    /// When it was last synced.
    synced_at: Cell<Option<Nanos>>,
    /// When the task of [`Node::carry_out`] wakes by itself; the largest number: not before it is woken.
    wakes_at: Cell<Nanos>,
    /// Wakes that task.
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
    /// Sets how many nodes poll this one.
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

    /// Records changed: the server table is synced and pollers get them, now or together with the next changes.
    pub fn publish_changes(&self) {
        self.publication.is_sync_pending.set(true);
        if let Some(next_at) = self.publish_pending()
            && next_at < self.publication.wakes_at.get()
        {
            self.publication.wake.notify_one();
        }
    }

    /// Does what is due after a change of records; returns when the rest is.
    fn publish_pending(&self) -> Option<Nanos> {
        let sync_at = self.sync_servers();
        let publish_at = self.publish_records();
        match (sync_at, publish_at) {
            (Some(sync), Some(publish)) => Some(sync.min(publish)),
            (sync, publish) => sync.or(publish),
        }
    }

    /// Syncs the server table with the records unless it was synced just now; returns when that is due.
    fn sync_servers(&self) -> Option<Nanos> {
        let publication = &self.publication;
        if !publication.is_sync_pending.get() {
            return None;
        }
        let now = self.now();
        let records = self.membership.borrow();
        let interval = SYNC_INTERVAL + SYNC_INTERVAL_A_SERVER * records.server_count() as Nanos;
        let next_at = publication.synced_at.get().map_or(now, |at| at + interval);
        if next_at > now {
            return Some(next_at);
        }
        self.server_table.borrow_mut().sync(&records, now);
        publication.is_sync_pending.set(false);
        publication.synced_at.set(Some(now));
        None
    }

    /// Publishes the newest revision if that is due; else returns when it is.
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

    /// The task that publishes what a change of records left for later. It runs until the process ends.
    pub async fn carry_out(self: Rc<Self>) {
        let publication = &self.publication;
        loop {
            let next_at = self.publish_pending();
            publication.wakes_at.set(next_at.unwrap_or(Nanos::MAX));
            let Some(next_at) = next_at else {
                publication.wake.notified().await;
                continue;
            };
            let remaining = Duration::from_nanos(next_at.saturating_sub(self.now()));
            // Either the time has come, or something is due sooner.
            let _ = tokio::time::timeout(remaining, publication.wake.notified()).await;
        }
    }

    /// The packed records that a poller with this epoch and revision does not have; `None` while it has all that are
    /// published.
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
            MAX_RECORDS_A_REPLY,
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
