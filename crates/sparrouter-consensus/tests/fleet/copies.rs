//! After any loss that the tolerance still allows a group is left that can act and holds what was chosen.
use super::{Fleet, Node};
use sparrouter_consensus::{Record, SharedVote, State};
use sparrouter_storage::{Opened, Store};

impl Fleet {
    /// Checks the newest state that any node calls chosen against every further loss of disks that is allowed now.
    ///
    /// It is enough to count: the worst loss takes members that hold the state first.
    pub fn check_copies(&mut self) {
        let Some(state) = self.judge.newest_state().cloned() else {
            return;
        };
        let spare = self.tolerated().saturating_sub(self.lost_disks().len());
        let votes: Vec<SharedVote> = state
            .members
            .iter()
            .filter_map(|member| self.present(member.disk_id))
            .filter_map(synced_vote)
            .collect();
        let holders = votes.iter().filter(|vote| holds(vote, &state)).count();
        let majority = state.members.len() / 2 + 1;
        if holders <= spare {
            self.judge.broken(format!(
                "slot {} is on {holders} disks and {spare} more may be lost",
                state.slot
            ));
        }
        if votes.len() < majority + spare {
            self.judge.broken(format!(
                "{} members of the group of slot {} have a copy, {majority} must vote, {spare} more may be lost",
                votes.len(),
                state.slot
            ));
        }
    }

    /// Disks that may be lost at one time.
    pub fn tolerated(&self) -> usize {
        (self.founding - 1) / 2
    }

    fn present(&self, disk: u64) -> Option<&Node> {
        self.nodes
            .iter()
            .find(|node| !node.gone && node.member.disk_id == disk)
    }
}

/// What a node would find on its disk after a loss of power.
pub fn synced_vote(node: &Node) -> Option<SharedVote> {
    let (_, opened) = Store::open(node.files.synced_snapshot()).ok()?;
    let Opened::Existing(records) = opened else {
        return None;
    };
    Record::decode(records.get("part-7")?, 1 << 20)
        .ok()?
        .accepted
}

/// Whether a vote is of this chosen state, or of a later slot, which is only proposed on top of it.
fn holds(vote: &SharedVote, state: &State) -> bool {
    let is_later = vote.state.slot > state.slot;
    is_later
        || (vote.state.slot == state.slot && vote.state.recent_proposals == state.recent_proposals)
}
