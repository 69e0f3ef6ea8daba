//! Whether any further loss that the tolerance allows leaves the control state on the disks of groups that can commit
//! (COPIES).
//!
//! A machine counts as lost while it is down, frozen, cut off or without a working disk, and until that has been over for
//! `catch_up`, or its successor has been up for so long. The disks are read as a loss of power would leave them.

use crate::cluster::SimulatedCluster;
use sparrouter_consensus::{Member, Record, SharedVote};
use sparrouter_storage::{Opened, Store};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// Time between two checks of the disks.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Largest record that is read.
const MAX_RECORD_BYTES: usize = 16 << 20;
/// Names of records on disk: the disk's id, and the prefix of the shards of the control state.
const DISK_RECORD: &str = "disk";
const SHARD_RECORD_PREFIX: &str = "part-";

/// Accepted votes of one shard, by the id of the disk.
type Votes = BTreeMap<u64, SharedVote>;

/// Whether a run keeps to the losses that the core tolerates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Losses {
    /// It does: the disks are always checked.
    WithinTolerance,
    /// It may exceed them: nothing is checked from then on until no machine counts as lost, as a group without a quorum
    /// cannot be repaired before.
    MayExceedTolerance,
}

/// Checks the disks of the core machines again and again, and reports violations to the monitor.
pub struct DurabilityMonitor {
    cluster: Rc<SimulatedCluster>,
    losses: Losses,
    /// More machines were lost than tolerated, and some still count as lost.
    has_exceeded: bool,
    catch_up: Duration,
    started_at: Instant,
    /// The newest committed vote of each shard.
    committed: BTreeMap<String, SharedVote>,
}

impl DurabilityMonitor {
    /// Watches for as long as the runtime runs; machines that run now do not count as lost.
    pub fn start(cluster: &Rc<SimulatedCluster>, losses: Losses, catch_up: Duration) {
        let mut monitor = DurabilityMonitor {
            cluster: cluster.clone(),
            losses,
            has_exceeded: false,
            catch_up,
            started_at: Instant::now(),
            committed: BTreeMap::new(),
        };
        spawn_local(async move {
            loop {
                monitor.check();
                sleep(CHECK_INTERVAL).await;
            }
        });
    }

    fn check(&mut self) {
        let mut running = self.cluster.running_core();
        running.retain(|name| !self.is_impaired(name, Duration::ZERO));
        let tolerated = self.cluster.settings.tolerated_losses();
        let lost = self.lost_count(&running);
        self.has_exceeded = lost > tolerated || (self.has_exceeded && lost > 0);
        if self.has_exceeded && self.losses == Losses::MayExceedTolerance {
            return;
        }
        let votes_by_shard = votes_by_shard(&self.cluster, &running);
        let further_losses = tolerated.saturating_sub(lost);
        for (shard, votes) in votes_by_shard {
            self.update_committed(&shard, &votes);
            if let Some(committed) = self.committed.get(&shard)
                && let Some(weakness) = weakness(committed, &votes, further_losses)
            {
                self.cluster
                    .monitor
                    .report_violation("COPIES", format!("{shard}: {weakness}, {running:?} run"));
            }
        }
    }

    /// Whether the machine has a fault, or had one within so long.
    fn is_impaired(&self, name: &str, within: Duration) -> bool {
        let from = Instant::now().checked_sub(within);
        let from = from.unwrap_or(self.started_at).max(self.started_at);
        let ip = self.cluster.ip(name);
        self.cluster.monitor.is_impaired_since(ip, from)
    }

    /// How many machines count as lost now.
    fn lost_count(&self, running: &[String]) -> usize {
        let has_caught_up = |name: &&String| {
            let is_long_up = self.cluster.up_since(name).is_some_and(|up_since| {
                up_since <= self.started_at || up_since.elapsed() >= self.catch_up
            });
            is_long_up && !self.is_impaired(name, self.catch_up)
        };
        let available = running.iter().filter(has_caught_up).count();
        let core_machines = self.cluster.settings.core_machines;
        core_machines.saturating_sub(available)
    }

    fn update_committed(&mut self, shard: &str, votes: &Votes) {
        let Some(newest) = newest_committed(votes) else {
            return;
        };
        let known = self.committed.get(shard);
        if known.is_none_or(|known| known.id() < newest.id()) {
            self.committed.insert(shard.to_owned(), newest.clone());
        }
    }
}

