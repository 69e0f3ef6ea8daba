//! Suspects servers that cannot be reached, and schedules their health checks.
//!
//! A suspected server gets no requests until a health check connects, or a request that was in flight is answered. The
//! checks of one server back off exponentially, with jitter so that the nodes do not check it all at once.
use crate::{Nanos, Server, ServerIndex, ServerTable};
use sparrouter_membership::LifecycleState;

/// Mean wait before the first health check; the wait before each further one is twice as long.
const FIRST_CHECK_WAIT: Nanos = 50_000_000;
/// Longest wait between two health checks.
const MAX_CHECK_WAIT: Nanos = 1_000_000_000;

/// A server that this node could not connect to, until a health check connects.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Suspicion {
    /// When the next health check is due.
    next_check_at: Nanos,
    /// The wait before that health check.
    wait: Nanos,
}

impl ServerTable {
    /// Suspects a server: it gets no requests until a health check connects. A suspicion that stands keeps its schedule.
    pub fn suspect(&mut self, index: ServerIndex, now: Nanos) {
        let jitter = 0.5 + self.rng.f64();
        if let Some(Some(server)) = self.servers.get_mut(index) {
            let wait = (FIRST_CHECK_WAIT as f64 * jitter) as Nanos;
            server.suspicion.get_or_insert(Suspicion {
                next_check_at: now + wait,
                wait,
            });
            self.suspected.insert(index);
        }
    }

    /// Suspected servers whose health check is due. The next check of each is scheduled with twice the wait.
    pub fn due_health_checks(&mut self, now: Nanos) -> Vec<ServerIndex> {
        let servers = &mut self.servers;
        self.suspected
            .retain(|&index| servers[index].as_ref().is_some_and(Server::is_suspected));
        let mut to_check = Vec::new();
        for &index in &self.suspected {
            let Some(server) = servers[index].as_mut() else {
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
            suspicion.wait = (suspicion.wait * 2).min(MAX_CHECK_WAIT);
            suspicion.next_check_at = now + suspicion.wait;
            to_check.push(index);
        }
        to_check
    }

    /// A health check connected: the server is no longer suspected.
    pub fn mark_reachable(&mut self, index: ServerIndex) {
        if let Some(Some(server)) = self.servers.get_mut(index) {
            server.suspicion = None;
        }
    }
}
