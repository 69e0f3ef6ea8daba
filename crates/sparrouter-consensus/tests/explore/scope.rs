//! The scope of an exploration: its calls and faults, and their maximum numbers. Nothing else is explored.
use sparrouter_consensus::Defects;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Replaces the expected value by a new one.
    Change {
        expected: u8,
        new: u8,
    },
    Read,
}

/// A call that a client makes at any step of the exploration.
#[derive(Clone, Debug)]
pub struct Call {
    /// Index of the node that receives the call.
    pub node: usize,
    pub kind: CallKind,
}

impl Call {
    pub fn change(node: usize, expected: u8, new: u8) -> Call {
        Call {
            node,
            kind: CallKind::Change { expected, new },
        }
    }

    pub fn read(node: usize) -> Call {
        Call {
            node,
            kind: CallKind::Read,
        }
    }
}

/// The replacement of a member that one node observes as unresponsive.
#[derive(Clone, Copy, Debug)]
pub struct Replacement {
    /// Index of the node that observes the member as unresponsive and proposes the new group.
    pub proposer: usize,
    /// Index of the replaced member. It still runs: only `proposer` observes it as unresponsive.
    pub replaced: usize,
}

#[derive(Clone, Debug)]
pub struct Scope {
    pub seed: u64,
    /// Number of members of the first group.
    pub members: usize,
    /// Number of nodes outside the group, with empty disks.
    pub spares: usize,
    pub calls: Vec<Call>,
    /// Maximum number of restarts that lose everything that is not on disk, over all nodes.
    pub crashes: u8,
    /// Maximum number of restarts that also lose the disk, over all nodes.
    pub wipes: u8,
    pub replacement: Option<Replacement>,
    /// Maximum number of times that a timer fires, over all nodes.
    pub timers: u8,
    /// Maximum number of failed stores, over all nodes.
    pub store_failures: u8,
    /// Maximum number of messages that are delivered twice, over all links.
    pub duplicates: u8,
    pub defects: Defects,
}

impl Scope {
    /// A group without faults and without calls.
    pub fn without_faults(members: usize) -> Scope {
        Scope {
            seed: 1,
            members,
            spares: 0,
            calls: Vec::new(),
            crashes: 0,
            wipes: 0,
            replacement: None,
            timers: 0,
            store_failures: 0,
            duplicates: 0,
            defects: Defects::default(),
        }
    }
}
