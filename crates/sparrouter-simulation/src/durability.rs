//! Whether any further loss that the tolerance allows leaves the control state on the disks of groups that can act.
//!
//! A machine counts as lost while it is down and until it has been up for `catch_up` again, or its successor has. The
//! disks are read as a loss of power would leave them.
use crate::cluster::SimulatedCluster;
use sparrouter_consensus::{Member, Record, SharedVote, VoteId};
use sparrouter_storage::{Opened, Store};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// Between two looks at the disks.
const LOOK: Duration = Duration::from_millis(25);
/// Largest record that is read.
const MAX_RECORD_BYTES: usize = 16 << 20;

/// Votes on the disks that are there, by disk.
type Votes = BTreeMap<u64, SharedVote>;

/// Looks at the disks of the counted machines again and again, and reports to the judge.
pub struct DurabilityMonitor {
    cluster: Rc<SimulatedCluster>,
    catch_up: Duration,
    began: Instant,
    /// The newest vote of each part that was chosen, by the disks.
    chosen: BTreeMap<String, SharedVote>,
}

impl DurabilityMonitor {
    /// Watches for as long as the world is told of; machines that run now count as there.
    pub fn start(cluster: &Rc<SimulatedCluster>, catch_up: Duration) {
        let mut monitor = DurabilityMonitor {
            cluster: cluster.clone(),
            catch_up,
            began: Instant::now(),
            chosen: BTreeMap::new(),
        };
        spawn_local(async move {
            loop {
                monitor.look();
                sleep(LOOK).await;
            }
        });
    }

    fn look(&mut self) {
        let running = running(&self.cluster);
        let parts = votes_by_part(&self.cluster, &running);
        let spare = self.spare(&running);
        for (part, votes) in parts {
            self.note_chosen(&part, &votes);
            if let Some(chosen) = self.chosen.get(&part)
                && let Some(what) = weakness(chosen, &votes, spare)
            {
                self.cluster
                    .monitor
                    .report_violation("COPIES", format!("{part}: {what}, {running:?} run"));
            }
        }
    }

    /// How many more machines may be lost now.
    fn spare(&self, running: &[String]) -> usize {
        let settled = running.iter().filter(|name| {
            self.cluster
                .up_since(name)
                .is_some_and(|at| at <= self.began || at.elapsed() >= self.catch_up)
        });
        let settings = &self.cluster.settings;
        let lost = settings.core.saturating_sub(settled.count());
        settings.tolerated().saturating_sub(lost)
    }

    fn note_chosen(&mut self, part: &str, votes: &Votes) {
        if let Some(newest) = newest_chosen(votes)
            && self
                .chosen
                .get(part)
                .is_none_or(|known| known.id() < newest.id())
        {
            self.chosen.insert(part.to_owned(), newest.clone());
        }
    }
}

/// Whether every part's group is made of machines of the core that run, each with the newest chosen state on its disk.
pub fn is_repaired(cluster: &SimulatedCluster) -> bool {
    let parts = votes_by_part(cluster, &running(cluster));
    let is_whole = |votes: &Votes| {
        newest_chosen(votes).is_some_and(|chosen| {
            let has_copy = |m: &Member| {
                votes
                    .get(&m.disk_id)
                    .is_some_and(|vote| holds(vote, chosen))
            };
            chosen.state.members.iter().all(has_copy)
        })
    };
    !parts.is_empty() && parts.values().all(is_whole)
}

fn running(cluster: &SimulatedCluster) -> Vec<String> {
    let core = cluster.core();
    core.into_iter().filter(|name| cluster.runs(name)).collect()
}

fn votes_by_part(cluster: &SimulatedCluster, machines: &[String]) -> BTreeMap<String, Votes> {
    let mut parts: BTreeMap<String, Votes> = BTreeMap::new();
    for name in machines {
        for (part, disk, vote) in synced_votes(cluster, name) {
            parts.entry(part).or_default().insert(disk, vote);
        }
    }
    parts
}

fn newest_chosen(votes: &Votes) -> Option<&SharedVote> {
    votes
        .values()
        .filter(|vote| is_chosen(vote, votes))
        .max_by_key(|vote| vote.id())
}

/// Why a part would not survive `spare` more losses; the worst ones take the members that hold the state.
fn weakness(chosen: &SharedVote, votes: &Votes, spare: usize) -> Option<String> {
    let members = &chosen.state.members;
    let present = |m: &&Member| votes.contains_key(&m.disk_id);
    let able = members.iter().filter(present).count();
    let holders = members
        .iter()
        .filter(|m| {
            votes
                .get(&m.disk_id)
                .is_some_and(|vote| holds(vote, chosen))
        })
        .count();
    let majority = members.len() / 2 + 1;
    if holders <= spare {
        return Some(format!(
            "slot {} is on {holders} disks and {spare} more may be lost",
            chosen.state.slot
        ));
    }
    (able < majority + spare).then(|| {
        format!(
            "{able} members of the group of slot {} are there, {majority} must vote, {spare} more may be lost",
            chosen.state.slot
        )
    })
}

/// Whether a vote is of this chosen state or of a later slot, which is only proposed on top of it.
fn holds(vote: &SharedVote, chosen: &SharedVote) -> bool {
    let is_same = vote.state.recent_proposals == chosen.state.recent_proposals;
    vote.state.slot > chosen.state.slot || (vote.state.slot == chosen.state.slot && is_same)
}

fn is_chosen(vote: &SharedVote, votes: &Votes) -> bool {
    let at: VoteId = vote.id();
    let has = |disk| votes.get(&disk).is_some_and(|v| v.id() == at);
    let majority =
        |members: &[Member]| members.iter().filter(|m| has(m.disk_id)).count() > members.len() / 2;
    majority(vote.governing()) && majority(&vote.state.members)
}

/// The votes that a machine would find after a loss of power: part, disk, vote.
fn synced_votes(cluster: &SimulatedCluster, name: &str) -> Vec<(String, u64, SharedVote)> {
    let files = cluster.disk(name).files.synced_snapshot();
    let Ok((_, Opened::Existing(records))) = Store::open(files) else {
        return Vec::new();
    };
    let disk = records
        .get("disk")
        .and_then(|bytes| Some(u64::from_le_bytes(bytes.as_slice().try_into().ok()?)));
    let Some(disk) = disk else {
        return Vec::new();
    };
    let parts = records.iter().filter(|(name, _)| name.starts_with("part-"));
    parts
        .filter_map(|(name, bytes)| {
            let record = Record::decode(bytes, MAX_RECORD_BYTES).ok()?;
            Some((name.clone(), disk, record.accepted?))
        })
        .collect()
}
