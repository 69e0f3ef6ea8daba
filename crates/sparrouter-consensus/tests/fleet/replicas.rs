//! Whether a group is left that can act and has what was chosen, after any loss that the tolerance still allows.
use super::node::Node;
use super::{Fleet, MAX_BYTES, RECORD};
use sparrouter_consensus::{Record, SharedVote, State};
use sparrouter_storage::{Opened, Store};

impl Fleet {
    /// Checks the newest state that any node published against every further loss of disks that is allowed now.
    ///
    /// It is enough to count: the worst loss takes members that have the state first.
    pub fn check_replicas(&mut self) {
        let Some(state) = self.monitor.newest_state().cloned() else {
            return;
        };
        let spare = self.tolerated().saturating_sub(self.lost_disk_ids().len());
        let votes: Vec<SharedVote> = state
            .members
            .iter()
            .filter_map(|member| self.node_with_disk(member.disk_id))
            .filter_map(synced_vote)
            .collect();
        let replicas = votes.iter().filter(|vote| includes(vote, &state)).count();
        let majority = state.members.len() / 2 + 1;
        if replicas <= spare {
            self.monitor.report(format!(
                "slot {} is on {replicas} disks and {spare} more may be lost",
                state.slot
            ));
        }
        if votes.len() < majority + spare {
            self.monitor.report(format!(
                "{} members of the group of slot {} have a copy, {majority} must vote, {spare} more may be lost",
                votes.len(),
                state.slot
            ));
        }
    }

    /// Disks that may be lost at one time.
    pub fn tolerated(&self) -> usize {
        (self.initial_size - 1) / 2
    }
}

/// What a node would find on its disk after a loss of power.
pub fn synced_vote(node: &Node) -> Option<SharedVote> {
    let (_, opened) = Store::open(node.files.synced_snapshot()).ok()?;
    let Opened::Existing(records) = opened else {
        return None;
    };
    Record::decode(records.get(RECORD)?, MAX_BYTES)
        .ok()?
        .accepted
}

/// Whether a vote is of this chosen state, or of a later slot, which is only proposed on top of it.
fn includes(vote: &SharedVote, state: &State) -> bool {
    let is_same_state =
        vote.state.slot == state.slot && vote.state.recent_proposals == state.recent_proposals;
    vote.state.slot > state.slot || is_same_state
}
