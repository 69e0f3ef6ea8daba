//! Pending operations of this node: callers' changes and reads, and the register's internal operations.
//!
//! An operation completes exactly once, with an `Outcome`. Whether it may be evaluated again depends on its earlier
//! proposals: see `evaluation`.
use crate::time::Nanos;
use crate::vote::Member;

/// The result of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The operation was answered from a state that a quorum confirmed after the operation was submitted.
    Answered(Vec<u8>),
    /// The operation did not take effect and never will.
    Rejected(Rejection),
    /// The operation was proposed, but no quorum reported whether it was chosen. It may have taken effect, may do so
    /// later, or never will.
    Unknown,
}

/// The reason why an operation was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// `Settings::max_pending` operations are pending already.
    #[error(
        "too many operations are pending for this shard: retry once some of them have completed"
    )]
    Busy,
    /// No quorum answered by the deadline, and the operation was part of no proposal.
    #[error("no quorum of the shard's group answered in time: check which members are down")]
    NoQuorum,
    /// This node knows no state of the shard and therefore doesn't know its group.
    #[error("this node knows no group for the shard yet: ask another node")]
    NoGroup,
    /// The change, or the body that results from it, exceeds its size limit.
    #[error("the change, or the state of the shard after it, exceeds the size limit: split it")]
    TooLarge,
}

/// Position in the common order of this register's operations (by submission) and requests (by start). A request
/// confirms only operations that were submitted before it started.
pub(crate) type Sequence = u64;

/// The kind of an operation.
#[derive(Clone, Debug)]
pub(crate) enum OperationKind {
    /// A caller's change.
    Change(Vec<u8>),
    /// A caller's read.
    Read,
    /// A change of the group's members.
    ChangeMembers {
        /// Disk ids of the group that the change was decided for. The change has no effect if another group is in
        /// force.
        old_disk_ids: Vec<u64>,
        new_members: Vec<Member>,
    },
    /// An internal read of the register, which finds out whether the newest vote is chosen.
    ConfirmNewest,
}

/// A proposal that contains an operation and was sent to acceptors.
#[derive(Clone, Debug)]
pub(crate) struct SentProposal {
    pub slot: u64,
    pub proposal_id: u64,
    /// The operation's answer if the proposal is chosen.
    pub answer: Vec<u8>,
}

#[derive(Clone, Debug)]
pub(crate) struct Operation {
    /// The caller's id of the operation; `None` for internal operations of the register and for operations whose caller
    /// was already answered.
    pub id: Option<u64>,
    pub kind: OperationKind,
    /// Time at which the operation completes at the latest: as `Unknown` if it was proposed, otherwise as `Rejected`.
    pub deadline: Nanos,
    /// Position in the order of submission. Unique within the register.
    pub sequence: Sequence,
    /// The operation's unresolved proposals. If several proposers competed, acceptors may have several of them for one
    /// slot.
    pub sent: Vec<SentProposal>,
}

impl Operation {
    /// Whether the operation is a read.
    pub fn is_read(&self) -> bool {
        matches!(
            self.kind,
            OperationKind::Read | OperationKind::ConfirmNewest
        )
    }

    /// The outcome of an operation that reached its deadline.
    pub fn expired_outcome(&self) -> Outcome {
        if self.sent.is_empty() {
            Outcome::Rejected(Rejection::NoQuorum)
        } else {
            Outcome::Unknown
        }
    }
}

/// The pending operations in the order in which they were submitted.
#[derive(Clone, Debug, Default)]
pub(crate) struct OperationQueue {
    /// The pending operations, ordered by `sequence`.
    operations: Vec<Operation>,
    /// The last assigned sequence.
    sequence: Sequence,
}

impl OperationQueue {
    /// Assigns the sequence of an operation that is submitted now or of a request that starts now.
    pub fn next_sequence(&mut self) -> Sequence {
        self.sequence += 1;
        self.sequence
    }

    /// Adds an operation that is submitted now.
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

    /// All pending operations, in the order in which they were submitted.
    pub fn as_slice(&self) -> &[Operation] {
        &self.operations
    }

    /// Number of pending operations.
    pub fn len(&self) -> usize {
        self.operations.len()
    }

    /// Whether no operation is pending.
    pub fn is_empty(&self) -> bool {
        self.operations.is_empty()
    }

    /// Whether all pending operations are reads.
    pub fn has_reads_only(&self) -> bool {
        self.operations.iter().all(Operation::is_read)
    }

    /// Whether a read is pending.
    pub fn has_read(&self) -> bool {
        self.operations.iter().any(Operation::is_read)
    }

    /// Whether a change of the group is pending.
    pub fn has_member_change(&self) -> bool {
        self.operations
            .iter()
            .any(|o| matches!(o.kind, OperationKind::ChangeMembers { .. }))
    }

    /// Whether an internal read that confirms the newest vote is pending.
    pub fn has_confirmation(&self) -> bool {
        self.operations
            .iter()
            .any(|o| matches!(o.kind, OperationKind::ConfirmNewest))
    }

    /// The earliest deadline of the pending operations.
    pub fn next_deadline(&self) -> Option<Nanos> {
        self.operations.iter().map(|o| o.deadline).min()
    }

    /// The operation with this sequence, if it is still pending.
    pub fn get_mut(&mut self, sequence: Sequence) -> Option<&mut Operation> {
        self.operations.iter_mut().find(|o| o.sequence == sequence)
    }

    /// Removes the operation with this sequence, if it is still pending.
    pub fn remove(&mut self, sequence: Sequence) -> Option<Operation> {
        let index = self
            .operations
            .iter()
            .position(|o| o.sequence == sequence)?;
        Some(self.operations.remove(index))
    }

    /// Removes and returns the operations for which `should_take` is true.
    pub fn take(&mut self, should_take: impl FnMut(&mut Operation) -> bool) -> Vec<Operation> {
        self.operations.extract_if(.., should_take).collect()
    }
}
