//! Control state in shards. Each shard is a *register*: one value with its own replica group, changed by
//! compare-and-set under quorum.
//!
//! There is no log and no standing leader. The value of a *slot* (`State`) replaces the one before it, and the group
//! that a chosen state names governs the next slot. Whoever has a change proposes it; proposers that compete for a slot
//! are ordered by their proposal numbers. It is single-decree Paxos, slot after slot.
//!
//! # What is stored, and when
//!
//! A node keeps one `Record` a shard: the highest number that it promised, and its newest vote. The record is synced
//! before a promise or an acceptance of it is sent (`acceptor`), so that a restart forgets nothing that another node
//! relies on. A failed store turns the replies that waited for it into rejections. Nothing else is on disk: proposer,
//! learner and operations begin anew at a start, under a new incarnation.
//!
//! # What is promised to callers
//!
//! * `Register::propose` applies a change to the newest state. `Outcome::Answered`: a quorum has a state with the change
//!   on disk (or the machine left the body as it was, and a quorum confirmed that body after the call came).
//!   `Outcome::Rejected`: the change is not in force by this call and never will be. `Outcome::Unknown`: it was
//!   proposed, and no quorum reported what became of it by the deadline.
//! * `Register::read` is answered from a state that a quorum confirmed after the call came. Together with the first
//!   point the calls of a shard are linearizable.
//! * `Action::Chosen` reports chosen states, their slots rising. `Register::unconfirmed` reports what this node accepted,
//!   which may never come into force.
//! * A `Lease` in a register hands out fencing tokens: each acquire gets a token above all tokens before it, and a
//!   holder that follows the waits of `lease` acts alone. A token that is in a read of `unconfirmed` proves nothing.
//!
//! # Why the invariants hold
//!
//! 1. *One value a proposal number.* A number names its proposer's disk and incarnation, and a proposer never proposes
//!    two values for a slot under one number: once an `Accept` is sent, its number is not prepared any more until that
//!    vote is chosen (`proposer`).
//! 2. *One value chosen a slot.* An acceptor accepts nothing below its promise (`acceptor`), a proposer goes on with the
//!    newest vote that a quorum of promises reports (`register::proposal`), and any two quorums of a slot share a member
//!    (`quorum`). A proposer proposes a slot only on top of a vote of the slot before that is known to be chosen.
//! 3. *Reconfiguration.* A state may change the group by one member. It is chosen by a majority of the group that
//!    governs its slot and one of the group that it names; a vote carries both, so that whoever recovers it asks both.
//!    A node becomes a member only once its own disk has confirmed the group's state (`candidate`, `reconfiguration`).
//! 4. *Disks.* A member is a disk id, drawn with the data folder and lost with it. A node without a record therefore has
//!    promised nothing under its id. A wiped machine is another member, in no group until a reconfiguration takes it in.
//! 5. *An operation takes effect at most once.* A state names the proposals that were chosen for the last slots. An
//!    operation that was proposed is evaluated again only after each of its slots went to another proposal; where that
//!    can't be seen any more its outcome is `Unknown` (`evaluation`).
//! 6. *Large bodies change no rule.* A body that is fetched in chunks delays its message, nothing else: a promise counts
//!    only once the state that it reports is here, and no body is used unless its digest matches (`transfer`).
//!
//! Members compare their progress now and then (`anti_entropy`), so that who is behind by any number of slots is sent
//! one state. Liveness rests on that, on backoffs and on time-outs; safety rests on no clock. Only leases count time,
//! each holder by its own steady clock.
//!
//! # Modules, lower before upper
//!
//! | modules | job |
//! | --- | --- |
//! | `time`, `codec`, `vote`, `record`, `body`, `message` | values, their bytes, and the messages that carry them |
//! | `settings`, `defects`, `quorum`, `owner`, `machine`, `operation` | limits, majorities, and what callers hand in |
//! | `evaluation`, `request`, `proposer` | proposer: what to propose, and asking a group until a quorum answers |
//! | `acceptor`, `learner` | acceptor: promises and votes; learner: what is chosen |
//! | `candidate`, `reconfiguration`, `handover` | who joins and who leaves the group |
//! | `anti_entropy`, `body_cache`, `fetch`, `transfer` | catch-up: comparing members, moving large bodies |
//! | `lease` | a machine whose body is a lease with a fencing token |
//! | `register` | joins them; begin with the way of a proposal in `register::proposal` |
//!
//! No I/O, threads or global state; the caller hands in the time, and all chance is drawn from one seeded generator.
//!
//! # Sources
//!
//! Lamport, "Paxos made simple", 2001; Rystsov, "CASPaxos: replicated state machines without logs", 2018 (a register
//! changed by compare-and-set, no log); Lamport, Malkhi and Zhou, "Reconfiguring a state machine", SIGACT News 2010 (a
//! state names the group of the next slot); Ongaro and Ousterhout, "In search of an understandable consensus
//! algorithm", USENIX ATC 2014 (joint majorities); Ongaro, "Consensus: bridging theory and practice", 2014 (changes by
//! one member, ReadIndex); Gray and Cheriton, "Leases", SOSP 1989, and Burrows, "The Chubby lock service", OSDI 2006
//! (fencing tokens). `docs/design/control-state.md` has the tests of each invariant.
mod acceptor;
mod anti_entropy;
mod body;
mod body_cache;
mod candidate;
pub mod codec;
mod defects;
mod evaluation;
mod fetch;
mod handover;
mod learner;
pub mod lease;
mod machine;
pub mod message;
mod operation;
pub mod owner;
mod proposer;
mod quorum;
pub mod reconfiguration;
mod record;
mod register;
mod request;
mod settings;
mod time;
mod transfer;
mod vote;

pub use body::{BodyReference, Chunk};
pub use defects::Defects;
pub use lease::Leases;
pub use machine::{Applied, Machine};
pub use message::Message;
pub use operation::{Outcome, Rejection};
pub use reconfiguration::NodeObservation;
pub use record::Record;
pub use register::{Action, Register, RegisterError};
pub use settings::Settings;
pub use time::{MILLISECOND, Nanos, SECOND};
pub use transfer::TransferCounts;
pub use vote::{Member, ProposalNumber, SharedVote, State, Vote, VoteId};
