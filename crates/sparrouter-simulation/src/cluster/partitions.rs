//! Cuts of one core machine, in all the ways that links between it and the others can fail.
use super::SimulatedCluster;
use crate::network::Partition;
use std::net::IpAddr;

/// Which links of a core machine fail. Links to clients, operators and servers stay up in all cases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionScope {
    /// To all machines of the fleet.
    All,
    /// To the other core machines.
    Core,
    /// To the other core machines and all machines of other zones.
    Near,
    /// From the other core machines to this one: what they send does not arrive here.
    Inward,
    /// From this one to the other core machines: what it sends does not arrive there.
    Outward,
}

impl PartitionScope {
    pub const ALL: [PartitionScope; 5] = [
        PartitionScope::All,
        PartitionScope::Core,
        PartitionScope::Near,
        PartitionScope::Inward,
        PartitionScope::Outward,
    ];
}

impl SimulatedCluster {
    /// Cuts a core machine off in this way, or joins it again.
    pub fn partition_core(&self, name: &str, way: PartitionScope, cut: Option<Partition>) {
        self.monitor
            .trace(format!("{name} cut off {way:?}: {cut:?}"));
        let ip = self.ip(name);
        for other in self.names().iter().filter(|n| *n != name) {
            self.partition_link(name, ip, other, way, cut);
        }
        match cut {
            Some(_) => self.fault_began(name),
            None => {
                self.monitor.fault_ended(Some(ip));
                self.monitor.resumed(ip);
                self.shake(ip, true);
            }
        }
    }

    fn partition_link(
        &self,
        name: &str,
        ip: IpAddr,
        other: &str,
        way: PartitionScope,
        cut: Option<Partition>,
    ) {
        let is_core = self.core().iter().any(|n| n == other);
        let other_zone = self.zone_of(other) != self.zone_of(name);
        let far = self.ip(other);
        match way {
            PartitionScope::All => self.network.partition_both(ip, far, cut),
            PartitionScope::Core if is_core => self.network.partition_both(ip, far, cut),
            PartitionScope::Near if is_core || other_zone => {
                self.network.partition_both(ip, far, cut)
            }
            PartitionScope::Inward if is_core => self.network.cut(far, ip, cut),
            PartitionScope::Outward if is_core => self.network.cut(ip, far, cut),
            PartitionScope::Core
            | PartitionScope::Near
            | PartitionScope::Inward
            | PartitionScope::Outward => {}
        }
    }
}
