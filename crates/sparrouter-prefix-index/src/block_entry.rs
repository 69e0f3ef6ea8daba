//! What the index knows of one block: which sources have it cached, and which are about to.
use crate::{IndexSettings, Nanos};
use std::collections::HashSet;

/// Largest number of sources that are stored for a block; the newest are.
const MAX_SOURCES: usize = 6;
/// Largest number of servers that are stored as about to prefill a block; the newest are.
const MAX_PREFILLING: usize = 3;

/// A server that a prompt with the block was sent to.
#[derive(Clone, Copy, Debug)]
struct PrefillingServer {
    server: u64,
    sent_at: Nanos,
}

/// A store that was requested to save the block.
#[derive(Clone, Copy, Debug)]
struct SaveRequest {
    store: u64,
    sent_at: Nanos,
}

/// Whether a store should be requested to save a block, and whether it counts as having it cached.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SaveDecision {
    pub(crate) should_save: bool,
    /// A request to save it was sent recently, and nobody reports whether it had an effect.
    pub(crate) is_being_saved: bool,
}

/// What is known of one block. Servers, stores and sources are given by their hashes, each at most once in a list.
#[derive(Clone, Debug, Default)]
pub(crate) struct BlockEntry {
    /// Sources that have it cached, the newest last; at most [`MAX_SOURCES`].
    cached_at: Vec<u64>,
    /// Servers that it was sent to, the newest last; at most [`MAX_PREFILLING`].
    prefilling: Vec<PrefillingServer>,
    /// The last request to save it.
    save_request: Option<SaveRequest>,
    pub(crate) last_used: Nanos,
}

impl BlockEntry {
    /// Whether nothing is known of the block.
    pub(crate) fn is_empty(&self) -> bool {
        self.cached_at.is_empty() && self.prefilling.is_empty() && self.save_request.is_none()
    }

    pub(crate) fn is_cached_at(&self, source: u64) -> bool {
        self.cached_at.contains(&source)
    }

    /// Sources other than `server` that have the block cached, the newest first.
    pub(crate) fn cached_at_others(&self, server: u64) -> Vec<u64> {
        let newest_first = self.cached_at.iter().rev().copied();
        newest_first.filter(|source| *source != server).collect()
    }

    /// Records that the source has the block cached now.
    pub(crate) fn add_cached(&mut self, source: u64) {
        self.remove_cached(source);
        if self.cached_at.len() == MAX_SOURCES {
            self.cached_at.remove(0);
        }
        self.cached_at.push(source);
    }

    /// Records that the source does not have the block cached, and is not known to prefill it.
    pub(crate) fn remove_cached(&mut self, source: u64) {
        self.cached_at.retain(|cached_at| *cached_at != source);
        self.prefilling.retain(|sent| sent.server != source);
    }

    /// Records that the block is sent to the server.
    pub(crate) fn add_prefilling(&mut self, server: u64, sent_at: Nanos) {
        self.prefilling.retain(|sent| sent.server != server);
        if self.prefilling.len() == MAX_PREFILLING {
            self.prefilling.remove(0);
        }
        self.prefilling.push(PrefillingServer { server, sent_at });
    }

    /// Records that the store is requested to save the block.
    pub(crate) fn add_save_request(&mut self, store: u64, sent_at: Nanos) {
        self.save_request = Some(SaveRequest { store, sent_at });
    }

    /// Forgets a request to the store to save the block.
    pub(crate) fn remove_save_request(&mut self, store: u64) {
        self.save_request = self.save_request.filter(|request| request.store != store);
    }

    /// The newest server other than `server` that the block was sent to and that probably has it cached; 0 if there is
    /// none. A followed one would have been reported by now if the block was sent there longer ago.
    pub(crate) fn prefilling_server(
        &self,
        server: u64,
        settings: &IndexSettings,
        followed: &HashSet<u64>,
        now: Nanos,
    ) -> u64 {
        let is_probably_cached = |sent: &&PrefillingServer| {
            let max_age = if followed.contains(&sent.server) {
                settings.max_report_delay
            } else {
                settings.assumed_retention
            };
            sent.server != server && now.saturating_sub(sent.sent_at) < max_age
        };
        let newest = self.prefilling.iter().rev().find(is_probably_cached);
        newest.map_or(0, |sent| sent.server)
    }

    /// Decides whether the store (0: there is none) should be requested to save the block. A followed store counts as
    /// having it cached only once its follower has reported it.
    pub(crate) fn save_decision(
        &self,
        store: u64,
        settings: &IndexSettings,
        followed: &HashSet<u64>,
        now: Nanos,
    ) -> SaveDecision {
        let request = self
            .save_request
            .filter(|request| request.store == store && store != 0);
        let age = request.map(|request| now.saturating_sub(request.sent_at));
        let is_followed = followed.contains(&store);
        let retry_interval = if is_followed {
            settings.max_report_delay
        } else {
            settings.save_retry_interval
        };
        let is_recent = age.is_some_and(|age| age < settings.save_retry_interval);
        let may_request = age.is_none_or(|age| age > retry_interval);
        SaveDecision {
            should_save: store != 0 && !self.is_cached_at(store) && may_request,
            is_being_saved: is_recent && !is_followed,
        }
    }
}
