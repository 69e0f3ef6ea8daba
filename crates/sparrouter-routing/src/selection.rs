//! Selects a server for one request, by the steps in the crate's documentation: score, filter, bounded load, order. The
//! fallback is another selection that excludes the attempted servers.
use crate::candidate::{
    BestCandidates, Candidate, RendezvousScore, exceeds_load_bound, is_demoted,
};
use crate::{Nanos, Server, ServerHandle, ServerTable};
use sparrouter_membership::LifecycleState;

/// A request that needs a server.
#[derive(Clone, Debug)]
pub struct SelectionRequest<'a> {
    /// The service of the request's route.
    pub service: &'a str,
    /// The key by which servers are scored; requests with the same key prefer the same server.
    pub key: u64,
    /// The model that must serve the request; `None` if any server of the service may.
    pub model: Option<&'a str>,
    /// Whether the request generates more tokens than usual; see [`TypicalOutput`](crate::TypicalOutput).
    pub is_long_generation: bool,
    /// Servers that the request was sent to before; they are excluded.
    pub attempted: &'a [ServerHandle],
}

/// The result of a selection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Selection {
    /// Handle of the selected server.
    pub server: ServerHandle,
    /// The version of the model that the server runs, if known.
    pub version: Option<u64>,
    /// Number of eligible servers that rank before the selected one and were skipped because of their load; 0 for the
    /// first of the order.
    pub rank: usize,
}

/// Why no server was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SelectionError {
    /// No ready server of the service is known, or all were attempted.
    #[error(
        "no ready server of the service remains: start a server, or wait until draining servers are replaced"
    )]
    NoServer,
    /// Ready servers remain, but each is loading weights, on an outdated version, suspected or full.
    #[error(
        "no remaining server is eligible: each is loading weights, outdated, suspected or full; retry after a backoff"
    )]
    NoneEligible,
}

impl ServerTable {
    /// Selects a server for a request.
    ///
    /// # Errors
    ///
    /// [`SelectionError::NoServer`] if no ready server of the service remains, [`SelectionError::NoneEligible`] if
    /// ready servers remain but none of them is eligible now.
    pub fn select(
        &self,
        request: &SelectionRequest,
        now: Nanos,
    ) -> Result<Selection, SelectionError> {
        match self.highest_scored_if_unrestricted(request, now) {
            Some(server) => Ok(self.selection(request, server, 0)),
            None => self.select_among_all(request, now),
        }
    }

    /// Fast path for the usual case: the eligible server with the highest score. Only servers that score higher than all
    /// previous ones are looked up. `None` if that server is demoted, ejected or above the load bound, or if no server is
    /// eligible; then all servers must be compared.
    fn highest_scored_if_unrestricted(
        &self,
        request: &SelectionRequest,
        now: Nanos,
    ) -> Option<ServerHandle> {
        let load_bound = self.by_service.get(request.service)?.load_bound();
        let (mut best, mut best_score) = (None, None);
        for entry in self.entries_of(request.service) {
            let score = Some(RendezvousScore::new(entry.hash, request.key));
            if score <= best_score {
                continue;
            }
            let Some(server) = self.get(entry.server) else {
                continue;
            };
            if request.attempted.contains(&entry.server) || !self.is_eligible(request, server, now)
            {
                continue;
            }
            let is_unrestricted = !exceeds_load_bound(server, load_bound)
                && !is_demoted(request, server)
                && !server.is_ejected(now);
            best = is_unrestricted.then_some(entry.server);
            best_score = score;
        }
        best
    }

    /// Compares all eligible servers.
    fn select_among_all(
        &self,
        request: &SelectionRequest,
        now: Nanos,
    ) -> Result<Selection, SelectionError> {
        let load_bound = self
            .by_service
            .get(request.service)
            .ok_or(SelectionError::NoServer)?
            .load_bound();
        let mut best = BestCandidates::default();
        let applies_ejections = self.applies_ejections(request.service, now);
        for (handle, server) in self.unattempted(request) {
            if self.is_eligible(request, server, now) {
                let is_ejected = applies_ejections && server.is_ejected(now);
                let candidate = Candidate::new(request, handle, server, is_ejected);
                let exceeds_bound = exceeds_load_bound(server, load_bound);
                best.consider(candidate, exceeds_bound, server.in_flight);
            }
        }
        let Some(winner) = best.winner() else {
            return Err(self.selection_error(request));
        };
        let rank = if best.is_first(&winner) {
            0
        } else {
            self.count_preceding(request, &winner, applies_ejections, now)
        };
        Ok(self.selection(request, winner.server, rank))
    }

    fn selection(
        &self,
        request: &SelectionRequest,
        server: ServerHandle,
        rank: usize,
    ) -> Selection {
        let version = request
            .model
            .and_then(|model| self.get(server)?.version_of(model));
        Selection {
            server,
            version,
            rank,
        }
    }

    /// The error to return if no server is eligible.
    fn selection_error(&self, request: &SelectionRequest) -> SelectionError {
        let is_ready = |server: &Server| server.state == LifecycleState::Ready;
        if self
            .unattempted(request)
            .any(|(_, server)| is_ready(server))
        {
            SelectionError::NoneEligible
        } else {
            SelectionError::NoServer
        }
    }

    /// The servers of the service that were not attempted.
    fn unattempted<'a>(
        &'a self,
        request: &'a SelectionRequest,
    ) -> impl Iterator<Item = (ServerHandle, &'a Server)> {
        self.of_service(request.service)
            .filter(|(handle, _)| !request.attempted.contains(handle))
    }

    /// Whether the server may take the request now.
    fn is_eligible(&self, request: &SelectionRequest, server: &Server, now: Nanos) -> bool {
        server.state == LifecycleState::Ready
            && !server.is_loading
            && server.suspicion.is_none()
            && server.full_until <= now
            && self.runs_allowed_version(request, server, now)
    }

    fn runs_allowed_version(
        &self,
        request: &SelectionRequest,
        server: &Server,
        now: Nanos,
    ) -> bool {
        let Some(model) = request.model else {
            return true;
        };
        match server.version_of(model) {
            Some(version) => self.versions.allows(model, version, now),
            // A server that reports no models at all may run any model.
            None => server.models.is_empty(),
        }
    }

    /// Whether ejected servers rank behind the others. They do not if half or more of the ready servers are ejected,
    /// because the cause is then unlikely to be at the servers.
    fn applies_ejections(&self, service: &str, now: Nanos) -> bool {
        let (mut ready, mut ejected) = (0, 0);
        for (_, server) in self.of_service(service) {
            if server.state == LifecycleState::Ready {
                ready += 1;
                ejected += usize::from(server.is_ejected(now));
            }
        }
        ejected > 0 && ejected * 2 < ready
    }

    /// Number of eligible servers that rank before the winner and were skipped.
    fn count_preceding(
        &self,
        request: &SelectionRequest,
        winner: &Candidate,
        applies_ejections: bool,
        now: Nanos,
    ) -> usize {
        self.unattempted(request)
            .filter(|(_, server)| self.is_eligible(request, server, now))
            .filter(|(handle, server)| {
                let is_ejected = applies_ejections && server.is_ejected(now);
                Candidate::new(request, *handle, server, is_ejected).precedes(winner)
            })
            .count()
    }
}
