//! What may happen in an exploration, and how often: everything else is left out, and the page says so.
use sparrouter_consensus::Defects;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Replaces one value by another.
    Change {
        expected: u8,
        new: u8,
    },
    Read,
}

/// A call that a client makes at some moment of the exploration.
#[derive(Clone, Debug)]
pub struct Call {
    /// Index of the node that it is made at.
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

/// A member that counts as unresponsive, and the spare node that may replace it.
#[derive(Clone, Copy, Debug)]
pub struct Swap {
    /// Index of the node that observes the member as unresponsive and proposes the new group.
    pub proposer: usize,
    /// Index of the member that is replaced. It still runs: only `by` observes it as unresponsive.
    pub replaced: usize,
}

#[derive(Clone, Debug)]
pub struct Scope {
    pub seed: u64,
    /// Members of the first group.
    pub members: usize,
    /// Nodes outside of it, with empty disks.
    pub spares: usize,
    pub calls: Vec<Call>,
    /// Restarts with the loss of everything that is not on disk, over all nodes.
    pub crashes: u8,
    /// Nodes whose crash loses the disk as well.
    pub wipes: u8,
    pub swap: Option<Swap>,
    /// Times that a node's next timer may fire, over all nodes.
    pub timers: u8,
    /// Stores that fail, over all nodes.
    pub store_failures: u8,
    /// Messages that are delivered once more, over all links.
    pub duplicates: u8,
    pub defects: Defects,
}

impl Scope {
    /// A group in which nothing fails, and nobody calls.
    pub fn calm(members: usize) -> Scope {
        Scope {
            seed: 1,
            members,
            spares: 0,
            calls: Vec::new(),
            crashes: 0,
            wipes: 0,
            swap: None,
            timers: 0,
            store_failures: 0,
            duplicates: 0,
            defects: Defects::default(),
        }
    }
}
