//! Faults and planned work that happen during a scenario. A new one is a function and a line in the table below.
//!
//! | file | its job |
//! | --- | --- |
//! | `core` | faults of core machines |
//! | `nodes` | faults of other nodes, and of all nodes at once |
//! | `servers` | faults of servers and stores |
//! | `configuration` | changes by the operator |
//! | `combined` | sequences of several faults |
//! | `departures` | servers that leave beside faults of nodes |
//! | `schedule` | which of them happen in a scenario, and when |

mod combined;
mod configuration;
mod core;
mod departures;
mod nodes;
mod schedule;
mod servers;

pub use schedule::{FaultSchedule, ScheduledFault};

use crate::scenario::ScenarioRun;

/// Defines [`Fault`], the lists of faults, and how each is injected, from two tables. Scenarios are drawn from the first by
/// index, so its order and length decide what a seed means; the second is drawn apart, in scenarios that ask for it.
macro_rules! define_faults {
    (
        drawn: { $($(#[$drawn_attribute:meta])* $drawn:ident => $inject_drawn:path,)* }
        beside_departures: { $($(#[$attribute:meta])* $name:ident => $inject:path,)* }
    ) => {
        /// A fault, or planned work, that happens during a scenario.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Fault {
            $($(#[$drawn_attribute])* $drawn,)*
            $($(#[$attribute])* $name,)*
        }

        /// The faults that every scenario draws from.
        const ALL: &[Fault] = &[$(Fault::$drawn),*];

        /// The faults that [`crate::scenario::Scenario::with_departures`] draws from.
        const BESIDE_DEPARTURES: &[Fault] = &[$(Fault::$name),*];

        impl Fault {
            /// Makes the fault happen, to its end.
            pub(crate) async fn inject(self, run: &ScenarioRun) {
                match self {
                    $(Fault::$drawn => $inject_drawn(run).await,)*
                    $(Fault::$name => $inject(run).await,)*
                }
            }
        }
    };
}

define_faults! {
    drawn: {
        /// A server crashes and restarts.
        ServerCrash => servers::crash_and_restart,
        /// A server crashes for good.
        ServerLost => servers::lose,
        /// All servers crash and restart.
        AllServersCrash => servers::crash_all,
        /// All servers are replaced, one after the other.
        ServerRollout => servers::replace_all,
        /// A node outside of the core is killed and restarts.
        NodeKill => nodes::kill,
        /// A machine outside of the core loses power for a while.
        NodePower => nodes::power_off,
        /// A node of the core is killed and restarts.
        CoreKill => core::kill,
        /// A machine of the core loses power for a while.
        CorePower => core::power_off,
        /// A node of the core freezes for a while.
        CoreFreeze => core::freeze,
        /// A node outside of the core freezes for a while.
        NodeFreeze => nodes::freeze,
        /// All nodes are killed and restart.
        KillAllNodes => nodes::restart_all,
        /// Nodes are ended by SIGTERM and restarted, one after the other.
        RollingRestart => nodes::restart_one_by_one,
        /// A machine of the core is replaced by a new one.
        ReplaceCore => core::replace,
        /// The list of seeds changes.
        SeedChange => nodes::exchange_seeds,
        /// The core machine that acknowledged a configuration loses its disk.
        WipeAcknowledgingMachine => core::wipe_acknowledging,
        /// The disk of a core machine is slow for a while.
        DiskSlow => core::slow_disk,
        /// The disk of a core machine is full for a while.
        DiskFull => core::fill_disk,
        /// The disk of a core machine does nothing for a while.
        DiskStall => core::stall_disk,
        /// A core machine is partitioned; packets to it are lost.
        CorePartition => core::partition,
        /// A core machine is partitioned; connections to it are refused.
        CoreConnectionsRefused => core::refuse_connections,
        /// Packets of a core machine to the rest of the core are lost.
        OneWayPartition => core::partition_one_way,
        /// A machine outside of the core is partitioned.
        NodePartition => nodes::partition,
        /// All connections of a node outside of the core are reset.
        ConnectionResets => nodes::reset_connections,
        /// The configuration changes.
        ConfigurationChange => configuration::change,
        /// The configuration changes many times in a row.
        ConfigurationBurst => configuration::change_in_burst,
        /// Two operators change the same version of the configuration.
        ConfigurationRace => configuration::race,
        /// A change that was acknowledged before a later one is sent once more, unchanged.
        ConfigurationRepeated => configuration::repeat_change,
        /// An invalid configuration is sent.
        InvalidConfiguration => configuration::submit_invalid,
        /// The API key of a tenant is replaced.
        KeyReplaced => configuration::replace_key,
        /// New weights are named.
        NewWeights => configuration::name_weights,
        /// The KV store restarts empty.
        StoreLost => servers::empty_store,
        /// A server resets connections.
        ServerResets => servers::reset,
        /// A server sends malformed and surplus responses.
        MalformedAnswers => servers::garble,
        /// A server breaks off its streams.
        BrokenStreams => servers::break_off,
        /// A server crashes and another one gets its address.
        AddressReused => servers::reuse_address,
        /// A server does not respond to some requests.
        UnresponsiveServer => servers::hang,
        /// A zone with a core machine is partitioned.
        ZonePartition => core::partition_zone,
        /// The process of a core machine is slow.
        CoreSlow => core::slow,
        /// The process of a node outside of the core is slow.
        NodeSlow => nodes::slow,
        /// Clients send far more requests.
        Overload => nodes::overload,
        /// A node outside of the core loses power just after it acknowledged that a server drains.
        DrainRace => servers::lose_acknowledging_node,
        /// Two operators change the same version, one of them at a node that is partitioned at that moment and restarts later.
        RacePartition => combined::race_in_partition,
        /// A change is acknowledged while less than half of the core is partitioned. Then a machine that accepted it loses its disk
        /// and the others power, and those that were partitioned return first.
        WipeBehindPartition => combined::wipe_behind_partition,
        /// Every machine of the core is replaced while another node is partitioned.
        CoreTurnover => combined::replace_core,
        /// A core machine is partitioned from the rest of the core only.
        CoreSplit => combined::split_core,
        /// The owner of a rollout lease freezes for longer than its lease.
        LeaseOwnerFreeze => combined::freeze_lease_owner,
        /// Servers reset most connections, and all processes are killed twice meanwhile.
        RetryBudgetPressure => combined::press_retry_budget,
    }
    beside_departures: {
        /// All processes are killed, or all machines lose power, right after it was acknowledged that a server leaves.
        KillAfterDeparture => departures::kill_all_after_acknowledgement,
        /// Servers leave and others of another service are added, while requests wait for permits from a frozen lease holder.
        ReplacedBesideFrozenLeaseOwner => departures::replace_beside_frozen_lease_owner,
        /// A server responds with failures, and breaks some of them off.
        BrokenFailures => servers::break_off_failures,
        /// A server sends malformed bytes behind an event of some of its streams.
        RottenStreams => servers::rot_streams,
    }
}

use Fault::*;

/// Faults that are likely to bring out defects together: races, disks, updates of nodes, replaced machines, weights,
/// responses, the retry budget, draining servers.
const THEMES: [&[Fault]; 8] = [
    &[
        ConfigurationRace,
        RacePartition,
        RacePartition,
        CoreKill,
        CorePower,
        CorePartition,
        CoreFreeze,
        DiskSlow,
        ConfigurationRepeated,
        KeyReplaced,
    ],
    &[
        WipeAcknowledgingMachine,
        WipeBehindPartition,
        WipeBehindPartition,
        CorePower,
        DiskStall,
        DiskSlow,
        ConfigurationBurst,
        ReplaceCore,
    ],
    &[
        ConfigurationBurst,
        KeyReplaced,
        CoreSplit,
        NodePartition,
        NodeFreeze,
        OneWayPartition,
        ConfigurationChange,
        CorePartition,
        NodeSlow,
    ],
    &[
        ReplaceCore,
        CoreTurnover,
        SeedChange,
        ConfigurationChange,
        NodeKill,
        WipeBehindPartition,
    ],
    &[
        NewWeights,
        LeaseOwnerFreeze,
        LeaseOwnerFreeze,
        ServerRollout,
        StoreLost,
        CorePartition,
        ServerCrash,
        AddressReused,
    ],
    &[
        ServerResets,
        MalformedAnswers,
        BrokenStreams,
        UnresponsiveServer,
        NodeKill,
        ConnectionResets,
        AllServersCrash,
        Overload,
    ],
    &[
        RetryBudgetPressure,
        RetryBudgetPressure,
        ConfigurationChange,
        NodeSlow,
        NewWeights,
    ],
    &[
        ServerRollout,
        DrainRace,
        DrainRace,
        DrainRace,
        AddressReused,
        RollingRestart,
        ServerLost,
        NewWeights,
    ],
];