/// Whether each shard's group is made of running core machines, each with the newest committed state on its disk.
pub fn is_repaired(cluster: &SimulatedCluster) -> bool {
    let shards = votes_by_shard(cluster, &cluster.running_core());
    let is_complete = |votes: &Votes| {
        newest_committed(votes).is_some_and(|committed| {
            let members = &committed.state.members;
            members_with_state(committed, votes) == members.len()
        })
    };
    !shards.is_empty() && shards.values().all(is_complete)
}

fn votes_by_shard(cluster: &SimulatedCluster, machines: &[String]) -> BTreeMap<String, Votes> {
    let mut shards: BTreeMap<String, Votes> = BTreeMap::new();
    for name in machines {
        let disk = synced_disk(cluster, name);
        for (shard, vote) in disk.votes {
            shards.entry(shard).or_default().insert(disk.id, vote);
        }
    }
    shards
}

fn newest_committed(votes: &Votes) -> Option<&SharedVote> {
    votes
        .values()
        .filter(|vote| is_committed(vote, votes))
        .max_by_key(|vote| vote.id())
}

/// Members of the group with the committed state on their disks.
fn members_with_state(committed: &SharedVote, votes: &Votes) -> usize {
    let has_state = |member: &&Member| {
        let vote = votes.get(&member.disk_id);
        vote.is_some_and(|vote| contains(vote, committed))
    };
    committed.state.members.iter().filter(has_state).count()
}

/// Why a shard would not survive so many further losses; the worst ones are those of members with the state.
fn weakness(committed: &SharedVote, votes: &Votes, further_losses: usize) -> Option<String> {
    let members = &committed.state.members;
    let slot = committed.state.slot;
    let with_state = members_with_state(committed, votes);
    if with_state <= further_losses {
        return Some(format!(
            "slot {slot} is on {with_state} disks and {further_losses} more may be lost"
        ));
    }
    let is_present = |member: &&Member| votes.contains_key(&member.disk_id);
    let present = members.iter().filter(is_present).count();
    let majority = members.len() / 2 + 1;
    (present < majority + further_losses).then(|| {
        format!(
            "{present} members of the group of slot {slot} are there, {majority} must vote, {further_losses} more may be lost"
        )
    })
}

/// Whether a vote is for this committed state, or for a later slot, which is only proposed on top of it.
fn contains(vote: &SharedVote, committed: &SharedVote) -> bool {
    let is_same = vote.state.recent_proposals == committed.state.recent_proposals;
    vote.state.slot > committed.state.slot || (vote.state.slot == committed.state.slot && is_same)
}

/// Whether majorities of the governing group and of the state's own group accepted the vote.
fn is_committed(vote: &SharedVote, votes: &Votes) -> bool {
    let accepted = |member: &&Member| {
        let other = votes.get(&member.disk_id);
        other.is_some_and(|other| other.id() == vote.id())
    };
    let has_majority =
        |members: &[Member]| members.iter().filter(accepted).count() > members.len() / 2;
    has_majority(vote.governing_members()) && has_majority(&vote.state.members)
}

/// What a machine would find on its disk after a loss of power.
#[derive(Default)]
struct SyncedDisk {
    id: u64,
    /// The accepted vote of each shard.
    votes: Vec<(String, SharedVote)>,
}

/// A disk that cannot be read, or that has no id yet, has no votes.
fn synced_disk(cluster: &SimulatedCluster, name: &str) -> SyncedDisk {
    let files = cluster.disk(name).files.synced_snapshot();
    let Ok((_, Opened::Existing(records))) = Store::open(files) else {
        return SyncedDisk::default();
    };
    let id = records.get(DISK_RECORD).and_then(|bytes| {
        let bytes = bytes.as_slice().try_into().ok()?;
        Some(u64::from_le_bytes(bytes))
    });
    let Some(id) = id else {
        return SyncedDisk::default();
    };
    let shards = records
        .iter()
        .filter(|(record, _)| record.starts_with(SHARD_RECORD_PREFIX));
    let votes = shards.filter_map(|(shard, bytes)| {
        let record = Record::decode(bytes, MAX_RECORD_BYTES).ok()?;
        Some((shard.clone(), record.accepted?))
    });
    SyncedDisk {
        id,
        votes: votes.collect(),
    }
}
