//! Applies the list of cache servers, requests it again after a failure, and handles the results of health checks.
//!
//! Invariant: while a request is pending or has failed, a timer triggers the next request within half of the poll
//! interval, or within a second if that is longer.
use super::Policy;
use super::timer::Timer;
use crate::types::{Action, CacheIndex, CacheRecord, ListKind, Nanos, SECOND};

impl Policy {
    /// Handles a received list, or a failed request or subscription.
    pub(super) fn on_list(&mut self, kind: ListKind, records: &[CacheRecord]) {
        if kind == ListKind::Lost {
            return self.schedule_list_request();
        }
        self.list_request_at = 0;
        self.list_backoff = 0;
        self.caches.apply_list(kind, records, self.now);
        if kind == ListKind::Saved {
            self.start();
        }
        self.pump_origin_queue();
    }

    /// Starts following the list and sending gossip. The saved list is the first event of a node.
    fn start(&mut self) {
        if self.environment.list_is_polled {
            self.request_list();
        }
        if self.environment.peers {
            self.set_timer(self.now + SECOND, Timer::Gossip);
        }
    }

    /// Schedules a new request with exponential backoff and jitter, after a request failed or the subscription broke.
    fn schedule_list_request(&mut self) {
        let max_backoff = self.caches.rules.poll_interval / 4;
        self.list_backoff = (self.list_backoff * 2).min(max_backoff).max(SECOND / 4);
        let jitter = self.rng.f64() * self.list_backoff as f64;
        self.list_request_at = self.now + self.list_backoff + jitter as Nanos;
        self.set_timer(self.list_request_at, Timer::ListRequest);
    }

    /// Handles the timer of a list request; a timer that was superseded by a later one has no effect.
    pub(super) fn on_list_timer(&mut self) {
        if self.list_request_at > 0 && self.now >= self.list_request_at {
            self.request_list();
        }
    }

    fn request_list(&mut self) {
        // Guards against a request that is never answered: without a retry the node would keep an outdated list.
        let limit = (self.caches.rules.poll_interval / 2).max(SECOND);
        self.list_request_at = self.now + limit;
        self.actions.push(if self.environment.list_is_polled {
            Action::FollowList
        } else {
            Action::RequestList
        });
        self.set_timer(self.list_request_at, Timer::ListRequest);
    }

    /// Handles the result of a health check: after an answer, one invocation may be sent to the cache server.
    pub(super) fn on_health_checked(&mut self, cache: CacheIndex, is_answered: bool) {
        if !is_answered {
            return;
        }
        let cache = self.caches.find_mut(cache);
        if let Some(suspicion) = cache.and_then(|c| c.suspicion.as_mut()) {
            suspicion.allows_trial = true;
        }
    }
}
