//! Checks that after any further tolerated loss of disks the group has a quorum and the newest chosen state.
use super::node::Node;
use super::{Fleet, MAX_BYTES, RECORD};
use sparrouter_consensus::{Record, SharedVote, State};
use sparrouter_storage::{Opened, Store};

impl Fleet {
    /// Checks the newest published state against all further losses of disks that are tolerated now.
    ///
    /// It is sufficient to count disks, because the worst case is the loss of members that have the state.
    pub fn check_replicas(&mut self) {
        let Some(state) = self.monitor.newest_state().cloned() else {
            return;
        };
        let tolerated_losses = self
            .max_lost_disks()
            .saturating_sub(self.lost_disk_ids().len());
        let votes: Vec<SharedVote> = state
            .members
            .iter()
            .filter_map(|member| self.node_with_disk(member.disk_id))
            .filter_map(synced_vote)
            .collect();
        let replicas = votes.iter().filter(|vote| includes(vote, &state)).count();
        let majority = state.members.len() / 2 + 1;
        if replicas <= tolerated_losses {
            self.monitor.report(format!(
                "slot {} is on {replicas} disks, and {tolerated_losses} more disks may be lost",
                state.slot
            ));
        }
        if votes.len() < majority + tolerated_losses {
            self.monitor.report(format!(
                "{} members of the group of slot {} have a vote on disk, a majority needs {majority}, and {tolerated_losses} more disks may be lost",
                votes.len(),
                state.slot
            ));
        }
    }

    /// Maximum number of disks that may be lost at the same time.
    pub fn max_lost_disks(&self) -> usize {
        (self.initial_size - 1) / 2
    }
}

/// The vote that a node would find on its disk after a power loss.
pub fn synced_vote(node: &Node) -> Option<SharedVote> {
    let (_, opened) = Store::open(node.files.synced_snapshot()).ok()?;
    let Opened::Existing(records) = opened else {
        return None;
    };
    Record::decode(records.get(RECORD)?, MAX_BYTES)
        .ok()?
        .accepted
}

/// Whether a vote contains this chosen state or a later slot, which is proposed only after this slot is chosen.
fn includes(vote: &SharedVote, state: &State) -> bool {
    let is_same_state =
        vote.state.slot == state.slot && vote.state.recent_proposals == state.recent_proposals;
    vote.state.slot > state.slot || is_same_state
}
