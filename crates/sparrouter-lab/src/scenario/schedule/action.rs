//! What a schedule does to one stand-in or one node.
use crate::scenario::Before;
use crate::scenario::faults::{DiscoveryFault, LinkFault};
use serde::Serialize;
use std::fmt;

/// The state of a cache server in discovery's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Listed {
    /// In service.
    Ready,
    /// Finishes what it has and takes nothing new.
    Draining,
    /// Terminated.
    Gone,
}

/// How a link treats the bytes that it carries.
#[derive(Clone, Copy, Default, PartialEq, Serialize)]
pub struct LinkConditions {
    /// Added to each byte's way, in each direction.
    pub delay_ms: f64,
    /// Upper bound of a uniform draw on top of the delay.
    pub jitter_ms: f64,
    /// Bandwidth in each direction; 0: unlimited.
    pub kib_per_s: f64,
    /// What goes wrong.
    #[serde(rename = "how")]
    pub fault: LinkFault,
    /// With [`LinkFault::Cut`]: a connection breaks after this many bytes towards the client.
    pub bytes: u64,
}

/// Written by hand: the program's `check` command prints actions, and its text keeps the earlier names.
impl fmt::Debug for LinkConditions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Way")
            .field("delay_ms", &self.delay_ms)
            .field("jitter_ms", &self.jitter_ms)
            .field("kib_per_s", &self.kib_per_s)
            .field("how", &self.fault)
            .field("bytes", &self.bytes)
            .finish()
    }
}

/// One action. Numbers are those of cache servers (in the order of their first start) or of nodes.
///
/// The `check` command prints variants by their names.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Action {
    /// A cache server's process starts, cold; a new server, or an earlier one again.
    Start(usize),
    /// A cache server's process dies.
    Die(usize),
    /// A cache server finishes what it has.
    Drain(usize),
    /// A cache server takes work and answers nothing; false ends it.
    Hang(usize, bool),
    /// A cache server does nothing for this many milliseconds.
    Pause(usize, f64),
    /// Parts of a cache server's replies that are errors, and that end in a reset.
    Spoil(usize, f64, f64),
    /// The same for the origin.
    SpoilOrigin(f64, f64),
    /// Discovery learns a cache server's state.
    List(usize, Listed),
    /// This part of the keys becomes invalid at every cache server.
    Flush(f64),
    /// A node is told to stop (SIGTERM).
    NodeStop(usize),
    /// A node is killed (SIGKILL).
    NodeKill(usize),
    /// A node is started again.
    NodeStart(usize),
    /// The number of nodes from now on; true: surplus nodes are killed instead of stopped.
    NodesAre(usize, bool),
    /// Nodes learn their number by their configuration.
    AnnounceFleetSize(usize),
    /// This part of the traffic goes to the first nodes, so many.
    Skew(f64, usize),
    /// Forged quota requests are sent in this node's name, or none any more.
    Lies(Option<usize>),
    /// A node is stopped where it is (SIGSTOP); false: it continues.
    NodePause(usize, bool),
    /// Discovery has this fault, or none any more.
    Discovery(Option<DiscoveryFault>),
    /// Discovery answers at new addresses from now on.
    DiscoveryMoves,
    /// The link before one member of a group; the number is the cache server's or node's.
    Link(Before, usize, LinkConditions),
    /// Part of the datagrams between nodes that is lost, and their additional delay in ms.
    DegradeGossip(f64, f64),
    /// Datagrams between the first nodes, so many, and the others are lost; true: only those towards the first.
    /// 0 ends it.
    PartitionGossip(usize, bool),
}
