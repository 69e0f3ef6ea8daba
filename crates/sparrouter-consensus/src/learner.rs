//! The Paxos learner: the newest vote known to be chosen, and which members have it on disk.
use crate::message::Message;
use crate::quorum::is_majority;
use crate::vote::{SharedVote, VoteId, contains_disk};
use std::collections::BTreeMap;

/// The newest vote that this node knows to be chosen.
#[derive(Clone, Debug)]
pub(crate) struct Learner {
    /// Disk id of this node.
    disk_id: u64,
    /// The newest chosen vote, without its previous group. Its slot never decreases.
    chosen: Option<SharedVote>,
    /// The first learned slot whose group excludes this node, after the last learned slot whose group includes it;
    /// `None` if the newest group includes this node or no chosen vote is known.
    excluded_since: Option<u64>,
    /// The newest chosen slot on the disk of each member of the newest group, by disk id, as the members reported it.
    stored_slots: BTreeMap<u64, u64>,
    /// Number of times that a second state of a slot was reported as chosen; 0 if all nodes follow the protocol.
    conflicts: u64,
}

impl Learner {
    /// Creates a learner that knows no chosen vote. `disk_id` is the disk id of this node.
    pub fn new(disk_id: u64) -> Learner {
        Learner {
            disk_id,
            chosen: None,
            excluded_since: None,
            stored_slots: BTreeMap::new(),
            conflicts: 0,
        }
    }

    /// The newest chosen vote, without its previous group.
    pub fn chosen(&self) -> Option<&SharedVote> {
        self.chosen.as_ref()
    }

    /// The slot of the newest chosen vote.
    pub fn chosen_slot(&self) -> Option<u64> {
        self.chosen.as_ref().map(|vote| vote.state.slot)
    }

    /// Number of times that a second state of a slot was reported as chosen.
    pub fn conflicts(&self) -> u64 {
        self.conflicts
    }

    /// Whether a disk is in the group of the newest chosen state.
    pub fn is_member(&self, disk_id: u64) -> bool {
        self.chosen
            .as_ref()
            .is_some_and(|vote| contains_disk(&vote.state.members, disk_id))
    }

    /// Learns that a vote is chosen. Returns whether its slot is newer than all chosen slots known before. Each slot is
    /// published once, under the first number known to be chosen, because all votes chosen for a slot have one value.
    pub fn learn(&mut self, vote: &SharedVote) -> bool {
        self.check_agreement(vote);
        if self.chosen_slot() >= Some(vote.state.slot) {
            return false;
        }
        let members = &vote.state.members;
        self.stored_slots
            .retain(|&disk_id, _| contains_disk(members, disk_id));
        self.excluded_since = if contains_disk(members, self.disk_id) {
            None
        } else {
            Some(self.excluded_since.unwrap_or(vote.state.slot))
        };
        self.chosen = Some(vote.clone());
        true
    }

    fn check_agreement(&mut self, vote: &SharedVote) {
        let is_conflict = self.chosen.as_ref().is_some_and(|chosen| {
            chosen.state.slot == vote.state.slot
                && chosen.state.recent_proposals != vote.state.recent_proposals
        });
        debug_assert!(
            !is_conflict,
            "two states of slot {} were reported as chosen",
            vote.state.slot
        );
        self.conflicts += u64::from(is_conflict);
    }

    /// Records a node's report of the newest chosen slot on its disk.
    pub fn on_stored(&mut self, disk_id: u64, chosen_slot: u64) {
        if self.is_member(disk_id) {
            self.stored_slots.insert(disk_id, chosen_slot);
        }
    }

    /// Whether this node is outside the newest group and a majority of that group has a state that excludes this node
    /// on disk.
    pub fn is_exclusion_stored(&self) -> bool {
        let (Some(vote), Some(excluded_since)) = (&self.chosen, self.excluded_since) else {
            return false;
        };
        is_majority(&vote.state.members, |disk_id| {
            self.stored_slots
                .get(&disk_id)
                .is_some_and(|&slot| slot >= excluded_since)
        })
    }

    /// The message that brings a node with this progress up to date; `None` if this node knows no newer chosen slot.
    pub fn catch_up_message(
        &self,
        accepted: Option<VoteId>,
        chosen_slot: Option<u64>,
    ) -> Option<Message> {
        let chosen = self
            .chosen
            .as_ref()
            .filter(|chosen| chosen_slot < Some(chosen.state.slot))?;
        Some(match accepted {
            Some(vote_id) if vote_id == chosen.id() => Message::Chosen { vote_id },
            _ => Message::Learn {
                vote: chosen.clone(),
            },
        })
    }
}
