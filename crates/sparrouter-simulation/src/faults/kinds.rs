//! The kinds of faults and planned work, and which of them are drawn together.

/// Defines [`Fault`] and the list of all its kinds from one list. Days are drawn from it by index, so the order decides what
/// a seed means: new kinds go to the end.
macro_rules! define_faults {
    ($($(#[$attribute:meta])* $name:ident,)*) => {
        /// A kind of fault, or of planned work, that happens during a simulated day.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Fault {
            $($(#[$attribute])* $name,)*
        }

        /// All kinds.
        pub(super) const ALL: &[Fault] = &[$(Fault::$name),*];
    };
}

define_faults! {
    /// A server crashes and restarts.
    ServerCrash,
    /// A server crashes for good.
    ServerLost,
    /// All servers crash and restart.
    AllServersCrash,
    /// All servers are replaced, one after the other.
    ServerRollout,
    /// A node outside of the core is killed and restarts.
    NodeKill,
    /// A machine outside of the core loses power for a while.
    NodePower,
    /// A node of the core is killed and restarts.
    CoreKill,
    /// A machine of the core loses power for a while.
    CorePower,
    /// A node of the core freezes for a while.
    CoreFreeze,
    /// A node outside of the core freezes for a while.
    NodeFreeze,
    /// All nodes are killed and restart.
    KillAllNodes,
    /// Nodes are ended by SIGTERM and restarted, one after the other.
    RollingRestart,
    /// A machine of the core is replaced by a new one.
    ReplaceCore,
    /// The list of seeds changes.
    SeedChange,
    /// The core machine that acknowledged a configuration loses its disk.
    WipeAcknowledgingMachine,
    /// The disk of a core machine is slow for a while.
    DiskSlow,
    /// The disk of a core machine is full for a while.
    DiskFull,
    /// The disk of a core machine does nothing for a while.
    DiskStall,
    /// A core machine is cut off; packets to it are lost.
    CorePartition,
    /// A core machine is cut off; connections to it are refused.
    CoreConnectionsRefused,
    /// Packets of a core machine to the rest of the core are lost.
    OneWayPartition,
    /// A machine outside of the core is cut off.
    NodePartition,
    /// All connections of a node outside of the core are reset.
    ConnectionResets,
    /// The configuration changes.
    ConfigurationChange,
    /// The configuration changes many times in a row.
    ConfigurationBurst,
    /// Two operators change the same version of the configuration.
    ConfigurationRace,
    /// A change that was acknowledged before a later one is sent once more, unchanged.
    ConfigurationRepeated,
    /// An invalid configuration is sent.
    InvalidConfiguration,
    /// The API key of a tenant is replaced.
    KeyReplaced,
    /// New weights are named.
    NewWeights,
    /// The KV store restarts empty.
    StoreLost,
    /// A server resets connections.
    ServerResets,
    /// A server sends malformed and surplus answers.
    MalformedAnswers,
    /// A server breaks off its answers.
    BrokenStreams,
    /// A server crashes and another one gets its address.
    AddressReused,
    /// A server stops answering some requests.
    UnresponsiveServer,
    /// A zone with a core machine is cut off.
    ZonePartition,
    /// The link of a core machine is slow.
    CoreSlow,
    /// The link of a machine outside of the core is slow.
    NodeSlow,
    /// Clients send far more requests.
    Overload,
    /// A node outside of the core loses power just after it acknowledged that a server drains.
    DrainRace,
    /// Two operators change the same version, one of them at a node that is cut off at that moment and restarts later.
    RacePartition,
    /// A change is acknowledged while less than half of the core is cut off. Then a machine that accepted it loses its disk
    /// and the others power, and those that were cut off return first.
    WipeBehindPartition,
    /// Every machine of the core is replaced while another node is cut off.
    CoreTurnover,
    /// A core machine is cut off from the rest of the core only.
    CoreSplit,
    /// The holder of a rollout lease freezes for longer than its lease.
    LeaseOwnerFreeze,
    /// Servers reset most connections, and all processes are killed twice meanwhile.
    RetryBudgetPressure,
}

use Fault::*;

/// Kinds that are likely to bring out mistakes together: races, disks, updates of nodes, replaced machines, weights, answers,
/// the retry budget, servers that leave.
pub(super) const THEMES: [&[Fault]; 8] = [
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
