//! The list of cache servers: it is applied, requested again when it was lost, and health checks are answered.
//!
//! Invariant: while a request is pending, or one failed, a timer makes the next one within half of the poll interval, or
//! within a second if that is longer.
use super::Policy;
use super::timer::Timer;
use crate::types::{Action, CacheIndex, CacheRecord, ListKind, Nanos, SECOND};

impl Policy {
    /// A list came, or failed to come.
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

    /// The saved list is the first event of a node: it begins to follow the list and to send gossip.
    fn start(&mut self) {
        if self.environment.list_is_polled {
            self.request_list();
        }
        if self.environment.peers {
            self.set_timer(self.now + SECOND, Timer::Gossip);
        }
    }

    /// A request failed, or the subscription itself: a new one may always be made.
    fn schedule_list_request(&mut self) {
        let longest = self.caches.rules.poll_interval / 4;
        self.list_backoff = (self.list_backoff * 2).min(longest).max(SECOND / 4);
        let jitter = self.rng.f64() * self.list_backoff as f64;
        self.list_request_at = self.now + self.list_backoff + jitter as Nanos;
        self.set_timer(self.list_request_at, Timer::ListRequest);
    }

    /// A timer for the next request fired. An earlier one may have been set than the one that counts.
    pub(super) fn on_list_timer(&mut self) {
        if self.list_request_at > 0 && self.now >= self.list_request_at {
            self.request_list();
        }
    }

    fn request_list(&mut self) {
        // Guards against a request that is never answered: without a list the node would take itself for informed.
        let limit = (self.caches.rules.poll_interval / 2).max(SECOND);
        self.list_request_at = self.now + limit;
        self.actions.push(if self.environment.list_is_polled {
            Action::FollowList
        } else {
            Action::RequestList
        });
        self.set_timer(self.list_request_at, Timer::ListRequest);
    }

    /// A health check ended: if it was answered, one invocation may be sent there.
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
