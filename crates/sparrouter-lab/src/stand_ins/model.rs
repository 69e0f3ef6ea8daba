//! How a cache server and the origin behave, without sockets: cores and waiting places, kept keys, marks,
//! cold climb, falling over.
use crate::scenario::arrivals::scramble;
use crate::{Nanos, SECOND};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Keys that one keeps; those used longest ago go first.
#[derive(Debug, Default)]
pub struct CacheStore {
    /// None: it holds all but what is void.
    capacity: Option<usize>,
    used: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    stamp: u64,
    void: HashMap<u64, ()>,
    /// Nothing is held of what came before.
    empty: bool,
}

impl CacheStore {
    /// Holds this many keys; 0: every key.
    pub fn new(most: usize) -> CacheStore {
        CacheStore {
            capacity: (most > 0).then_some(most),
            ..CacheStore::default()
        }
    }
    /// After a start nothing is kept.
    pub fn clear(&mut self) {
        *self = CacheStore {
            capacity: self.capacity,
            empty: true,
            ..CacheStore::default()
        };
    }
    /// Whether the key is held; marks it as used.
    pub fn has(&mut self, key: u64) -> bool {
        if self.capacity.is_none() && !self.empty {
            return !self.void.contains_key(&key);
        }
        let Some(stamp) = self.used.get_mut(&key) else {
            return false;
        };
        self.stamp += 1;
        self.order.remove(stamp);
        *stamp = self.stamp;
        self.order.insert(self.stamp, key);
        true
    }
    /// Stores a key; the one used longest ago goes where there is no room.
    pub fn put(&mut self, key: u64) {
        self.void.remove(&key);
        if self.capacity.is_none() && !self.empty || self.has(key) {
            return;
        }
        self.stamp += 1;
        self.used.insert(key, self.stamp);
        self.order.insert(self.stamp, key);
        if self.used.len() > self.capacity.unwrap_or(usize::MAX)
            && let Some((_, old)) = self.order.pop_first()
        {
            self.used.remove(&old);
        }
    }
    /// Removes a key.
    pub fn void(&mut self, key: u64) {
        if self.capacity.is_none() && !self.empty {
            self.void.insert(key, ());
        } else if let Some(stamp) = self.used.remove(&key) {
            self.order.remove(&stamp);
        }
    }
    /// This part of all keys at once, the same ones at every cache server.
    pub fn flush(&mut self, keys: &[u64], part: f64) {
        let bar = (part * u64::MAX as f64) as u64;
        keys.iter()
            .filter(|k| scramble(**k) < bar)
            .for_each(|k| self.void(*k));
    }
}

/// Marks seen of late; a repeat within the window is dropped.
#[derive(Debug, Default)]
pub struct IdempotencyKeys {
    seen_at: HashMap<u64, Nanos>,
    order: VecDeque<(Nanos, u64)>,
}

impl IdempotencyKeys {
    /// True where the effect is to be carried out.
    pub fn insert_if_new(&mut self, mark: u64, window: Nanos, now: Nanos) -> bool {
        while let Some((at, old)) = self
            .order
            .front()
            .copied()
            .filter(|(at, _)| at + window < now)
        {
            self.order.pop_front();
            if self.seen_at.get(&old) == Some(&at) {
                self.seen_at.remove(&old);
            }
        }
        if self.seen_at.contains_key(&mark) {
            return false;
        }
        self.seen_at.insert(mark, now);
        self.order.push_back((now, mark));
        true
    }
}

/// Work sent within a window, against what can be done in it.
#[derive(Debug)]
pub struct RecentWork {
    window: Nanos,
    sent: VecDeque<(Nanos, f64)>,
    total: f64,
}

impl RecentWork {
    /// Counts over this window.
    pub fn new(window: Nanos) -> RecentWork {
        RecentWork {
            window: window.max(1),
            sent: VecDeque::new(),
            total: 0.0,
        }
    }
    /// Sum of the work in the window that ends now, this one with it.
    pub fn add(&mut self, work: f64, now: Nanos) -> f64 {
        self.sent.push_back((now, work));
        self.total += work;
        while let Some((_, old)) = self
            .sent
            .front()
            .copied()
            .filter(|(at, _)| at + self.window < now)
        {
            self.sent.pop_front();
            self.total -= old;
        }
        self.total
    }
    /// Forgets all work.
    pub fn clear(&mut self) {
        self.sent.clear();
        self.total = 0.0;
    }
}

/// Part of its capacity that one has which started then.
pub fn warmth(started: Option<Nanos>, from: f64, climb_s: f64, now: Nanos) -> f64 {
    let Some(started) = started else { return 1.0 };
    let age = now.saturating_sub(started) as f64 / SECOND as f64;
    (from + (1.0 - from) * age / climb_s).min(1.0)
}

/// The work of one invocation around a mean: the same wherever it is done. Sum of two uniform draws, so
/// that it lies between nothing and twice the mean.
pub fn work(id: u64, mean: f64) -> f64 {
    let bits = scramble(id);
    let (a, b) = ((bits >> 32) as f64, (bits & 0xffff_ffff) as f64);
    mean * (a + b) / f64::from(u32::MAX)
}

/// Whether this forward is one of a part that is to go wrong.
pub fn is_selected(id: u64, salt: u64, part: f64) -> bool {
    part > 0.0 && (scramble(id ^ salt << 17) >> 11) as f64 / ((1u64 << 53) as f64) < part
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn keeps_what_was_used_last_and_forgets_the_rest() {
        let mut store = CacheStore::new(2);
        store.clear();
        store.put(1);
        store.put(2);
        assert!(store.has(1));
        store.put(3);
        assert!(store.has(1) && !store.has(2) && store.has(3));
        store.void(3);
        assert!(!store.has(3));
    }

    #[test]
    fn an_unlimited_store_lacks_only_removed_keys_until_a_restart() {
        let mut store = CacheStore::new(0);
        store.void(7);
        assert!(store.has(6) && !store.has(7));
        store.put(7);
        assert!(store.has(7));
        store.clear();
        assert!(!store.has(6));
        store.put(6);
        assert!(store.has(6));
    }

    #[test]
    fn a_repeat_is_dropped_within_its_window_only() {
        let mut marks = IdempotencyKeys::default();
        assert!(marks.insert_if_new(5, 100, 0));
        assert!(!marks.insert_if_new(5, 100, 100));
        assert!(marks.insert_if_new(5, 100, 201));
    }

    #[test]
    fn work_sent_long_ago_no_longer_drives() {
        let mut drive = RecentWork::new(10);
        drive.add(1.0, 0);
        assert_eq!(drive.add(1.0, 10), 2.0);
        assert_eq!(drive.add(1.0, 11), 2.0);
    }
}
