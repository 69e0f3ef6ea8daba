//! Faults drawn by seed: power losses, lost disks, partitions, freezes, slow or failing disks, and replaced machines.
use super::event::Event;
use super::network::{NetworkConditions, Partition};
use super::node::{DiskState, LostDisk};
use super::replicas::synced_vote;
use super::{CONTACT_TIMEOUT, Fleet, MILLISECOND, Nanos};

/// Duration for which a lost disk counts toward the tolerated losses, so that the group can catch up.
const LOST_DISK_PERIOD: Nanos = 4 * CONTACT_TIMEOUT;

/// Interval between two checks of a leaving node whether it may shut down.
const LEAVE_INTERVAL: Nanos = CONTACT_TIMEOUT / 4;

/// Number of times that a flapping node is killed.
const FLAPS: usize = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Kill,
    PowerLoss,
    /// All machines lose power at once.
    SitePowerLoss,
    Wipe,
    Replace,
    Leave,
    /// One machine crashes repeatedly and restarts each time before its last messages have arrived.
    Flap,
    /// One link is partitioned.
    LinkPartition,
    /// The nodes are partitioned into two sides.
    SitePartition,
    Freeze,
    Disk,
    Network,
}

/// The mix of injected faults: all kinds of faults, or many faults of a few kinds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FaultMix {
    #[default]
    Mixed,
    Flaps,
    Departures,
    Wipes,
    /// Members leave and are replaced while disks have faults.
    Joins,
}

impl FaultMix {
    fn weights(self) -> &'static [(Fault, u16)] {
        match self {
            FaultMix::Mixed => &[
                (Fault::Kill, 3),
                (Fault::PowerLoss, 2),
                (Fault::SitePowerLoss, 1),
                (Fault::Wipe, 2),
                (Fault::Replace, 1),
                (Fault::Leave, 1),
                (Fault::Flap, 1),
                (Fault::LinkPartition, 2),
                (Fault::SitePartition, 1),
                (Fault::Freeze, 2),
                (Fault::Disk, 3),
                (Fault::Network, 2),
            ],
            FaultMix::Flaps => &[(Fault::Flap, 4), (Fault::Network, 1)],
            FaultMix::Departures => &[
                (Fault::Leave, 4),
                (Fault::SitePartition, 2),
                (Fault::Network, 1),
            ],
            FaultMix::Joins => &[(Fault::Leave, 4), (Fault::Disk, 4), (Fault::Replace, 1)],
            FaultMix::Wipes => &[
                (Fault::Wipe, 3),
                (Fault::LinkPartition, 2),
                (Fault::Disk, 2),
                (Fault::Network, 1),
            ],
        }
    }
}

impl Fleet {
    /// Injects a fault and schedules the next one.
    pub fn inject_fault(&mut self) {
        if self.now >= self.faults_end {
            return;
        }
        let interval = self.rng.u64(20..500) * MILLISECOND;
        self.schedule(interval, Event::InjectFault);
        let present = self.present_nodes();
        let node = present[self.rng.usize(..present.len())];
        let span = self.rng.u64(20..1_500) * MILLISECOND;
        // In half of the cases the node restarts before its last messages have arrived.
        let restart_delay = if span.is_multiple_of(2) {
            span / 100
        } else {
            span / 4
        };
        match self.draw_fault() {
            Fault::Kill => self.kill(node, restart_delay),
            Fault::PowerLoss => self.lose_power(node, restart_delay),
            Fault::SitePowerLoss => self.lose_power_of_all(&present),
            Fault::Wipe if self.may_lose_disk() => self.wipe(node, span / 4),
            Fault::Replace if self.may_lose_disk() => self.replace(node),
            Fault::Wipe | Fault::Replace => {}
            Fault::Leave => self.leave(node),
            Fault::Flap => self.flap(node),
            Fault::LinkPartition => {
                let peer = present[self.rng.usize(..present.len())];
                self.partition_link(node, peer, span);
            }
            Fault::SitePartition => self.partition_site(span),
            Fault::Freeze => self.freeze(node, span),
            Fault::Disk => self.inject_disk_fault(node, span),
            Fault::Network => self.inject_network_fault(),
        }
    }

