//! One pass over candidates that finds the winner of an election, without a list of them and without sorting.
use crate::{SelectionRequest, Server, ServerIndex};

/// A server that may take the request, with what its place in the order goes by.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) server: ServerIndex,
    kept_back: KeptBack,
    draw: Draw,
}

impl Candidate {
    /// `avoided`: it fails requests that others would serve.
    pub(crate) fn new(
        ask: &SelectionRequest,
        ix: ServerIndex,
        server: &Server,
        avoided: bool,
    ) -> Candidate {
        Candidate {
            server: ix,
            kept_back: KeptBack {
                avoided,
                ..kept_back(ask, server)
            },
            draw: Draw::new(server.hash, ask.key),
        }
    }

    /// Whether it comes before another in the order.
    pub(crate) fn beats(&self, other: &Candidate) -> bool {
        self.kept_back
            .cmp(&other.kept_back)
            .then(other.draw.cmp(&self.draw))
            .is_lt()
    }
}

/// A server's draw for a key: highest wins. Equal scores go by the hash, so that every node agrees.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Draw {
    /// Bits of a number between 0 and 1, which are in the same order as the number.
    score: u64,
    hash: u64,
}

impl Draw {
    pub(crate) fn new(hash: u64, key: u64) -> Draw {
        Draw {
            score: sparrouter_rendezvous::unit(hash, key).to_bits(),
            hash,
        }
    }
}

/// Why a server comes behind others whatever its draw. The order of the fields is that of their weight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct KeptBack {
    /// Silent servers come last, since they may still answer.
    silent: bool,
    /// Before them come those that fail requests which others would serve.
    avoided: bool,
    /// Long generations avoid servers that will load new weights soon, because loading waits for them to end.
    loads_soon: bool,
}

fn kept_back(ask: &SelectionRequest, server: &Server) -> KeptBack {
    KeptBack {
        silent: server.silent,
        avoided: false,
        loads_soon: ask.is_long_generation && server.soon,
    }
}

/// Whether others come before a server whatever its draw.
pub(crate) fn is_kept_back(ask: &SelectionRequest, server: &Server) -> bool {
    kept_back(ask, server) != KeptBack::default()
}

/// Whether it has more of this node's requests in flight than the bar.
pub(crate) fn is_over(server: &Server, bar: f64) -> bool {
    server.used && f64::from(server.in_flight) > bar
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
