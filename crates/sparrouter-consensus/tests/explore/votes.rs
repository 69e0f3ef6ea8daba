//! Tracks which votes are on which disks, and which states are therefore chosen. The counts are based on proposed and
//! synced votes, with a separate implementation of majorities that is independent of the code under test.
use super::digest::digest_of;
use super::violation::Violation;
use sparrouter_consensus::{Member, State, Vote, VoteId};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// All votes of an exploration.
#[derive(Clone, Debug, Default)]
pub struct Votes {
    proposed: BTreeMap<VoteId, Rc<Vote>>,
    /// The disks on which a vote, or a later vote that replaced it, was ever synced.
    synced: BTreeMap<VoteId, BTreeSet<u64>>,
    /// The chosen vote of each slot. An entry never changes.
    chosen: BTreeMap<u64, Rc<Vote>>,
    digest: u128,
}

fn is_majority(members: &[Member], has: impl Fn(u64) -> bool) -> bool {
    let count = members.iter().filter(|m| has(m.disk_id)).count();
    2 * count > members.len()
}

/// Whether two votes have the same slot and value; their numbers may differ.
fn has_same_value(first: &Vote, second: &Vote) -> bool {
    first.state == second.state
}

impl Votes {
    /// Records the vote of the group's initial record, which is chosen by definition.
    pub fn bootstrap(&mut self, first: Vote) {
        let first = Rc::new(first);
        self.proposed.insert(first.id(), first.clone());
        self.chosen.insert(first.state.slot, first);
    }

    /// Records that a proposer has sent an `Accept` for this vote.
    ///
    /// # Errors
    /// Another value was proposed under the vote's number.
    pub fn propose(&mut self, vote: &Vote) -> Result<(), Violation> {
        match self.proposed.get(&vote.id()) {
            Some(known) if has_same_value(known, vote) => Ok(()),
            Some(_) => Err(Violation::TwoValuesProposed(vote.id())),
            None => {
                self.digest = self.digest.wrapping_add(digest_of(vote));
                self.proposed.insert(vote.id(), Rc::new(vote.clone()));
                Ok(())
            }
        }
    }

    /// Records that this vote, or a later vote that replaced it before the sync, was synced to a disk.
    ///
    /// # Errors
    /// The vote was never proposed, or two values of one slot are chosen now.
    pub fn sync(&mut self, vote_id: VoteId, disk: u64) -> Result<(), Violation> {
        let Some(vote) = self.proposed.get(&vote_id).cloned() else {
            return Err(Violation::NeverProposed { vote_id, disk });
        };
        let disks = self.synced.entry(vote_id).or_default();
        if !disks.insert(disk) {
            return Ok(());
        }
        self.digest = self.digest.wrapping_add(digest_of(&(vote_id, disk)));
        let has = |disk| disks.contains(&disk);
        let old_members = vote
            .previous_members
            .as_deref()
            .unwrap_or(&vote.state.members);
        if is_majority(old_members, has) && is_majority(&vote.state.members, has) {
            self.choose(&vote)
        } else {
            Ok(())
        }
    }

    fn choose(&mut self, vote: &Rc<Vote>) -> Result<(), Violation> {
        let slot = vote.state.slot;
        let chosen = self.chosen.entry(slot).or_insert_with(|| vote.clone());
        if has_same_value(chosen, vote) {
            return Ok(());
        }
        Err(Violation::TwoValuesChosen {
            slot,
            first: chosen.state.body.clone(),
            second: vote.state.body.clone(),
        })
    }

    /// Checks a state that a node publishes.
    ///
    /// # Errors
    /// The state is not chosen.
    pub fn check_published(&self, state: &State) -> Result<(), Violation> {
        match self.chosen.get(&state.slot) {
            Some(chosen) if chosen.state == *state => Ok(()),
            Some(_) => Err(Violation::OtherStatePublished(state.slot)),
            None => Err(Violation::PublishedBeforeChosen(state.slot)),
        }
    }

    pub fn is_chosen_body(&self, body: &[u8]) -> bool {
        self.chosen.values().any(|vote| vote.state.body == body)
    }

    /// Checks that the newest chosen state is on a majority of its group's disks. Wiped disks count as if they had it,
    /// because their loss is tolerated.
    ///
    /// # Errors
    /// The state is on fewer disks.
    pub fn check_disks(
        &self,
        vote_on_disk: impl Fn(u64) -> Option<VoteId>,
        wiped: &BTreeSet<u64>,
    ) -> Result<(), Violation> {
        let Some((slot, newest)) = self.chosen.last_key_value() else {
            return Ok(());
        };
        let has_or_was_wiped = |disk: u64| {
            let has = vote_on_disk(disk).is_some_and(|vote_id| self.includes(vote_id, newest));
            has || wiped.contains(&disk)
        };
        if is_majority(&newest.state.members, has_or_was_wiped) {
            Ok(())
        } else {
            Err(Violation::OnNoMajority(*slot))
        }
    }

    /// Whether a disk with this vote has the chosen state or a later state based on it.
    fn includes(&self, vote_id: VoteId, chosen: &Vote) -> bool {
        if vote_id.slot != chosen.state.slot {
            return vote_id.slot > chosen.state.slot;
        }
        let vote = self.proposed.get(&vote_id);
        vote.is_some_and(|vote| has_same_value(vote, chosen))
    }

    /// Digest of all proposed and synced votes, independent of their order.
    pub fn digest(&self) -> u128 {
        self.digest
    }

    pub fn chosen_slots(&self) -> usize {
        self.chosen.len()
    }
}
