//! Operations that wait at this node: callers' changes and reads, and the register's own.
//!
//! An operation ends once, with an `Outcome`. Whether it may be evaluated again depends on the proposals by which it
//! has left this node: see `evaluation`.
use crate::time::Nanos;
use crate::vote::Member;

/// How an operation ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered from a state that a quorum confirmed after the call came.
    Answered(Vec<u8>),
    /// It is not in force and never will be by this call.
    Rejected(Rejection),
    /// It was proposed, and no quorum reported what became of it: it is in force, or will be, or never.
    Unknown,
}

/// Why an operation was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// `Settings::max_pending` operations wait already.
    #[error("too many calls wait for this part: repeat after those before it")]
    Busy,
    /// No quorum answered by the deadline, and the operation was in no proposal.
    #[error("no quorum of the part's group answered in time: see which members are down")]
    NoQuorum,
    /// This node knows no state of the shard, so that it doesn't know its group.
    #[error("this node knows no group for the part yet: ask another one")]
    NoGroup,
    /// The change or the body that it makes is above its limit.
    #[error("the change, or what it makes of the part, is larger than the limit: split it")]
    TooLarge,
}

/// A position in the order in which this register's operations came and its requests began. What was asked before an
/// operation came proves nothing for it.
pub(crate) type Sequence = u64;

/// What an operation does.
#[derive(Clone, Debug)]
pub(crate) enum OperationKind {
    /// A caller's change.
    Change(Vec<u8>),
    /// A caller's read.
    Read,
    /// Reconfiguration.
    ChangeMembers {
        /// Disk ids of the group that it was decided for; it is dropped where another group is in force.
        from: Vec<u64>,
        to: Vec<Member>,
    },
    /// A read of the register's own, which finds out whether the newest vote is chosen.
    ConfirmNewest,
}

/// A proposal by which an operation left this node.
#[derive(Clone, Debug)]
pub(crate) struct SentProposal {
    pub slot: u64,
    pub proposal_id: u64,
    /// The operation's answer if the proposal is chosen.
    pub answer: Vec<u8>,
}

#[derive(Clone, Debug)]
pub(crate) struct Operation {
    /// The caller's name for it; `None` for the register's own and for those whose caller is answered.
    pub id: Option<u64>,
    pub kind: OperationKind,
    /// When it ends whatever is known of it.
    pub deadline: Nanos,
    /// When it came. Unique within the register.
    pub sequence: Sequence,
    /// All proposals of it whose fate is not known: after a duel several may be at acceptors for one slot.
    pub sent: Vec<SentProposal>,
}

impl Operation {
    /// Whether it changes nothing.
    pub fn is_read(&self) -> bool {
        matches!(
            self.kind,
            OperationKind::Read | OperationKind::ConfirmNewest
        )
    }

    /// The outcome at the deadline.
    pub fn expired_outcome(&self) -> Outcome {
        if self.sent.is_empty() {
            Outcome::Rejected(Rejection::NoQuorum)
        } else {
            Outcome::Unknown
        }
    }
}

/// The operations that wait, in the order in which they came.
#[derive(Clone, Debug, Default)]
pub(crate) struct OperationQueue {
    /// Ordered by `sequence`.
    operations: Vec<Operation>,
    /// The last sequence that was given out.
    sequence: Sequence,
}

impl OperationQueue {
    /// The sequence of an operation or a request that begins now.
    pub fn next_sequence(&mut self) -> Sequence {
        self.sequence += 1;
        self.sequence
    }

    /// Adds an operation that came now.
    pub fn push(&mut self, id: Option<u64>, kind: OperationKind, deadline: Nanos) {
        let sequence = self.next_sequence();
        self.operations.push(Operation {
            id,
            kind,
            deadline,
            sequence,
            sent: Vec::new(),
        });
    }

    /// All operations, in the order in which they came.
    pub fn as_slice(&self) -> &[Operation] {
        &self.operations
    }

    /// How many operations wait.
    pub fn len(&self) -> usize {
        self.operations.len()
    }

    /// Whether no operation waits.
    pub fn is_empty(&self) -> bool {
        self.operations.is_empty()
    }

    /// Whether none of them changes anything.
    pub fn has_reads_only(&self) -> bool {
        self.operations.iter().all(Operation::is_read)
    }

    /// Whether one of them is a read.
    pub fn has_read(&self) -> bool {
        self.operations.iter().any(Operation::is_read)
    }

    /// Whether a change of the group waits.
    pub fn has_member_change(&self) -> bool {
        self.operations
            .iter()
            .any(|o| matches!(o.kind, OperationKind::ChangeMembers { .. }))
    }

    /// Whether a read of the register's own waits.
    pub fn has_confirmation(&self) -> bool {
        self.operations
            .iter()
            .any(|o| matches!(o.kind, OperationKind::ConfirmNewest))
    }

    /// The first deadline.
    pub fn next_deadline(&self) -> Option<Nanos> {
        self.operations.iter().map(|o| o.deadline).min()
    }

    /// The operation that came at `sequence`, if it still waits.
    pub fn get_mut(&mut self, sequence: Sequence) -> Option<&mut Operation> {
        self.operations.iter_mut().find(|o| o.sequence == sequence)
    }

    /// Removes the operation that came at `sequence`, if it still waits.
    pub fn remove(&mut self, sequence: Sequence) -> Option<Operation> {
        let index = self
            .operations
            .iter()
            .position(|o| o.sequence == sequence)?;
        Some(self.operations.remove(index))
    }

    /// Removes the operations that `should_take` accepts.
    pub fn take(&mut self, should_take: impl FnMut(&mut Operation) -> bool) -> Vec<Operation> {
        self.operations.extract_if(.., should_take).collect()
    }
}
