//! Callers' calls that wait at this node, and what is known of each.
use crate::Nanos;
use crate::types::Member;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// By a state that a quorum chose in or after the call.
    Answered(Vec<u8>),
    /// It is not in force and never will be by this call.
    Rejected(Rejection),
    /// It left this node and no quorum told what became of it: it is in force, or will be, or never.
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    #[error("too many calls wait for this part: repeat after those before it")]
    Busy,
    #[error("no quorum of the part's group answered in time: see which members are down")]
    NoQuorum,
    #[error("this node knows no group for the part yet: ask another one")]
    NoGroup,
    #[error("the change, or what it makes of the part, is larger than the limit: split it")]
    TooLarge,
}

#[derive(Clone, Debug)]
pub(crate) enum Kind {
    Change(Vec<u8>),
    Read,
    /// Reconfiguration: from this group, by disks, to that one.
    Members {
        from: Vec<u64>,
        to: Vec<Member>,
    },
    /// Finds out whether the newest vote is chosen; nobody waits for its answer.
    Settle,
}

/// Proposals of one call that may stand open at once; beyond them it is told as unknown.
pub(crate) const MOST_SENT: usize = 16;

/// A proposal by which a call left this node, and its answer if that one is chosen.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    pub seq: u64,
    pub origin: u64,
    pub answer: Vec<u8>,
}

#[derive(Clone, Debug)]
pub(crate) struct Operation {
    /// None for the register's own.
    pub id: Option<u64>,
    pub kind: Kind,
    pub deadline: Nanos,
    /// When it came, counted in steps of this register, and its name inside: what was asked before this proves nothing
    /// for it.
    pub step: u64,
    /// All whose end is not known: after a duel several may wait at acceptors for the same slot.
    pub sent: Vec<Sent>,
}

impl Operation {
    pub fn is_read(&self) -> bool {
        matches!(self.kind, Kind::Read | Kind::Settle)
    }

    /// What to tell when the time is up.
    pub fn expired(&self) -> Outcome {
        if self.sent.is_empty() {
            Outcome::Rejected(Rejection::NoQuorum)
        } else {
            Outcome::Unknown
        }
    }
}
