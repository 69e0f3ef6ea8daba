//! Hand-over at a graceful shutdown: whether the other members have this node's state on disk and form a quorum without
//! this node.
//!
//! | this node | hand-over is complete when |
//! | --- | --- |
//! | is outside the group | a majority of the group has the slot that excluded this node on disk |
//! | is a member, and another node can replace it | this node was replaced, and the row above applies |
//! | is the only member, and no node can replace it | at once: there is no node to hand over to |
//! | is a member, and no node can replace it | a majority of the group without this node has the newest chosen state on disk |
//!
//! The other members are asked with `Query`, which promises nothing and is answered from disk.
use crate::message::Message;
use crate::quorum::is_majority;
use crate::time::Nanos;
use crate::vote::{SharedVote, VoteId};
use std::collections::BTreeMap;

/// How long a member's answer is valid, in anti-entropy intervals.
pub(crate) const ANSWER_VALID_INTERVALS: Nanos = 2;

/// A check of which other members have one chosen vote on disk.
#[derive(Clone, Debug)]
struct Check {
    /// Identifies the answers to this check.
    nonce: u64,
    vote: SharedVote,
    /// When each disk last confirmed that it has the vote, by disk id.
    confirmed_at: BTreeMap<u64, Nanos>,
}

impl Check {
    /// Whether a disk whose newest vote is `accepted` has the vote of this check. `newer_vote` is the disk's newest
    /// vote if it is newer than the vote of this check.
    fn is_confirmed_by(&self, accepted: Option<VoteId>, newer_vote: Option<&SharedVote>) -> bool {
        if accepted == Some(self.vote.id()) {
            return true;
        }
        // A later slot is proposed only after this one is chosen. The same state may be stored under a higher number.
        let state = &self.vote.state;
        newer_vote.is_some_and(|newer| {
            let is_same_state = newer.state.slot == state.slot
                && newer.state.recent_proposals == state.recent_proposals;
            newer.state.slot > state.slot || is_same_state
        })
    }
}

/// The state of the hand-over of a node that shuts down.
#[derive(Clone, Debug, Default)]
pub(crate) struct Handover {
    /// The check in progress; `None` if this node is not shutting down as a member.
    check: Option<Check>,
    /// Whether a node that may replace this one was live at the last observation.
    pub has_successor: bool,
}

impl Handover {
    /// The query to the other members whether they have this chosen vote. Starts a new check, identified by a new
    /// `nonce`, unless the check in progress is about the same vote.
    pub fn query(&mut self, chosen: &SharedVote, nonce: impl FnOnce() -> u64) -> Message {
        let check = match self.check.take() {
            Some(check) if check.vote.id() == chosen.id() => check,
            _ => Check {
                nonce: nonce(),
                vote: chosen.clone(),
                confirmed_at: BTreeMap::new(),
            },
        };
        let query = Message::Query {
            nonce: check.nonce,
            known: Some(check.vote.id()),
        };
        self.check = Some(check);
        query
    }

    /// Whether a report with this nonce belongs to the check in progress.
    pub fn awaits(&self, nonce: u64) -> bool {
        self.check.as_ref().is_some_and(|c| c.nonce == nonce)
    }

    /// Records a member's report of the newest vote on its disk.
    pub fn on_report(
        &mut self,
        disk_id: u64,
        accepted: Option<VoteId>,
        newer_vote: Option<&SharedVote>,
        now: Nanos,
    ) {
        if let Some(check) = &mut self.check
            && check.is_confirmed_by(accepted, newer_vote)
        {
            check.confirmed_at.insert(disk_id, now);
        }
    }

    /// Whether a majority of the group, not counting `disk_id`, confirmed less than `valid_for` ago that it has this
    /// chosen vote on disk.
    pub fn is_confirmed(
        &self,
        chosen: &SharedVote,
        disk_id: u64,
        valid_for: Nanos,
        now: Nanos,
    ) -> bool {
        let Some(check) = self.check.as_ref().filter(|c| c.vote.id() == chosen.id()) else {
            return false;
        };
        is_majority(&chosen.state.members, |member| {
            let confirmed_at = check.confirmed_at.get(&member);
            member != disk_id && confirmed_at.is_some_and(|&at| now.saturating_sub(at) < valid_for)
        })
    }
}
