//! Partitions between the fleet's machines.

use super::SimulatedCluster;
use crate::network::Partition;
use std::net::IpAddr;

/// Which links of a core machine are partitioned. Links to clients, operators and servers stay up in all cases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionScope {
    /// To all machines of the fleet.
    All,
    /// To the other core machines.
    Core,
    /// To the other core machines and all machines of other zones.
    CoreAndOtherZones,
    /// From the other core machines to this one: what they send does not arrive here.
    Inbound,
    /// From this one to the other core machines: what it sends does not arrive there.
    Outbound,
}

impl PartitionScope {
    /// All of them.
    pub const ALL: [PartitionScope; 5] = [
        PartitionScope::All,
        PartitionScope::Core,
        PartitionScope::CoreAndOtherZones,
        PartitionScope::Inbound,
        PartitionScope::Outbound,
    ];
}

impl SimulatedCluster {
    /// Partitions machines from all others of the fleet; `None` repairs the links.
    pub fn partition(&self, names: &[&str], partition: Option<Partition>) {
        self.monitor
            .trace(format!("{names:?} partitioned: {partition:?}"));
        for inside in names {
            let is_outside = |name: &&String| !names.contains(&name.as_str());
            for outside in self.names().iter().filter(is_outside) {
                self.network
                    .partition_both(self.ip(inside), self.ip(outside), partition);
            }
            self.report_partition(inside, partition);
        }
    }

    /// Partitions a zone's machines and servers from all others; `None` repairs the links.
    pub fn partition_zone(&self, zone: &str, partition: Option<Partition>) {
        let names = self.names();
        let inside: Vec<&str> = names
            .iter()
            .map(String::as_str)
            .filter(|name| self.zone_of(name) == zone)
            .collect();
        self.partition(&inside, partition);
        for server in self.servers.borrow().values() {
            let settings = &server.server.settings;
            for name in &names {
                if (self.zone_of(name) == zone) != (settings.zone == zone) {
                    let server_ip = settings.address.ip();
                    self.network
                        .partition_both(self.ip(name), server_ip, partition);
                }
            }
        }
    }

    /// Partitions a core machine in this scope; `None` repairs the links.
    pub fn partition_core(&self, name: &str, scope: PartitionScope, partition: Option<Partition>) {
        self.monitor
            .trace(format!("{name} partitioned {scope:?}: {partition:?}"));
        let ip = self.ip(name);
        for other in self.names().iter().filter(|other| *other != name) {
            self.partition_link(name, ip, other, scope, partition);
        }
        self.report_partition(name, partition);
    }

    fn partition_link(
        &self,
        name: &str,
        ip: IpAddr,
        other: &str,
        scope: PartitionScope,
        partition: Option<Partition>,
    ) {
        let is_core = self.core().iter().any(|core| core == other);
        let is_other_zone = self.zone_of(other) != self.zone_of(name);
        let other_ip = self.ip(other);
        let network = &self.network;
        match scope {
            PartitionScope::All => network.partition_both(ip, other_ip, partition),
            PartitionScope::Core if is_core => network.partition_both(ip, other_ip, partition),
            PartitionScope::CoreAndOtherZones if is_core || is_other_zone => {
                network.partition_both(ip, other_ip, partition);
            }
            PartitionScope::Inbound if is_core => network.partition(other_ip, ip, partition),
            PartitionScope::Outbound if is_core => network.partition(ip, other_ip, partition),
            PartitionScope::Core
            | PartitionScope::CoreAndOtherZones
            | PartitionScope::Inbound
            | PartitionScope::Outbound => {}
        }
    }

    fn report_partition(&self, name: &str, partition: Option<Partition>) {
        match partition {
            Some(_) => self.report_fault(name),
            None => self.report_resumed(name),
        }
    }
}
