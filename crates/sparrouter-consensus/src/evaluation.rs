//! Evaluation of the pending operations on a chosen state: first the results of earlier proposals, then the next
//! proposal.
//!
//! Invariant: an operation takes effect at most once. It is evaluated again only after another proposal was chosen for
//! each slot that it was proposed for, which `State::recent_proposals` of a chosen state shows.
use crate::machine::{Applied, Machine};
use crate::operation::{Operation, OperationKind, Outcome, Rejection, Sequence};
use crate::settings::Settings;
use crate::vote::{
    MAX_MEMBERS, MAX_RECENT_PROPOSALS, Member, ProposalNumber, State, Vote, contains_disk,
};

/// Maximum number of unresolved proposals of one operation; at the limit its outcome is unknown.
const MAX_SENT_PROPOSALS: usize = 16;

/// The result of an operation's earlier proposals, as a chosen state shows it.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Resolution {
    /// The operation is not part of any chosen state up to this one, so that it may be evaluated on this state.
    Pending,
    /// One of the operation's proposals was chosen. Contains the operation's answer.
    Chosen(Vec<u8>),
    /// `recent_proposals` doesn't reach back to one of the slots that the operation was proposed for, or the operation
    /// has `MAX_SENT_PROPOSALS` unresolved proposals.
    Unknown,
}

/// Resolves an operation and removes its proposals that lost their slots. Proposals for undecided slots are kept,
/// because an acceptor may have accepted them.
pub(crate) fn resolve(
    operation: &mut Operation,
    chosen: &State,
    settings: &Settings,
) -> Resolution {
    if settings.defects.forget_sent_proposals {
        operation.sent.clear();
    }
    let winner = operation
        .sent
        .iter()
        .find(|sent| chosen.recent_proposals.contains(&sent.proposal_id));
    if let Some(winner) = winner {
        return Resolution::Chosen(winner.answer.clone());
    }
    let visible_slots = (chosen.recent_proposals.len() as u64).min(chosen.slot);
    let newest_invisible_slot = chosen.slot - visible_slots;
    if operation
        .sent
        .iter()
        .any(|sent| sent.slot <= newest_invisible_slot)
    {
        return Resolution::Unknown;
    }
    operation.sent.retain(|sent| sent.slot > chosen.slot);
    if operation.sent.len() >= MAX_SENT_PROPOSALS {
        Resolution::Unknown
    } else {
        Resolution::Pending
    }
}

/// An evaluated operation with its outcome, which is valid once the batch is confirmed.
#[derive(Clone, Debug)]
pub(crate) struct Evaluated {
    pub sequence: Sequence,
    pub outcome: Outcome,
    /// Whether the proposal contains the operation's effect. If not, the operation changes nothing, and its answer
    /// describes the state that it was evaluated on.
    pub is_proposed: bool,
}

/// The evaluated operations at the head of the queue, and the resulting proposal.
#[derive(Debug)]
pub(crate) struct Batch {
    pub evaluated: Vec<Evaluated>,
    /// The vote to propose; `None` if there is nothing to propose.
    pub vote: Option<Vote>,
}

/// Evaluates operations in order on a chosen vote. `number` and `proposal_id` identify the resulting proposal.
pub(crate) fn evaluate<M: Machine>(
    machine: &M,
    operations: &[Operation],
    chosen: &Vote,
    number: ProposalNumber,
    proposal_id: u64,
    settings: &Settings,
) -> Batch {
    let mut draft = Draft {
        chosen: &chosen.state,
        body: None,
        members: None,
    };
    let mut evaluated = Vec::new();
    for operation in operations {
        let Some(addition) = draft.add(machine, &operation.kind, settings) else {
            break;
        };
        evaluated.push(Evaluated {
            sequence: operation.sequence,
            outcome: addition.outcome,
            is_proposed: addition.changes_state,
        });
        if draft.members.is_some() {
            break;
        }
    }
    // An operation may be rejected here although one of its earlier proposals is unresolved and may still be chosen.
    // Its caller is answered only once another proposal is chosen for that slot, possibly one that changes nothing.
    let has_unresolved_proposal = operations
        .iter()
        .take(evaluated.len())
        .any(|operation| !operation.sent.is_empty());
    let vote =
        (draft.is_changed() || has_unresolved_proposal).then(|| draft.vote(number, proposal_id));
    Batch { evaluated, vote }
}

