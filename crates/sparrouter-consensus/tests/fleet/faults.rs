//! Faults by seed: losses of power and disks, partitions, freezes, slow or failing disks, machines replaced.
use super::event::Event;
use super::network::{NetworkConditions, Partition};
use super::node::{DiskState, LostDisk};
use super::replicas::synced_vote;
use super::{CONTACT_TIMEOUT, Fleet, MILLISECOND, Nanos};

/// A disk that was lost counts as lost for so long.
const CATCH_UP: Nanos = 4 * CONTACT_TIMEOUT;

/// Between two looks of a leaving machine whether it may end.
const LEAVE_INTERVAL: Nanos = CONTACT_TIMEOUT / 4;

/// Kills of a node that flaps.
const FLAPS: usize = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Kill,
    PowerLoss,
    /// Power of all at once.
    SitePowerLoss,
    Wipe,
    Replace,
    Leave,
    /// One machine fails again and again, each time back before its last messages have arrived.
    Flap,
    /// One link.
    LinkPartition,
    /// The nodes in two halves.
    SitePartition,
    Freeze,
    Disk,
    Network,
}

/// Which faults are injected: all, or few and many of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FaultMix {
    #[default]
    Mixed,
    Flaps,
    Departures,
    Wipes,
    /// Members leave while disks stall.
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
    /// Injects one fault, and schedules the next.
    pub fn inject_fault(&mut self) {
        if self.now >= self.faults_end {
            return;
        }
        let interval = self.rng.u64(20..500) * MILLISECOND;
        self.schedule(interval, Event::InjectFault);
        let present = self.present_nodes();
        let node = present[self.rng.usize(..present.len())];
        let span = self.rng.u64(20..1_500) * MILLISECOND;
        // Now and then it is back before its last messages have arrived.
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
                let other = present[self.rng.usize(..present.len())];
                self.partition_link(node, other, span);
            }
            Fault::SitePartition => self.partition_site(span),
            Fault::Freeze => self.freeze(node, span),
            Fault::Disk => self.disturb_disk(node, span),
            Fault::Network => self.disturb_network(),
        }
    }

    /// By weight.
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

    fn partition_link(&mut self, node: usize, other: usize, span: Nanos) {
        let both_ways = self.rng.bool();
        let milliseconds = span / MILLISECOND;
        self.log(|| {
            format!("partition {node} to {other}, both ways {both_ways}, {milliseconds} ms")
        });
        self.partition(node, other, span);
        if both_ways {
            self.partition(other, node, span);
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
        self.log(|| format!("freeze {node}, {} ms", span / MILLISECOND));
        self.nodes[node].frozen_until = self.now + span;
    }

    fn disturb_disk(&mut self, node: usize, span: Nanos) {
        let states = [
            DiskState::Slow,
            DiskState::Stalled,
            DiskState::Failing,
            DiskState::Full,
        ];
        let disk_state = states[self.rng.usize(..states.len())];
        self.log(|| format!("disk of {node} {disk_state:?}, {} ms", span / MILLISECOND));
        self.nodes[node].disk_state = disk_state;
        self.nodes[node].disk_recovery = self.now + span;
    }

    fn disturb_network(&mut self) {
        let conditions = NetworkConditions {
            loss: self.rng.u8(..90),
            duplication: self.rng.u8(..60),
            straying: self.rng.u8(..40),
            max_delay: self.rng.u64(1..120) * MILLISECOND,
        };
        self.log(|| format!("{conditions:?}"));
        self.network = conditions;
    }

    /// Only as many disks as the first group can spare may be lost at one time, spares' too. Until every disk that is
    /// left has a group without the lost ones, they still count: this is what `catch_up_s` is for.
    fn may_lose_disk(&self) -> bool {
        self.lost_disk_ids().len() < self.tolerated()
    }

    /// Disks that count as lost at the moment.
    pub fn lost_disk_ids(&self) -> Vec<u64> {
        let newest = self.monitor.newest_state();
        let newest_slot = newest.map_or(0, |state| state.slot);
        let members = newest.into_iter().flat_map(|state| state.members.clone());
        let electors = self
            .nodes
            .iter()
            .filter(|node| !node.is_gone)
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
            .filter(|disk| disk.lost_at + CATCH_UP > self.now);
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
        self.log(|| format!("kill {node}"));
        self.interrupt_store(node);
        self.nodes[node].files.clear_failure();
        self.schedule_start(node, restart_delay);
    }

    pub fn lose_power(&mut self, node: usize, restart_delay: Nanos) {
        let was_running = self.nodes[node].register.take().is_some();
        self.log(|| format!("power of {node} lost"));
        if was_running {
            self.interrupt_store(node);
            self.schedule_start(node, restart_delay);
        }
        self.nodes[node].files.lose_power();
    }

    pub fn wipe(&mut self, node: usize, restart_delay: Nanos) {
        self.log(|| format!("wipe {node}"));
        let was_running = self.nodes[node].register.take().is_some();
        self.nodes[node].files.wipe();
        self.nodes[node].store = None;
        self.record_lost_disk(node);
        // From now on nobody has this disk any more, also while its machine is down.
        if !self.defects.wiped_disk_keeps_id {
            self.nodes[node].member.disk_id = 0;
        }
        if was_running {
            self.schedule_start(node, restart_delay);
        }
    }

    fn replace(&mut self, node: usize) {
        self.nodes[node].register = None;
        self.nodes[node].is_gone = true;
        self.record_lost_disk(node);
        if self.nodes[node].is_leaving {
            // Its successor came when it began to leave.
            return self.log(|| format!("{node} is lost while it leaves"));
        }
        let successor = self.add_node();
        self.log(|| format!("replace {node} by {successor}"));
        self.schedule_start(successor, 100 * MILLISECOND);
    }

    /// It announces that it leaves, another one comes; it ends when it is in no group any more.
    fn leave(&mut self, node: usize) {
        let is_another_leaving = self.nodes.iter().any(|n| n.is_leaving && !n.is_gone);
        if self.nodes[node].is_leaving || is_another_leaving {
            return;
        }
        let successor = self.add_node();
        self.log(|| format!("{node} leaves, {successor} comes"));
        self.nodes[node].is_leaving = true;
        self.schedule_start(successor, 0);
        self.schedule(LEAVE_INTERVAL, Event::TryToLeave { node });
    }

    pub fn try_to_leave(&mut self, index: usize) {
        let node = &self.nodes[index];
        if node.is_gone {
            return;
        }
        let may_leave = node.register.as_ref().is_some_and(|r| r.may_leave());
        if !may_leave {
            return self.schedule(LEAVE_INTERVAL, Event::TryToLeave { node: index });
        }
        self.replicas_changed = true;
        self.log(|| format!("{index} is gone"));
        self.nodes[index].register = None;
        self.nodes[index].is_gone = true;
    }

    pub fn end_all_faults(&mut self) {
        self.log(|| "all faults end".to_owned());
        self.network = NetworkConditions::calm();
        self.partitions.clear();
        for node in &mut self.nodes {
            node.frozen_until = 0;
            node.disk_state = DiskState::Healthy;
            node.disk_recovery = 0;
        }
    }
}