    /// Draws a fault according to the weights of the mix.
    fn draw_fault(&mut self) -> Fault {
        let weights = self.fault_mix.weights();
        let sum: u16 = weights.iter().map(|(_, weight)| weight).sum();
        let mut draw = self.rng.u16(..sum);
        for (fault, weight) in weights {
            if draw < *weight {
                return *fault;
            }
            draw -= weight;
        }
        unreachable!("the draw is below the sum of all weights")
    }

    fn lose_power_of_all(&mut self, nodes: &[usize]) {
        for &node in nodes {
            let restart_delay = self.rng.u64(..1_000) * MILLISECOND;
            self.lose_power(node, restart_delay);
        }
    }

    fn flap(&mut self, node: usize) {
        for _ in 0..FLAPS {
            let delay = self.rng.u64(..800) * MILLISECOND;
            self.schedule(delay, Event::Flap { node });
        }
    }

    fn partition_link(&mut self, node: usize, peer: usize, span: Nanos) {
        let both_ways = self.rng.bool();
        let milliseconds = span / MILLISECOND;
        self.log(|| {
            format!(
                "partition from node {node} to node {peer}, both ways: {both_ways}, {milliseconds} ms"
            )
        });
        self.partition(node, peer, span);
        if both_ways {
            self.partition(peer, node, span);
        }
    }

    fn partition(&mut self, from: usize, to: usize, span: Nanos) {
        let end = self.now + span;
        self.partitions.push(Partition { from, to, end });
    }

    fn partition_site(&mut self, span: Nanos) {
        let sides: Vec<bool> = (0..self.nodes.len()).map(|_| self.rng.bool()).collect();
        self.log(|| {
            format!(
                "partition of the site: {sides:?}, {} ms",
                span / MILLISECOND
            )
        });
        for from in 0..sides.len() {
            for to in (0..sides.len()).filter(|&to| sides[from] != sides[to]) {
                self.partition(from, to, span);
            }
        }
    }

    fn freeze(&mut self, node: usize, span: Nanos) {
        self.log(|| format!("node {node} is frozen for {} ms", span / MILLISECOND));
        self.nodes[node].frozen_until = self.now + span;
    }

    fn inject_disk_fault(&mut self, node: usize, span: Nanos) {
        let states = [
            DiskState::Slow,
            DiskState::Stalled,
            DiskState::Failing,
            DiskState::Full,
        ];
        let disk_state = states[self.rng.usize(..states.len())];
        self.log(|| {
            format!(
                "disk of node {node}: {disk_state:?} for {} ms",
                span / MILLISECOND
            )
        });
        self.nodes[node].disk_state = disk_state;
        self.nodes[node].disk_recovers_at = self.now + span;
    }

    fn inject_network_fault(&mut self) {
        let conditions = NetworkConditions {
            loss: self.rng.u8(..90),
            duplication: self.rng.u8(..60),
            long_delay: self.rng.u8(..40),
            max_delay: self.rng.u64(1..120) * MILLISECOND,
        };
        self.log(|| format!("{conditions:?}"));
        self.network = conditions;
    }

    /// Whether another disk may be lost. At most as many disks as the first group tolerates may be lost at the same
    /// time, including the disks of spares. A lost disk counts until every remaining disk has a group without it, which
    /// is the purpose of the setting `catch_up_s`.
    fn may_lose_disk(&self) -> bool {
        self.lost_disk_ids().len() < self.max_lost_disks()
    }

