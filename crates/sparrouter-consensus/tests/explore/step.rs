//! The steps of an exploration, and how many of them are used up.

/// One step of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A message arrives: by its index among those in flight.
    Deliver {
        message: usize,
    },
    /// It arrives, and stays in flight as well.
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
    /// It fails; `written` says whether its bytes are on disk all the same.
    FailSync {
        node: usize,
        written: bool,
    },
    /// The node's next timer fires.
    Timer {
        node: usize,
    },
    /// The node starts anew from its disk; `written`: whether the store in flight had reached it.
    Crash {
        node: usize,
        written: bool,
    },
    /// The node starts anew with an empty disk.
    Wipe {
        node: usize,
    },
    /// The node proposes the scope's swap, or one for a disk that is gone.
    Swap,
}

/// How much of what the scope allows has happened.
#[derive(Clone, Copy, Debug, Default, Hash)]
pub struct Used {
    /// Bit by call.
    pub calls: u32,
    pub crashes: u8,
    pub wipes: u8,
    pub swaps: u8,
    pub timers: u8,
    pub store_failures: u8,
    pub duplicates: u8,
}
