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
    Release,
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
    HerdKill,
    /// Nodes are ended by SIGTERM and restarted, one after the other.
    RollTerm,
    /// A machine of the core is replaced by a new one.
    ReplaceCore,
    /// The list of seeds changes.
    SeedTurnover,
    /// The core machine that acknowledged a configuration loses its disk.
    AckWipe,
    /// The disk of a core machine is slow for a while.
    DiskSlow,
    /// The disk of a core machine is full for a while.
    DiskFull,
    /// The disk of a core machine does nothing for a while.
    DiskStall,
    /// A core machine is cut off; packets to it are lost.
    CoreCut,
    /// A core machine is cut off; connections to it are refused.
    CoreCutRefusing,
    /// Packets of a core machine to the rest of the core are lost.
    OneWayCut,
    /// A machine outside of the core is cut off.
    NodeCut,
    /// All connections of a node outside of the core are reset.
    Resets,
    /// The configuration changes.
    ConfigChange,
    /// The configuration changes many times in a row.
    ConfigStorm,
    /// Two operators change the same version of the configuration.
    ConfigRace,
    /// A change that was acknowledged before a later one is sent once more, unchanged.
    ConfigAgain,
    /// An invalid configuration is sent.
    BadConfig,
    /// The API key of a tenant is replaced.
    Revoke,
    /// New weights are named.
    VersionBump,
    /// The KV store restarts empty.
    StoreLost,
    /// A server resets connections.
    AnswersLost,
    /// A server sends malformed and surplus answers.
    Garbled,
    /// A server breaks off its answers.
    Broken,
    /// A server crashes and another one gets its address.
    AddressReused,
    /// A server stops answering some requests.
    Hanging,
    /// A zone with a core machine is cut off.
    ZoneCut,
    /// The link of a core machine is slow.
    CoreSlow,
    /// The link of a machine outside of the core is slow.
    NodeSlow,
    /// Clients send far more requests.
    Press,
    /// A node outside of the core loses power just after it acknowledged that a server drains.
    DrainRace,
    /// Two operators change the same version, one of them at a node that is cut off at that moment and restarts later.
    RaceCut,
    /// A change is acknowledged while less than half of the core is cut off. Then a machine that accepted it loses its disk
    /// and the others power, and those that were cut off return first.
    WipeBehindCut,
    /// Every machine of the core is replaced while another node is cut off.
    CoreTurnover,
    /// A core machine is cut off from the rest of the core only.
    CoreSplit,
    /// The holder of a rollout lease freezes for longer than its lease.
    HolderFreeze,
    /// Servers reset most connections, and all processes are killed twice meanwhile.
    BudgetPress,
}

use Fault::*;

/// Kinds that are likely to bring out mistakes together: races, disks, updates of nodes, replaced machines, weights, answers,
/// the retry budget, servers that leave.
pub(super) const THEMES: [&[Fault]; 8] = [
    &[
        ConfigRace,
        RaceCut,
        RaceCut,
        CoreKill,
        CorePower,
        CoreCut,
        CoreFreeze,
        DiskSlow,
        ConfigAgain,
        Revoke,
    ],
    &[
        AckWipe,
        WipeBehindCut,
        WipeBehindCut,
        CorePower,
        DiskStall,
        DiskSlow,
        ConfigStorm,
        ReplaceCore,
    ],
    &[
        ConfigStorm,
        Revoke,
        CoreSplit,
        NodeCut,
        NodeFreeze,
        OneWayCut,
        ConfigChange,
        CoreCut,
        NodeSlow,
    ],
    &[
        ReplaceCore,
        CoreTurnover,
        SeedTurnover,
        ConfigChange,
        NodeKill,
        WipeBehindCut,
    ],
    &[
        VersionBump,
        HolderFreeze,
        HolderFreeze,
        Release,
        StoreLost,
        CoreCut,
        ServerCrash,
        AddressReused,
    ],
    &[
        AnswersLost,
        Garbled,
        Broken,
        Hanging,
        NodeKill,
        Resets,
        AllServersCrash,
        Press,
    ],
    &[
        BudgetPress,
        BudgetPress,
        ConfigChange,
        NodeSlow,
        VersionBump,
    ],
    &[
        Release,
        DrainRace,
        DrainRace,
        DrainRace,
        AddressReused,
        RollTerm,
        ServerLost,
        VersionBump,
    ],
];