    /// Ids of the disks that currently count as lost.
    pub fn lost_disk_ids(&self) -> Vec<u64> {
        let newest = self.monitor.newest_state();
        let newest_slot = newest.map_or(0, |state| state.slot);
        let members = newest.into_iter().flat_map(|state| state.members.clone());
        let electors = self
            .nodes
            .iter()
            .filter(|node| !node.is_removed)
            .filter_map(synced_vote)
            .filter(|vote| vote.state.slot >= newest_slot)
            .flat_map(|vote| vote.electorate());
        let mut lost: Vec<u64> = members
            .chain(electors)
            .map(|member| member.disk_id)
            .filter(|&disk_id| self.node_with_disk(disk_id).is_none())
            .collect();
        let recently_lost = self
            .lost_disks
            .iter()
            .filter(|disk| disk.lost_at + LOST_DISK_PERIOD > self.now);
        lost.extend(recently_lost.map(|disk| disk.disk_id));
        lost.sort_unstable();
        lost.dedup();
        lost
    }

    fn record_lost_disk(&mut self, node: usize) {
        self.lost_disks.push(LostDisk {
            disk_id: self.nodes[node].member.disk_id,
            lost_at: self.now,
        });
        self.replicas_changed = true;
    }

    pub fn kill(&mut self, node: usize, restart_delay: Nanos) {
        if self.nodes[node].register.take().is_none() {
            return;
        }
        self.log(|| format!("kill node {node}"));
        self.interrupt_store(node);
        self.nodes[node].files.clear_failure();
        self.schedule_start(node, restart_delay);
    }

    pub fn lose_power(&mut self, node: usize, restart_delay: Nanos) {
        let was_running = self.nodes[node].register.take().is_some();
        self.log(|| format!("node {node} loses power"));
        if was_running {
            self.interrupt_store(node);
            self.schedule_start(node, restart_delay);
        }
        self.nodes[node].files.lose_power();
    }

    pub fn wipe(&mut self, node: usize, restart_delay: Nanos) {
        self.log(|| format!("wipe node {node}"));
        let was_running = self.nodes[node].register.take().is_some();
        self.nodes[node].files.wipe();
        self.nodes[node].store = None;
        self.record_lost_disk(node);
        // The disk id no longer exists, also while the machine is down.
        if !self.defects.wiped_disk_keeps_id {
            self.nodes[node].member.disk_id = 0;
        }
        if was_running {
            self.schedule_start(node, restart_delay);
        }
    }

    fn replace(&mut self, node: usize) {
        self.nodes[node].register = None;
        self.nodes[node].is_removed = true;
        self.record_lost_disk(node);
        if self.nodes[node].is_leaving {
            // The node's successor was added when the node began to leave.
            return self.log(|| format!("node {node} is lost while it leaves"));
        }
        let successor = self.add_node();
        self.log(|| format!("node {node} is replaced by node {successor}"));
        self.schedule_start(successor, 100 * MILLISECOND);
    }

    /// The node announces that it leaves, and a successor starts. The node shuts down once it is in no group.
    fn leave(&mut self, node: usize) {
        let is_another_leaving = self.nodes.iter().any(|n| n.is_leaving && !n.is_removed);
        if self.nodes[node].is_leaving || is_another_leaving {
            return;
        }
        let successor = self.add_node();
        self.log(|| format!("node {node} leaves, its successor is node {successor}"));
        self.nodes[node].is_leaving = true;
        self.schedule_start(successor, 0);
        self.schedule(LEAVE_INTERVAL, Event::TryToLeave { node });
    }

    pub fn try_to_leave(&mut self, index: usize) {
        let node = &self.nodes[index];
        if node.is_removed {
            return;
        }
        let may_leave = node.register.as_ref().is_some_and(|r| r.may_leave());
        if !may_leave {
            return self.schedule(LEAVE_INTERVAL, Event::TryToLeave { node: index });
        }
        self.replicas_changed = true;
        self.log(|| format!("node {index} has left"));
        self.nodes[index].register = None;
        self.nodes[index].is_removed = true;
    }

    pub fn end_all_faults(&mut self) {
        self.log(|| "all faults end".to_owned());
        self.network = NetworkConditions::reliable();
        self.partitions.clear();
        for node in &mut self.nodes {
            node.frozen_until = 0;
            node.disk_state = DiskState::Healthy;
            node.disk_recovers_at = 0;
        }
    }
}
