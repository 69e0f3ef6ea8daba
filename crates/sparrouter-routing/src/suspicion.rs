//! Suspects servers that this node cannot reach, and schedules their health checks.
//!
//! A suspected server gets no requests until a health check connects, or until a request that was in flight is answered.
//! The checks of one server back off exponentially, with jitter so that the nodes do not all check it at the same time.
use crate::{Nanos, Server, ServerHandle, ServerTable};
use sparrouter_membership::LifecycleState;

/// Mean delay before the first health check; each further delay is twice as long.
const FIRST_CHECK_DELAY: Nanos = 50_000_000;
/// Maximum delay between two health checks.
const MAX_CHECK_DELAY: Nanos = 1_000_000_000;

/// The health check schedule of a server that this node could not connect to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Suspicion {
    /// When the next health check is due.
    next_check_at: Nanos,
    /// The delay before that health check.
    delay: Nanos,
}

impl ServerTable {
    /// Suspects a server: it gets no requests until a health check connects. An existing suspicion keeps its schedule.
    pub fn suspect(&mut self, handle: ServerHandle, now: Nanos) {
        let jitter = 0.5 + self.rng.f64();
        if let Some(server) = self.servers.get_mut(handle) {
            let delay = (FIRST_CHECK_DELAY as f64 * jitter) as Nanos;
            server.suspicion.get_or_insert(Suspicion {
                next_check_at: now + delay,
                delay,
            });
            self.suspected.insert(handle);
        }
    }

    /// Suspected servers whose health check is due. Schedules the next check of each with twice the delay.
    pub fn due_health_checks(&mut self, now: Nanos) -> Vec<ServerHandle> {
        let servers = &mut self.servers;
        self.suspected
            .retain(|&handle| servers.get(handle).is_some_and(Server::is_suspected));
        let mut to_check = Vec::new();
        for &handle in &self.suspected {
            let Some(server) = servers.get_mut(handle) else {
                continue;
            };
            if server.state != LifecycleState::Ready {
                continue;
            }
            let Some(suspicion) = server.suspicion.as_mut() else {
                continue;
            };
            if suspicion.next_check_at > now {
                continue;
            }
            suspicion.delay = (suspicion.delay * 2).min(MAX_CHECK_DELAY);
            suspicion.next_check_at = now + suspicion.delay;
            to_check.push(handle);
        }
        to_check
    }

    /// Records that a health check connected: the server is no longer suspected.
    pub fn mark_reachable(&mut self, handle: ServerHandle) {
        if let Some(server) = self.servers.get_mut(handle) {
            server.suspicion = None;
        }
    }
}
