//! Control state in parts, each a register: one value with its own replica group, changed by compare-and-set.
//!
//! No log and no standing leader. A slot's value (`State`) replaces the one before it; the group that a chosen state
//! names governs the next slot. Whoever has a change proposes it; two at once are settled by ballots.
//!
//! No I/O, clock, threads or global state; times are nanoseconds of a steady clock; chance is seeded. By file:
//! `types` (members, ballots, states), `codec` and `message` (bytes), `settings`, `quorum`, `acceptor` (promises and
//! votes, durable before they are told), `learner` (what is known chosen, and handing it over), `operation` (callers'
//! calls and what became of them), `evaluation` (changes put on a chosen state), `proposer` (rounds), `register` (the
//! calls), `transfer` (large bodies, fetched in pieces), `reconfiguration` (who belongs to the group), `candidate` (whose
//! disk may join it), `handover` (who leaves), `owner` (whom to ask first), `machine` (what a change means), `lease`
//! (fencing tokens).
//!
//! Sources: Lamport, "Paxos made simple", 2001; Rystsov, "CASPaxos: replicated state machines without logs", 2018;
//! Lamport, Malkhi and Zhou, "Reconfiguring a state machine", SIGACT News 2010; joint majorities after Ongaro and
//! Ousterhout, "In search of an understandable consensus algorithm", USENIX ATC 2014.
pub mod acceptor;
mod candidate;
pub mod codec;
mod evaluation;
mod handover;
pub mod learner;
pub mod lease;
pub mod machine;
pub mod message;
pub mod operation;
pub mod owner;
mod proposer;
pub mod quorum;
pub mod reconfiguration;
pub mod register;
pub mod settings;
pub mod transfer;
pub mod types;

pub use lease::Leases;
pub use machine::{Applied, Machine};
pub use message::Message;
pub use operation::{Outcome, Rejection};
pub use owner::owner;
pub use reconfiguration::NodeObservation;
pub use register::{Action, Register, RegisterError};
pub use settings::{Defects, Settings};
pub use types::{Member, ProposalNumber, Record, SharedVote, State, Vote, VoteId};

/// Of a steady clock.
pub type Nanos = u64;
pub const SECOND: Nanos = 1_000_000_000;
pub const MILLISECOND: Nanos = 1_000_000;
