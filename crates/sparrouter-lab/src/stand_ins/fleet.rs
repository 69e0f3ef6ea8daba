//! All cache servers and the origin, and what passes between them behind the nodes' backs.
use super::Lab;
use super::server::Server;
use crate::ledger::ORIGIN;
use crate::scenario::arrivals;
use crate::scenario::schedule::Schedule;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, Weak};

/// Misses that are remembered, for the origin's answers to be stored.
const REMEMBERED: usize = 100_000;

/// All servers of a run.
pub struct Fleet {
    /// The cache servers, by number.
    pub caches: Vec<Arc<Server>>,
    /// The origin.
    pub origin: Arc<Server>,
    missed: Mutex<HashMap<u64, Vec<u32>>>,
    keys: Vec<u64>,
}

impl Fleet {
    /// Nothing of it runs yet.
    ///
    /// # Errors
    ///
    /// No address can be bound.
    ///
    /// # Panics
    ///
    /// If a thread panicked with a lock.
    pub fn new(lab: &Arc<Lab>, schedule: &Schedule) -> std::io::Result<Arc<Fleet>> {
        let s = &lab.scenario;
        let keys = (0..s.load.keys)
            .map(|rank| arrivals::key(s.seed, rank))
            .collect::<Vec<_>>();
        let mut error = None;
        let fleet = Arc::new_cyclic(|weak: &Weak<Fleet>| {
            let server = |number, speed| Server::new(lab, weak, number, speed);
            let caches: Result<Vec<_>, _> = (0..schedule.caches)
                .map(|n| server(n as u32, schedule.speeds[n]))
                .collect();
            let caches = caches.unwrap_or_else(|e| {
                error = Some(e);
                Vec::new()
            });
            let origin = server(ORIGIN, 1.0).expect("an address is at hand");
            Fleet {
                caches,
                origin,
                missed: Mutex::default(),
                keys,
            }
        });
        match error {
            Some(error) => Err(error),
            None => Ok(fleet),
        }
    }

    /// Those that stand from the beginning hold the most popular keys.
    pub fn start(&self, standing: usize) {
        for cache in &self.caches[..standing] {
            self.keys.iter().rev().for_each(|k| cache.prefill(*k));
            cache.start(false);
        }
        self.origin.start(false);
    }

    /// Remembers that an invocation missed at a cache server.
    ///
    /// # Panics
    ///
    /// If a thread panicked with the lock.
    pub fn missed(&self, id: u64, cache: u32) {
        let mut missed = self.missed.lock().expect("not poisoned");
        if missed.len() > REMEMBERED {
            missed.clear();
        }
        missed.entry(id).or_default().push(cache);
    }
    /// The origin gave a value: it is kept where the invocation missed.
    ///
    /// # Panics
    ///
    /// If a thread panicked with the lock.
    pub fn answered(&self, id: u64, key: u64) {
        let at = self
            .missed
            .lock()
            .expect("not poisoned")
            .remove(&id)
            .unwrap_or_default();
        for cache in at {
            self.caches[cache as usize].keep(key);
        }
    }
    /// A write was carried out: copies go.
    pub fn void(&self, key: u64) {
        self.caches.iter().for_each(|c| c.void(key));
    }
    /// Removes this part of the keys at every cache server.
    pub fn flush(&self, part: f64) {
        self.caches.iter().for_each(|c| c.flush(&self.keys, part));
    }
}
