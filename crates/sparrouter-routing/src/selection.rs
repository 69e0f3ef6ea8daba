//! Selects a server for one request. The rules are those of the crate's page, in this order: score, filter, bounded load,
//! order; the fallback is another selection that excludes the servers attempted before.
use crate::candidate::{
    BestCandidates, Candidate, RendezvousScore, exceeds_load_bound, is_demoted,
};
use crate::{Nanos, Server, ServerIndex, ServerTable};
use sparrouter_membership::LifecycleState;

/// A request that needs a server.
#[derive(Clone, Debug)]
pub struct SelectionRequest<'a> {
    /// The service of its route.
    pub service: &'a str,
    /// The key that servers are scored by; requests of one key prefer the same server.
    pub key: u64,
    /// The model that must run it; `None`: any server of the service.
    pub model: Option<&'a str>,
    /// It generates more tokens than requests usually do; see [`TypicalOutput`](crate::TypicalOutput).
    pub is_long_generation: bool,
    /// Servers that it was sent to before, which are excluded.
    pub attempted: &'a [ServerIndex],
}

/// The server that was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Selection {
    /// Its index.
    pub server: ServerIndex,
    /// The version of the model that it runs, if known.
    pub version: Option<u64>,
    /// How many eligible servers rank before it and were skipped for their load; 0 for the first of the order.
    pub rank: usize,
}

/// Why no server was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SelectionError {
    /// No ready server is known, or all were attempted.
    #[error(
        "no ready server of the service is left: start one, or wait for one that drains to be replaced"
    )]
    NoServer,
    /// Ready servers are left, but each is loading weights, on an outdated version, suspected or full.
    #[error(
        "each server left is loading weights, outdated, suspected or full: retry after a backoff"
    )]
    NoneReady,
}

impl ServerTable {
    /// Selects a server for a request.
    ///
    /// # Errors
    ///
    /// [`SelectionError::NoServer`] if no ready server of the service is left, [`SelectionError::NoneReady`] if none of
    /// those left is eligible now.
    pub fn select(
        &self,
        request: &SelectionRequest,
        now: Nanos,
    ) -> Result<Selection, SelectionError> {
        match self.unrestricted_best(request, now) {
            Some(server) => Ok(self.selection(request, server, 0)),
            None => self.select_among_all(request, now),
        }
    }

    /// The usual case in short: the eligible server with the highest score. Looks only at servers that score higher than
    /// all those before them. `None` if that server is demoted, ejected or exceeds the load bound, or if there is none:
    /// then all have to be compared.
    fn unrestricted_best(&self, request: &SelectionRequest, now: Nanos) -> Option<ServerIndex> {
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
        for (index, server) in self.unattempted(request) {
            if self.is_eligible(request, server, now) {
                let is_ejected = applies_ejections && server.is_ejected(now);
                let candidate = Candidate::new(request, index, server, is_ejected);
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

    fn selection(&self, request: &SelectionRequest, server: ServerIndex, rank: usize) -> Selection {
        let version = request
            .model
            .and_then(|model| self.get(server)?.version_of(model));
        Selection {
            server,
            version,
            rank,
        }
    }

    /// The error if no server is eligible.
    fn selection_error(&self, request: &SelectionRequest) -> SelectionError {
        let is_ready = |server: &Server| server.state == LifecycleState::Ready;
        if self
            .unattempted(request)
            .any(|(_, server)| is_ready(server))
        {
            SelectionError::NoneReady
        } else {
            SelectionError::NoServer
        }
    }

    /// Servers of the service that the request was not sent to before.
    fn unattempted<'a>(
        &'a self,
        request: &'a SelectionRequest,
    ) -> impl Iterator<Item = (ServerIndex, &'a Server)> {
        self.of_service(request.service)
            .filter(|(index, _)| !request.attempted.contains(index))
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
            // A server that reports no models at all may run any.
            None => server.models.is_empty(),
        }
    }

    /// Whether ejected servers rank behind the others: not if half of the ready ones or more are ejected, as the cause is
    /// hardly theirs then.
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

    /// How many eligible servers rank before the winner, and were skipped.
    fn count_preceding(
        &self,
        request: &SelectionRequest,
        winner: &Candidate,
        applies_ejections: bool,
        now: Nanos,
    ) -> usize {
        self.unattempted(request)
            .filter(|(_, server)| self.is_eligible(request, server, now))
            .filter(|(index, server)| {
                let is_ejected = applies_ejections && server.is_ejected(now);
                Candidate::new(request, *index, server, is_ejected).precedes(winner)
            })
            .count()
    }
}
