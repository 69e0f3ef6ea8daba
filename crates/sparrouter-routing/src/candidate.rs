//! Compares eligible servers, and finds the best of many in one pass, without collecting or sorting them.
use crate::{SelectionRequest, Server, ServerHandle};

/// A server that may take the request, with the properties that determine its rank.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) server: ServerHandle,
    demotion: Demotion,
    score: RendezvousScore,
}

impl Candidate {
    /// `is_ejected`: the server is an outlier, which demotes it.
    pub(crate) fn new(
        request: &SelectionRequest,
        handle: ServerHandle,
        server: &Server,
        is_ejected: bool,
    ) -> Candidate {
        Candidate {
            server: handle,
            demotion: Demotion {
                is_ejected,
                ..Demotion::of(request, server)
            },
            score: RendezvousScore::new(server.hash, request.key),
        }
    }

    /// Whether this candidate ranks before `other`.
    pub(crate) fn precedes(&self, other: &Candidate) -> bool {
        self.demotion
            .cmp(&other.demotion)
            .then(other.score.cmp(&self.score))
            .is_lt()
    }
}

/// A server's rendezvous score for a key; the highest wins. Equal scores are ordered by hash, so that all nodes agree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RendezvousScore {
    /// Bits of a floating-point number between 0 and 1; their order is the order of the numbers.
    unit_bits: u64,
    hash: u64,
}

impl RendezvousScore {
    pub(crate) fn new(hash: u64, key: u64) -> RendezvousScore {
        RendezvousScore {
            unit_bits: sparrouter_rendezvous::unit(hash, key).to_bits(),
            hash,
        }
    }
}

/// Reasons to rank a server behind others regardless of its score. Earlier fields take precedence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Demotion {
    /// Unresponsive servers rank last; they may still answer.
    is_unresponsive: bool,
    /// Outliers fail requests that other servers answer; they rank before unresponsive servers.
    is_ejected: bool,
    /// Long generations avoid servers that will load new weights soon, because loading waits for the generations to end.
    delays_loading: bool,
}

impl Demotion {
    /// All reasons but ejection, which depends on the other servers of the service.
    fn of(request: &SelectionRequest, server: &Server) -> Demotion {
        Demotion {
            is_unresponsive: server.is_unresponsive,
            is_ejected: false,
            delays_loading: request.is_long_generation && server.will_load_soon,
        }
    }
}

/// Whether a server ranks behind others regardless of its score, for another reason than ejection.
pub(crate) fn is_demoted(request: &SelectionRequest, server: &Server) -> bool {
    Demotion::of(request, server) != Demotion::default()
}

/// Whether this node's requests in flight at the server exceed the load bound of the service. An unused server is assumed
/// to have the mean number in flight.
pub(crate) fn exceeds_load_bound(server: &Server, load_bound: f64) -> bool {
    server.has_been_used && f64::from(server.in_flight) > load_bound
}

/// A candidate with this node's number of requests in flight at the server.
#[derive(Clone, Copy, Debug)]
struct LoadedCandidate {
    in_flight: u32,
    candidate: Candidate,
}

/// The best of the candidates considered so far.
#[derive(Debug, Default)]
pub(crate) struct BestCandidates {
    first: Option<Candidate>,
    /// The first candidate in order that does not exceed the load bound.
    first_within_bound: Option<Candidate>,
    /// The candidate with the fewest requests in flight; if equal, the first in order.
    least_loaded: Option<LoadedCandidate>,
}

impl BestCandidates {
    pub(crate) fn consider(&mut self, candidate: Candidate, exceeds_bound: bool, in_flight: u32) {
        let precedes = |best: Option<Candidate>| best.is_none_or(|best| candidate.precedes(&best));
        if precedes(self.first) {
            self.first = Some(candidate);
        }
        if !exceeds_bound && precedes(self.first_within_bound) {
            self.first_within_bound = Some(candidate);
        }
        let is_less_loaded = self.least_loaded.is_none_or(|least_loaded| {
            in_flight < least_loaded.in_flight
                || (in_flight == least_loaded.in_flight
                    && candidate.precedes(&least_loaded.candidate))
        });
        if is_less_loaded {
            self.least_loaded = Some(LoadedCandidate {
                in_flight,
                candidate,
            });
        }
    }

    /// The first candidate within the load bound; if all exceed it, the least loaded.
    pub(crate) fn winner(&self) -> Option<Candidate> {
        self.first_within_bound
            .or(self.least_loaded.map(|least_loaded| least_loaded.candidate))
    }

    /// Whether no other candidate ranks before this one.
    pub(crate) fn is_first(&self, candidate: &Candidate) -> bool {
        self.first
            .is_some_and(|first| first.server == candidate.server)
    }
}
