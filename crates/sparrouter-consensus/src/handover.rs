//! A member that leaves: whether the others hold on disk what it holds, and can act without it.
//!
//! | this node | handed over once |
//! | --- | --- |
//! | outside the group | a majority of the group keeps the slot that took it out |
//! | a member, another node could take its place | that has happened, see above |
//! | a member, nobody could | without it a majority of the group answers that it holds the newest chosen state |
//!
//! The others are asked with `Query`, which promises nothing and is answered from the disk.
use crate::Nanos;
use crate::machine::Machine;
use crate::message::Message;
use crate::quorum::majority;
use crate::register::Register;
use crate::types::{Member, SharedVote, VoteId};
use std::collections::BTreeMap;

/// An answer counts for so many times the time between two exchanges.
const ANSWER_VALID_EXCHANGES: Nanos = 2;

/// The other members' answers about one chosen vote.
#[derive(Clone, Debug)]
pub(crate) struct HandoverCheck {
    nonce: u64,
    vote: SharedVote,
    /// When each disk last answered that it holds the vote.
    holders: BTreeMap<u64, Nanos>,
}

impl HandoverCheck {
    /// Takes in the answer of a disk that holds `at`; `newer`: that vote, if it is newer than the one asked for.
    pub fn report(
        &mut self,
        disk: u64,
        at: Option<VoteId>,
        newer: Option<&SharedVote>,
        now: Nanos,
    ) {
        let mine = &self.vote;
        // A later slot is proposed on top of a chosen one only; the same slot may be held under a later ballot.
        let holds_newer = newer.is_some_and(|vote| {
            let is_same_state = vote.state.recent_proposals == mine.state.recent_proposals;
            vote.state.slot > mine.state.slot
                || (vote.state.slot == mine.state.slot && is_same_state)
        });
        if at == Some(mine.id()) || holds_newer {
            self.holders.insert(disk, now);
        }
    }

    pub fn is_answer(&self, nonce: u64) -> bool {
        self.nonce == nonce
    }
}

impl<M: Machine> Register<M> {
    /// Asks the other members for what a node that leaves has to know; call it again and again until
    /// `is_handed_over`.
    pub fn continue_handover(&mut self, now: Nanos) {
        let Some(chosen) = self.learner.chosen().cloned() else {
            return;
        };
        let me = self.me.disk_id;
        let others: Vec<Member> = chosen
            .state
            .members
            .iter()
            .filter(|m| m.disk_id != me)
            .cloned()
            .collect();
        let question = if others.len() == chosen.state.members.len() {
            self.have()
        } else {
            self.handover_query(chosen)
        };
        for member in others {
            self.send(member, question.clone());
        }
        self.work(now);
    }

    fn handover_query(&mut self, chosen: SharedVote) -> Message {
        let known = Some(chosen.id());
        if self
            .handover
            .as_ref()
            .is_none_or(|check| check.vote.id() != chosen.id())
        {
            self.handover = Some(HandoverCheck {
                nonce: self.rng.u64(..),
                vote: chosen,
                holders: BTreeMap::new(),
            });
        }
        let nonce = self.handover.as_ref().map_or(0, |check| check.nonce);
        Message::Query { nonce, known }
    }

    /// Whether this node may end: nothing is on its disk alone, and its vote is not needed.
    pub fn is_handed_over(&self, now: Nanos) -> bool {
        let Some(chosen) = self.learner.chosen() else {
            return self.newest().is_none();
        };
        if chosen
            .state
            .members
            .iter()
            .all(|m| m.disk_id != self.me.disk_id)
        {
            return self.may_leave();
        }
        let is_settled = self
            .newest()
            .is_some_and(|newest| newest.id() == chosen.id());
        is_settled && !self.successor_waits && self.others_hold(chosen, now)
    }

    fn others_hold(&self, chosen: &SharedVote, now: Nanos) -> bool {
        let Some(check) = self
            .handover
            .as_ref()
            .filter(|check| check.vote.id() == chosen.id())
        else {
            return false;
        };
        let valid_for = ANSWER_VALID_EXCHANGES * self.settings.exchange_interval;
        majority(&chosen.state.members, |disk| {
            let answered = check.holders.get(&disk);
            disk != self.me.disk_id
                && answered.is_some_and(|at| now.saturating_sub(*at) < valid_for)
        })
    }
}
