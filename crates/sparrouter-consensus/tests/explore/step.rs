//! The steps of an exploration, and the counts of executed steps that the scope limits.

/// One step of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The message with this index among the messages in flight arrives.
    Deliver {
        message: usize,
    },
    /// The message with this index arrives and also stays in flight.
    DeliverDuplicate {
        message: usize,
    },
    Call {
        call: usize,
    },
    /// The store in flight at a node succeeds.
    Sync {
        node: usize,
    },
    /// The store in flight at a node fails. `written` is whether its bytes are on disk nevertheless.
    FailSync {
        node: usize,
        written: bool,
    },
    /// The node's next timer fires.
    Timer {
        node: usize,
    },
    /// The node crashes and restarts from its disk. `written` is whether the store in flight had reached the disk.
    Crash {
        node: usize,
        written: bool,
    },
    /// The node restarts with an empty disk.
    Wipe {
        node: usize,
    },
    /// The proposer of the scope's replacement observes the nodes and may propose to replace a member.
    ReplaceMember,
}

/// The numbers of executed steps that the scope limits.
#[derive(Clone, Copy, Debug, Default, Hash)]
pub struct Used {
    /// Bit mask of the calls that were made.
    pub calls: u32,
    pub crashes: u8,
    pub wipes: u8,
    pub replacements: u8,
    pub timers: u8,
    pub store_failures: u8,
    pub duplicates: u8,
}
