//! Which votes are on which disks, and so which states are chosen: counted from what is proposed and what is synced,
//! with majorities of its own, apart from the code under test.
use super::digest::digest_of;
use sparrouter_consensus::{Member, State, Vote, VoteId};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

#[derive(Clone, Debug, Default)]
pub struct Votes {
    proposed: BTreeMap<VoteId, Rc<Vote>>,
    /// Disks that ever had a vote, or a later one after it, synced.
    synced: BTreeMap<VoteId, BTreeSet<u64>>,
    chosen: BTreeMap<u64, Rc<Vote>>,
    digest: u128,
}

fn majority(members: &[Member], has: impl Fn(u64) -> bool) -> bool {
    let count = members.iter().filter(|m| has(m.disk_id)).count();
    2 * count > members.len()
}

/// Same slot and same value: the ballots may differ.
fn same_value(one: &Vote, other: &Vote) -> bool {
    one.state == other.state
}

impl Votes {
    /// The first record of a group is chosen by definition.
    pub fn found(&mut self, first: Vote) {
        let first = Rc::new(first);
        self.proposed.insert(first.id(), first.clone());
        self.chosen.insert(first.state.slot, first);
    }

    /// A proposer asks for this vote.
    ///
    /// # Errors
    /// Another value was proposed under the same ballot.
    pub fn propose(&mut self, vote: &Vote) -> Result<(), String> {
        match self.proposed.get(&vote.id()) {
            Some(known) if !same_value(known, vote) => {
                Err(format!("two values proposed under {:?}", vote.id()))
            }
            Some(_) => Ok(()),
            None => {
                self.digest = self.digest.wrapping_add(digest_of(vote));
                self.proposed.insert(vote.id(), Rc::new(vote.clone()));
                Ok(())
            }
        }
    }

    /// A disk keeps this vote, or keeps a later one that replaced it before the sync.
    ///
    /// # Errors
    /// The vote was proposed by nobody, or two values of one slot are chosen now.
    pub fn sync(&mut self, at: VoteId, disk: u64) -> Result<(), String> {
        let Some(vote) = self.proposed.get(&at).cloned() else {
            return Err(format!("{at:?} is on disk {disk} and was never proposed"));
        };
        let disks = self.synced.entry(at).or_default();
        if !disks.insert(disk) {
            return Ok(());
        }
        self.digest = self.digest.wrapping_add(digest_of(&(at, disk)));
        let has = |disk| disks.contains(&disk);
        let old = vote
            .previous_members
            .as_deref()
            .unwrap_or(&vote.state.members);
        if !majority(old, has) || !majority(&vote.state.members, has) {
            return Ok(());
        }
        match self.chosen.get(&at.slot) {
            Some(known) if !same_value(known, &vote) => Err(format!(
                "two values chosen at slot {}: {:?} and {:?}",
                at.slot, known.state.body, vote.state.body
            )),
            Some(_) => Ok(()),
            None => {
                self.chosen.insert(at.slot, vote);
                Ok(())
            }
        }
    }

    /// # Errors
    /// A node was told that this state is chosen, and it is not.
    pub fn published(&self, state: &State) -> Result<(), String> {
        match self.chosen.get(&state.slot) {
            Some(known) if known.state == *state => Ok(()),
            Some(_) => Err(format!(
                "another state than the chosen one published at slot {}",
                state.slot
            )),
            None => Err(format!(
                "slot {} published before a state was chosen",
                state.slot
            )),
        }
    }

    pub fn is_chosen_body(&self, body: &[u8]) -> bool {
        self.chosen.values().any(|v| v.state.body == body)
    }

    /// The newest chosen state must be on a majority of its group's disks; a disk that was wiped in between counts as
    /// the loss that is to be borne.
    ///
    /// # Errors
    /// Fewer disks hold it.
    pub fn kept(
        &self,
        on_disk: impl Fn(u64) -> Option<VoteId>,
        wiped: &BTreeSet<u64>,
    ) -> Result<(), String> {
        let Some((seq, newest)) = self.chosen.last_key_value() else {
            return Ok(());
        };
        let holds = |disk: u64| {
            let has = on_disk(disk).is_some_and(|at| self.includes(at, newest));
            has || wiped.contains(&disk)
        };
        if majority(&newest.state.members, holds) {
            return Ok(());
        }
        Err(format!(
            "slot {seq} is chosen and on no majority of its group's disks"
        ))
    }

    fn includes(&self, at: VoteId, chosen: &Vote) -> bool {
        if at.slot != chosen.state.slot {
            return at.slot > chosen.state.slot;
        }
        let held = self.proposed.get(&at);
        held.is_some_and(|held| same_value(held, chosen))
    }

    /// Of all votes that were proposed and synced, in whatever order.
    pub fn digest(&self) -> u128 {
        self.digest
    }

    pub fn chosen_slots(&self) -> usize {
        self.chosen.len()
    }
}
