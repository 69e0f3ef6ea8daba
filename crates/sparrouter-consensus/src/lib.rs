//! Sharded control state. Each shard is a *register*: one value with its own replica group, which is changed by
//! compare-and-set with the acceptance of a quorum.
//!
//! There is no log and no stable leader. The value of a *slot* (`State`) replaces the value of the slot before it, and
//! the group that a chosen state names governs the next slot. Any node with a pending change may propose it; proposers
//! that compete for a slot are ordered by their proposal numbers. The protocol is single-decree Paxos, one instance per
//! slot.
//!
//! # Durability
//!
//! A node stores one `Record` per shard: the highest proposal number that it promised, and its newest vote. The record
//! is synced before a promise or an acceptance is sent (`acceptor`), so that a restarted node still has everything that
//! other nodes rely on. If a store fails, the replies that waited for it become rejections. Nothing else is on disk:
//! the proposer, the learner and the pending operations are lost at a restart, which has a new incarnation.
//!
//! # Guarantees to callers
//!
//! * `Register::propose` applies a change to the newest state. `Outcome::Answered`: a quorum has a state with the
//!   change on disk, or the change left the body unchanged and a quorum confirmed that body after the call began.
//!   `Outcome::Rejected`: this call did not and will not apply the change. `Outcome::Unknown`: the change was proposed,
//!   and no quorum reported by the deadline whether it was chosen.
//! * `Register::read` is answered from a state that a quorum confirmed after the call began. Together with the first
//!   guarantee this makes the calls of a shard linearizable.
//! * `Action::Chosen` reports chosen states in ascending order of slots. `Register::unconfirmed` reports the state that
//!   this node accepted, which may never be chosen.
//! * A `Lease` in a register issues fencing tokens: each acquire gets a token higher than all earlier tokens, and a
//!   holder that observes the waits of `lease` is the only one that acts. A token in the result of `unconfirmed` proves
//!   nothing.
//!
//! # Why the invariants hold
//!
//! 1. *At most one value per proposal number.* A number contains its proposer's disk id and incarnation, and a proposer
//!    never proposes two values for a slot under one number: once an `Accept` is sent, its number no longer counts as
//!    prepared until that vote is chosen (`proposer`).
//! 2. *At most one chosen value per slot.* An acceptor accepts nothing below its promise (`acceptor`), a proposer
//!    adopts the newest vote that a quorum of promises reports (`register::proposal`), and any two quorums of a slot
//!    share a member (`quorum`). A proposer proposes a slot only on top of a vote for the previous slot that is known
//!    to be chosen.
//! 3. *Reconfiguration.* A state may change the group by one member. It is chosen by a majority of the group that
//!    governs its slot and a majority of the group that it names; a vote carries both groups, so that a proposer that
//!    recovers the vote asks both. A node becomes a member only once it has confirmed that the group's state is on its
//!    own disk (`candidate`, `reconfiguration`).
//! 4. *Disks.* A member is identified by a disk id, which is drawn when the data folder is created and is lost with it.
//!    A node without a record has therefore promised nothing under its id. A wiped machine is a new member, which is in
//!    no group until a reconfiguration adds it.
//! 5. *An operation takes effect at most once.* A state names the proposals that were chosen for the most recent slots.
//!    A proposed operation is evaluated again only after another proposal was chosen for each of its slots; if the
//!    state no longer shows that, the operation's outcome is `Unknown` (`evaluation`).
//! 6. *The transfer of large bodies affects none of these invariants.* Fetching a body in chunks only delays its
//!    message: a promise counts only once the reported state has arrived, and a body is used only if its digest matches
//!    (`transfer`).
//!
//! Members periodically compare their progress (`anti_entropy`), so that a member that is any number of slots behind
//! receives the newest state. Liveness depends on anti-entropy, backoffs and time-outs; safety depends on no clock.
//! Only leases measure time, each holder by its own monotonic clock.
//!
//! # Modules, lower layers first
//!
//! | modules | job |
//! | --- | --- |
//! | `time`, `codec`, `vote`, `record`, `body`, `message` | values, their encoding, and the messages that carry them |
//! | `settings`, `defects`, `quorum`, `owner`, `machine`, `operation` | limits, majorities, and the callers' operations |
//! | `evaluation`, `request`, `proposer` | proposer: evaluating operations, and requests that a quorum has to answer |
//! | `acceptor`, `learner` | acceptor: promises and votes; learner: chosen votes |
//! | `candidate`, `reconfiguration`, `handover` | nodes that join or leave the group |
//! | `anti_entropy`, `body_cache`, `fetch`, `transfer` | catch-up: comparing progress, transferring large bodies |
//! | `lease` | a state machine whose body is a lease with a fencing token |
//! | `bootstrap` | agreement on the first group, before there is a register |
//! | `register` | combines the modules; `register::proposal` is the best starting point |
//!
//! This crate has no I/O, threads or global state. The caller passes in the time, and all random numbers come from one
//! seeded generator.
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
pub mod bootstrap;
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
