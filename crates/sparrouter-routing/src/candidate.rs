//! One pass over candidates that finds the winner of an election, without a list of them and without sorting.
use crate::{Ask, Server, ServerIx};

/// A generation of more tokens takes longer than it takes to read most prompts.
const LONG_GENERATION_TOKENS: u64 = 24;

/// A server that may take the request, with what its place in the order goes by.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) server: ServerIx,
    /// Silent servers come last, since they may still answer. Long generations avoid servers that will load new weights
    /// soon, because loading waits for them to end.
    kept_back: (bool, bool),
    score: f64,
    hash: u64,
}

impl Candidate {
    pub(crate) fn new(ask: &Ask, ix: ServerIx, server: &Server) -> Candidate {
        let long = ask.tokens_out > LONG_GENERATION_TOKENS;
        Candidate {
            server: ix,
            kept_back: (server.silent, long && server.soon),
            score: sparrouter_rendezvous::unit(server.hash, ask.key),
            hash: server.hash,
        }
    }

    /// Whether it comes before another in the order; equal scores go by the hash, so that every node agrees.
    pub(crate) fn beats(&self, other: &Candidate) -> bool {
        self.kept_back
            .cmp(&other.kept_back)
            .then(other.score.total_cmp(&self.score))
            .then(other.hash.cmp(&self.hash))
            .is_lt()
    }
}

/// The best candidates so far.
#[derive(Debug, Default)]
pub(crate) struct Election {
    first: Option<Candidate>,
    /// The first one that is not over the bar of requests in flight.
    first_under_bar: Option<Candidate>,
    /// The one with the fewest requests in flight, and how many.
    least_loaded: Option<(u32, Candidate)>,
}

impl Election {
    pub(crate) fn enter(&mut self, candidate: Candidate, over_bar: bool, in_flight: u32) {
        let first = |known: Option<Candidate>| known.is_none_or(|k| candidate.beats(&k));
        if first(self.first) {
            self.first = Some(candidate);
        }
        if !over_bar && first(self.first_under_bar) {
            self.first_under_bar = Some(candidate);
        }
        let less_loaded = self.least_loaded.is_none_or(|(least, known)| {
            in_flight < least || (in_flight == least && candidate.beats(&known))
        });
        if less_loaded {
            self.least_loaded = Some((in_flight, candidate));
        }
    }

    /// The first under the bar; where all are over it, the least loaded.
    pub(crate) fn winner(&self) -> Option<Candidate> {
        self.first_under_bar
            .or(self.least_loaded.map(|(_, candidate)| candidate))
    }

    /// Whether no candidate comes before it.
    pub(crate) fn is_first(&self, candidate: &Candidate) -> bool {
        self.first
            .is_some_and(|first| first.server == candidate.server)
    }
}
