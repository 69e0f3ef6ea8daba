//! Waiting calls put on a chosen state, in the order in which they came: what they make of it, and what was lost or
//! won of those that had left before.
use crate::machine::{Applied, Machine};
use crate::operation::{Kind, MOST_SENT, Operation, Outcome, Rejection};
use crate::settings::Settings;
use crate::types::{MAX_MEMBERS, MAX_RECENT_PROPOSALS, Member, ProposalNumber, State, Vote};

/// What a chosen state says about a call that had left.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Fate {
    /// To be judged on this state.
    Waits,
    Chosen(Vec<u8>),
    /// A slot of its proposals is too far back to tell.
    Untold,
}

/// Drops the proposals that lost their slot. One whose slot is open stays: some acceptor may hold it.
pub(crate) fn fate(operation: &mut Operation, chosen: &State, settings: &Settings) -> Fate {
    if settings.defects.forget_sent {
        operation.sent.clear();
    }
    if let Some(sent) = operation
        .sent
        .iter()
        .find(|s| chosen.recent_proposals.contains(&s.origin))
    {
        return Fate::Chosen(sent.answer.clone());
    }
    let told = chosen.slot - (chosen.recent_proposals.len() as u64).min(chosen.slot);
    if operation.sent.iter().any(|s| s.seq <= told) {
        return Fate::Untold;
    }
    operation.sent.retain(|s| s.seq > chosen.slot);
    if operation.sent.len() >= MOST_SENT {
        Fate::Untold
    } else {
        Fate::Waits
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Judged {
    /// The call's.
    pub step: u64,
    pub outcome: Outcome,
    /// Whether the proposal holds it: otherwise its answer was judged on what the state was.
    pub proposed: bool,
}

/// The calls in order and the state that they make, if they change anything.
#[derive(Debug)]
pub(crate) struct Batch {
    pub judged: Vec<Judged>,
    pub vote: Option<Vote>,
}

/// `from` is chosen. A change of the group goes alone, as the two of a slot's groups differ by that change only.
pub(crate) fn evaluate<M: Machine>(
    machine: &M,
    operations: &[Operation],
    from: &Vote,
    ballot: ProposalNumber,
    origin: u64,
    settings: &Settings,
) -> Batch {
    let mut body: Option<Vec<u8>> = None;
    let mut members: Option<Vec<Member>> = None;
    let mut judged = Vec::new();
    for operation in operations {
        let now = body.as_ref().unwrap_or(&from.state.body);
        let (outcome, proposed) = match &operation.kind {
            Kind::Read | Kind::Settle => (Outcome::Answered(now.clone()), false),
            Kind::Change(change) => match machine.apply(now, change) {
                Applied::Unchanged { answer } => (Outcome::Answered(answer), false),
                Applied::Changed { body: new, .. } if new.len() > settings.max_body_bytes => {
                    (Outcome::Rejected(Rejection::TooLarge), false)
                }
                Applied::Changed { body: new, answer } => {
                    body = Some(new);
                    (Outcome::Answered(answer), true)
                }
            },
            Kind::Members { from: expected, to } => {
                if body.is_some() {
                    break;
                }
                let fits = is_single_member_change(&from.state.members, to)
                    && from
                        .state
                        .members
                        .iter()
                        .map(|m| m.disk_id)
                        .eq(expected.iter().copied());
                members = fits.then(|| to.clone());
                (Outcome::Answered(Vec::new()), fits)
            }
        };
        judged.push(Judged {
            step: operation.step,
            outcome,
            proposed,
        });
        if members.is_some() {
            break;
        }
    }
    // A call may be refused here that an open proposal of its own still holds: nothing may be told before the slot has
    // gone to another, be it one that changes nothing.
    let open = operations
        .iter()
        .take(judged.len())
        .any(|o| !o.sent.is_empty());
    let vote = (body.is_some() || members.is_some() || open).then(|| {
        let mut origins = Vec::with_capacity(MAX_RECENT_PROPOSALS);
        origins.push(origin);
        origins.extend(
            from.state
                .recent_proposals
                .iter()
                .take(MAX_RECENT_PROPOSALS - 1),
        );
        let before = members.as_ref().map(|_| from.state.members.clone());
        let state = State {
            slot: from.state.slot + 1,
            members: members.unwrap_or_else(|| from.state.members.clone()),
            initial_size: from.state.initial_size,
            recent_proposals: origins,
            body: body.unwrap_or_else(|| from.state.body.clone()),
        };
        Vote {
            number: ballot,
            previous_members: before,
            state,
        }
    });
    Batch { judged, vote }
}

/// One member more, one less, or one for another.
pub fn is_single_member_change(old: &[Member], new: &[Member]) -> bool {
    let (fewer, more) = (missing(old, new), missing(new, old));
    (1..=MAX_MEMBERS).contains(&new.len())
        && fewer <= 1
        && more <= 1
        && fewer + more > 0
        && distinct(new)
}

fn missing(of: &[Member], from: &[Member]) -> usize {
    of.iter()
        .filter(|m| from.iter().all(|n| n.disk_id != m.disk_id))
        .count()
}

fn distinct(members: &[Member]) -> bool {
    members
        .iter()
        .enumerate()
        .all(|(i, m)| members[..i].iter().all(|n| n.disk_id != m.disk_id))
}
