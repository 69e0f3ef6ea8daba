//! Rows that were heard of: learnt at once, looked at with the next few, sent on together.
use super::Node;
use super::live_nodes::has_core_changed;
use crate::node::counters::count;
use crate::platform::defects::rules;
use crate::settings::nanos;
use sparrouter_membership::MembershipDelta;
use sparrouter_routing::Nanos;
use std::rc::Rc;
use std::time::Duration;

/// Keys of notes on stores begin so, followed by the address.
const STORE_NOTES: &str = "store/";
/// Rows of one answer to a poll: all pollers ask for everything at once after a start.
const MOST_ROWS_TOLD: usize = 400;
/// Answers that are kept until the rows change, for others that ask the same.
const MOST_ANSWERS: usize = 16;
/// Servers are looked at anew at most so often, so that a look finds several changes at once.
const SYNC: Nanos = 5_000_000;
const SYNC_A_SERVER: Nanos = 8_000;

impl Node {
    /// Rows that were heard of here or told by another node.
    pub fn merge_records(&self, delta: MembershipDelta) {
        let now = self.now();
        let changed = self.membership.borrow_mut().merge(delta, now);
        if changed {
            self.refute();
            self.look_at_core();
            self.look_at_stores();
            self.stir();
        }
    }

    /// Rows changed: servers are looked at anew, and pollers told, now or with the next few.
    pub fn stir(&self) {
        self.unsynced.set(true);
        if let Some(due) = self.carry_on()
            && due < self.wake.get()
        {
            self.stirred.notify_one();
        }
    }

    /// Does what is due after a change of rows; gives back when the rest is.
    fn carry_on(&self) -> Option<Nanos> {
        let now = self.now();
        let rows = self.membership.borrow();
        let mut next = None;
        if self.unsynced.get() {
            let gap = SYNC + SYNC_A_SERVER * rows.server_count() as Nanos;
            let due = self.synced.get().map_or(now, |at| at + gap);
            if due <= now {
                self.server_table.borrow_mut().sync(&rows, now);
                self.unsynced.set(false);
                self.synced.set(Some(now));
            } else {
                next = Some(due);
            }
        }
        let due = self
            .pace
            .borrow_mut()
            .next_publish_at(&rows, self.pollers.get(), now);
        match due {
            Some(due) if due <= now => {
                self.pace.borrow_mut().publish(&rows, now);
                self.answers.borrow_mut().clear();
                self.changed();
            }
            Some(due) => next = Some(next.map_or(due, |n| n.min(due))),
            None => {}
        }
        next
    }

    /// Carries out for ever what a change of rows left for later.
    pub async fn carry_out(self: Rc<Self>) {
        loop {
            let due = self.carry_on();
            self.wake.set(due.unwrap_or(Nanos::MAX));
            match due {
                None => self.stirred.notified().await,
                Some(due) => {
                    let left = Duration::from_nanos(due.saturating_sub(self.now()));
                    // Either the time, or something that can't wait as long.
                    let _ = tokio::time::timeout(left, self.stirred.notified()).await;
                }
            }
        }
    }

    /// The rows that a poller with this revision is to be told, packed; None while it has them all.
    pub fn rows_since(&self, epoch: u64, revision: u64) -> Option<Vec<u8>> {
        let rows = self.membership.borrow();
        let up_to = self.pace.borrow().published();
        let from = if epoch == rows.epoch() { revision } else { 0 };
        if epoch == rows.epoch() && from >= up_to {
            return None;
        }
        let mut answers = self.answers.borrow_mut();
        if let Some((_, packed)) = answers.iter().find(|a| a.0 == from) {
            return Some(packed.clone());
        }
        let packed = rows
            .delta_between(rows.epoch(), from, up_to, MOST_ROWS_TOLD)
            .pack();
        if answers.len() < MOST_ANSWERS {
            answers.push((from, packed.clone()));
        }
        Some(packed)
    }

    /// Others called this node silent, or knew a former process of its name: go above that.
    fn refute(&self) {
        let mut me = self.own_record.borrow_mut();
        let mut rows = self.membership.borrow_mut();
        let life = rows.next_incarnation(&me);
        if life != me.incarnation {
            me.incarnation = life;
            let now = self.now();
            rows.merge_node(me.clone(), now);
        }
    }

    pub fn say_leaving(&self) {
        self.leaving.set(true);
        let mut me = self.own_record.borrow_mut();
        me.leaving = true;
        let now = self.now();
        self.membership.borrow_mut().merge_node(me.clone(), now);
        drop(me);
        self.stir();
    }

    /// Notices when nodes of the core come, go, or fall silent.
    fn look_at_core(&self) {
        let live = self.live_nodes();
        let states = live.counted_states();
        let mut known = self.core_seen.borrow_mut();
        if known.as_slice() == states {
            return;
        }
        let first_looks = self.now() < nanos(self.settings.borrow().bounds.contact)
            && rules::start_moves_no_limits();
        if has_core_changed(&known, states, first_looks) {
            count(&self.counters.core_changes);
            log::info!("the core changed: {states:?}");
            let now = self.now();
            self.server_table
                .borrow_mut()
                .versions
                .record_core_change(now);
        }
        *known = states.to_vec();
    }

    /// Stores that came back empty have nothing of what they were told to keep.
    fn look_at_stores(&self) {
        let rows = self.membership.borrow();
        let mut stores = self.stores.borrow_mut();
        for (note, _) in rows.directives_with_prefix(STORE_NOTES) {
            let address = &note.key[STORE_NOTES.len()..];
            let store = sparrouter_rendezvous::hash(address.as_bytes());
            if stores
                .insert(store, note.version)
                .is_some_and(|before| before != note.version)
            {
                self.index.borrow_mut().remove_source(store);
            }
        }
    }
}
