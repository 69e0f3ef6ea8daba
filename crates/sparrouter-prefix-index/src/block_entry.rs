//! The index entry of one block: the sources that have it cached, and the servers that are about to prefill it.
use crate::{IndexSettings, Nanos};
use std::collections::HashSet;

/// Maximum number of sources stored per block; the newest are kept.
const MAX_SOURCES: usize = 6;
/// Maximum number of prefilling servers stored per block; the newest are kept.
const MAX_PREFILLING: usize = 3;

/// A server to which a prompt with the block was sent.
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

/// Whether a store should be requested to save a block, and whether it is assumed to have the block cached.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SaveDecision {
    pub(crate) should_save: bool,
    /// A save request was sent recently, and the store has no follower that could report its effect.
    pub(crate) is_being_saved: bool,
}

/// The index entry of one block. Servers, stores and sources are identified by their hashes, each at most once per list.
#[derive(Clone, Debug, Default)]
pub(crate) struct BlockEntry {
    /// Sources that have the block cached, the newest last; at most [`MAX_SOURCES`].
    cached_at: Vec<u64>,
    /// Servers that the block was sent to, the newest last; at most [`MAX_PREFILLING`].
    prefilling: Vec<PrefillingServer>,
    /// The last request to save the block.
    save_request: Option<SaveRequest>,
    pub(crate) last_used: Nanos,
}

impl BlockEntry {
    /// Whether the entry contains no information and can be dropped.
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

    /// Records that the source does not have the block cached, and removes it from the prefilling servers.
    pub(crate) fn remove_cached(&mut self, source: u64) {
        self.cached_at
            .retain(|cached_source| *cached_source != source);
        self.prefilling
            .retain(|prefilling| prefilling.server != source);
    }

    /// Records that the block was sent to the server.
    pub(crate) fn add_prefilling(&mut self, server: u64, sent_at: Nanos) {
        self.prefilling
            .retain(|prefilling| prefilling.server != server);
        if self.prefilling.len() == MAX_PREFILLING {
            self.prefilling.remove(0);
        }
        self.prefilling.push(PrefillingServer { server, sent_at });
    }

    /// Records that the store was requested to save the block.
    pub(crate) fn add_save_request(&mut self, store: u64, sent_at: Nanos) {
        self.save_request = Some(SaveRequest { store, sent_at });
    }

    /// Drops the save request if it was sent to this store.
    pub(crate) fn remove_save_request(&mut self, store: u64) {
        self.save_request = self.save_request.filter(|request| request.store != store);
    }

    /// The newest server other than `server` that the block was sent to and that probably has it cached; 0 if there is
    /// none. For a followed server, only sends within [`IndexSettings::max_report_delay`] count: the follower would have
    /// reported the effect of an older one by now.
    pub(crate) fn prefilling_server(
        &self,
        server: u64,
        settings: &IndexSettings,
        followed: &HashSet<u64>,
        now: Nanos,
    ) -> u64 {
        let is_probably_cached = |prefilling: &&PrefillingServer| {
            let max_age = if followed.contains(&prefilling.server) {
                settings.max_report_delay
            } else {
                settings.assumed_retention
            };
            prefilling.server != server && now.saturating_sub(prefilling.sent_at) < max_age
        };
        let newest = self.prefilling.iter().rev().find(is_probably_cached);
        newest.map_or(0, |prefilling| prefilling.server)
    }

    /// Decides whether the store (0 if there is none) should be requested to save the block. A followed store counts as
    /// having the block cached only after its follower has reported it.
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