/// The result of adding an operation to a draft.
struct Addition {
    outcome: Outcome,
    changes_state: bool,
}

impl Addition {
    fn without_effect(outcome: Outcome) -> Addition {
        Addition {
            outcome,
            changes_state: false,
        }
    }
}

/// The draft of the next state, to which operations are added.
///
/// Invariant: `body` and `members` are never both set. A change of the group is proposed alone, so that the old and the
/// new group of a slot differ by that change only.
struct Draft<'a> {
    chosen: &'a State,
    body: Option<Vec<u8>>,
    members: Option<Vec<Member>>,
}

impl Draft<'_> {
    /// Adds an operation. Returns `None` if the operation has to wait for the next slot.
    fn add<M: Machine>(
        &mut self,
        machine: &M,
        kind: &OperationKind,
        settings: &Settings,
    ) -> Option<Addition> {
        match kind {
            OperationKind::Read | OperationKind::ConfirmNewest => {
                let body = self.body().to_vec();
                Some(Addition::without_effect(Outcome::Answered(body)))
            }
            OperationKind::Change(change) => Some(self.add_change(machine, change, settings)),
            OperationKind::ChangeMembers { .. } if self.body.is_some() => None,
            OperationKind::ChangeMembers {
                old_disk_ids,
                new_members,
            } => {
                let is_applicable = self.is_governed_by(old_disk_ids)
                    && is_single_member_change(&self.chosen.members, new_members);
                self.members = is_applicable.then(|| new_members.clone());
                Some(Addition {
                    outcome: Outcome::Answered(Vec::new()),
                    changes_state: is_applicable,
                })
            }
        }
    }

    fn add_change<M: Machine>(
        &mut self,
        machine: &M,
        change: &[u8],
        settings: &Settings,
    ) -> Addition {
        match machine.apply(self.body(), change) {
            Applied::Unchanged { answer } => Addition::without_effect(Outcome::Answered(answer)),
            Applied::Changed { body, .. } if body.len() > settings.max_body_bytes => {
                Addition::without_effect(Outcome::Rejected(Rejection::TooLarge))
            }
            Applied::Changed { body, answer } => {
                self.body = Some(body);
                Addition {
                    outcome: Outcome::Answered(answer),
                    changes_state: true,
                }
            }
        }
    }

    fn body(&self) -> &[u8] {
        self.body.as_ref().unwrap_or(&self.chosen.body)
    }

    fn is_governed_by(&self, disk_ids: &[u64]) -> bool {
        let members = self.chosen.members.iter().map(|member| member.disk_id);
        members.eq(disk_ids.iter().copied())
    }

    fn is_changed(&self) -> bool {
        self.body.is_some() || self.members.is_some()
    }

    fn vote(self, number: ProposalNumber, proposal_id: u64) -> Vote {
        let mut recent_proposals = vec![proposal_id];
        recent_proposals.extend(
            self.chosen
                .recent_proposals
                .iter()
                .take(MAX_RECENT_PROPOSALS - 1),
        );
        let previous_members = self.members.as_ref().map(|_| self.chosen.members.clone());
        let state = State {
            slot: self.chosen.slot + 1,
            members: self.members.unwrap_or_else(|| self.chosen.members.clone()),
            initial_size: self.chosen.initial_size,
            recent_proposals,
            body: self.body.unwrap_or_else(|| self.chosen.body.clone()),
        };
        Vote {
            number,
            previous_members,
            state,
        }
    }
}

/// Whether the new group differs from the old one by exactly one member added, removed or replaced.
fn is_single_member_change(old: &[Member], new: &[Member]) -> bool {
    let removed = count_missing(old, new);
    let added = count_missing(new, old);
    (1..=MAX_MEMBERS).contains(&new.len())
        && removed <= 1
        && added <= 1
        && removed + added > 0
        && has_distinct_disks(new)
}

/// Number of members of `group` that are not in `other_group`.
fn count_missing(group: &[Member], other_group: &[Member]) -> usize {
    group
        .iter()
        .filter(|member| !contains_disk(other_group, member.disk_id))
        .count()
}

fn has_distinct_disks(members: &[Member]) -> bool {
    members
        .iter()
        .enumerate()
        .all(|(index, member)| !contains_disk(&members[..index], member.disk_id))
}
