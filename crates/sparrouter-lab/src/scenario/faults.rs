//! The kinds of fault that a scenario may inject, each by time.
use super::Before;
use serde::{Deserialize, Serialize};

/// `at_s` counts from the first arrival; `part` is a part of the cache servers at that moment.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Processes die, connections reset; they come back cold under the same name and address.
    Crash {
        /// When it begins, in seconds from the first arrival.
        at_s: f64,
        /// How long it lasts, in seconds.
        length_s: f64,
        /// Fraction of the cache servers.
        part: f64,
    },
    /// They take work and answer nothing.
    Hang {
        /// When it begins, in seconds from the first arrival.
        at_s: f64,
        /// How long it lasts, in seconds.
        length_s: f64,
        /// Fraction of the cache servers.
        part: f64,
    },
    /// They stand still for a while, again and again.
    Pauses {
        /// When it begins, in seconds from the first arrival.
        at_s: f64,
        /// How long it lasts, in seconds.
        length_s: f64,
        /// Fraction of the cache servers.
        part: f64,
        /// Length of a pause, in milliseconds.
        pause_ms: f64,
        /// Time between the beginnings of two pauses, in seconds.
        every_s: f64,
    },
    /// Parts of their replies are errors, or end in a reset half way.
    Spoilt {
        /// When it begins, in seconds from the first arrival.
        at_s: f64,
        /// How long it lasts, in seconds.
        length_s: f64,
        /// Fraction of the cache servers.
        part: f64,
        /// Fraction of the replies that are errors.
        #[serde(default)]
        errors: f64,
        /// Fraction of the replies that end in a reset.
        #[serde(default)]
        resets: f64,
    },
    /// The origin's replies likewise.
    SpoiltOrigin {
        /// When it begins, in seconds from the first arrival.
        at_s: f64,
        /// How long it lasts, in seconds.
        length_s: f64,
        /// Fraction of the replies that are errors.
        #[serde(default)]
        errors: f64,
        /// Fraction of the replies that end in a reset.
        #[serde(default)]
        resets: f64,
    },
    /// The rate of arrivals is multiplied.
    Burst {
        /// When it begins, in seconds from the first arrival.
        at_s: f64,
        /// How long it lasts, in seconds.
        length_s: f64,
        /// Multiple of the usual rate.
        times: f64,
    },
    /// A few keys draw this part of all arrivals.
    HotKey {
        /// When it begins, in seconds from the first arrival.
        at_s: f64,
        /// How long it lasts, in seconds.
        length_s: f64,
        /// Fraction of all arrivals.
        part: f64,
        /// Number of hot keys.
        keys: usize,
    },
    /// This part of the keys goes void everywhere at once.
    Flush {
        /// When it begins, in seconds from the first arrival.
        at_s: f64,
        /// Fraction of the keys.
        part: f64,
    },
    /// Batch by batch they drain and end, and cold successors come under new names.
    Deploy {
        /// When it begins, in seconds from the first arrival.
        at_s: f64,
        /// How long it lasts, in seconds.
        length_s: f64,
        /// Fraction of the cache servers.
        part: f64,
        /// Fraction of the cache servers that drain at once.
        batch: f64,
        /// How long each drains, in seconds.
        drain_s: f64,
    },
    /// Some drain and end for good.
    Shrink {
        /// When it begins, in seconds from the first arrival.
        at_s: f64,
        /// How long it lasts, in seconds.
        length_s: f64,
        /// Fraction of the cache servers.
        part: f64,
        /// How long each drains, in seconds.
        drain_s: f64,
    },
    /// The fleet becomes so many times as large; the new ones are cold.
    Grow {
        /// When it begins, in seconds from the first arrival.
        at_s: f64,
        /// Multiple of the number of cache servers.
        times: f64,
    },
    /// Nodes are told to stop (or killed) one after another, and start again after `down_s`.
    NodeRestart {
        /// When it begins, in seconds from the first arrival.
        at_s: f64,
        /// How long it lasts, in seconds.
        length_s: f64,
        /// Fraction of the nodes.
        part: f64,
        /// How long each is down, in seconds.
        down_s: f64,
        /// By SIGKILL rather than SIGTERM.
        killed: bool,
    },
    /// Discovery fails in some way.
    #[serde(rename = "discovery_trouble")]
    DiscoveryFailure {
        /// When it begins, in seconds from the first arrival.
        at_s: f64,
        /// How long it lasts, in seconds.
        length_s: f64,
        /// What discovery does wrong.
        how: DiscoveryFault,
    },
    /// It answers at a new address from now on, and nodes are told by their configuration and SIGHUP.
    DiscoveryMoved {
        /// When it begins, in seconds from the first arrival.
        at_s: f64,
    },
    /// What the links before one group do.
    Links {
        /// When it begins, in seconds from the first arrival.
        at_s: f64,
        /// How long it lasts, in seconds.
        length_s: f64,
        /// The group that the links stand before.
        before: Before,
        /// Fraction of the links.
        part: f64,
        /// Delay of each direction, in milliseconds.
        #[serde(default)]
        delay_ms: f64,
        /// Largest random addition to the delay, in milliseconds.
        #[serde(default)]
        jitter_ms: f64,
        /// Bandwidth in KiB a second; 0: unlimited.
        #[serde(default)]
        kib_per_s: f64,
        /// What the links do wrong.
        #[serde(default)]
        how: LinkFault,
        /// With `how = "cut"`: a connection breaks after so many bytes towards the client.
        #[serde(default)]
        bytes: u64,
    },
    /// Nodes are stopped where they are (SIGSTOP) and go on after.
    NodePause {
        /// When it begins, in seconds from the first arrival.
        at_s: f64,
        /// How long it lasts, in seconds.
        length_s: f64,
        /// Fraction of the nodes.
        part: f64,
    },
    /// From then on there are so many nodes: more start, the last ones are told to stop (or killed). The others learn
    /// of it by their configuration and SIGHUP, `told_s` later.
    Nodes {
        /// When it begins, in seconds from the first arrival.
        at_s: f64,
        /// Number of nodes from then on.
        count: usize,
        /// How much later the others learn of it, in seconds.
        #[serde(default)]
        told_s: f64,
        /// The last nodes go by SIGKILL rather than SIGTERM.
        #[serde(default)]
        killed: bool,
    },
    /// This part of the traffic goes to the first so many nodes.
    Skew {
        /// When it begins, in seconds from the first arrival.
        at_s: f64,
        /// How long it lasts, in seconds.
        length_s: f64,
        /// Fraction of the traffic.
        part: f64,
        /// How many of the first nodes get it.
        nodes: usize,
    },
    /// In the name of this node all others are asked, twenty times a second, for a millionfold of a share.
    Liar {
        /// When it begins, in seconds from the first arrival.
        at_s: f64,
        /// How long it lasts, in seconds.
        length_s: f64,
        /// Number of the node in whose name the gossip is sent.
        node: usize,
    },
    /// Gossip does not pass between this part of the nodes (the first of them) and the others; `one_way`: only those
    /// towards the part are lost.
    #[serde(rename = "notes_cut")]
    GossipPartition {
        /// When it begins, in seconds from the first arrival.
        at_s: f64,
        /// How long it lasts, in seconds.
        length_s: f64,
        /// Fraction of the nodes on the near side, the first of them.
        part: f64,
        /// Only gossip towards the near side is lost.
        #[serde(default)]
        one_way: bool,
    },
    /// Gossip between nodes is lost or late.
    #[serde(rename = "notes")]
    GossipLoss {
        /// When it begins, in seconds from the first arrival.
        at_s: f64,
        /// How long it lasts, in seconds.
        length_s: f64,
        /// Fraction of the gossip that is lost.
        lost_part: f64,
        /// Additional delay of gossip, in milliseconds.
        #[serde(default)]
        delay_ms: f64,
    },
}

/// What discovery does wrong.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum DiscoveryFault {
    /// Connections are refused, and watches end.
    Down,
    /// Calls are answered 503; watches go on.
    Errors,
    /// Takes calls and says nothing; watches fall silent.
    #[serde(rename = "silent")]
    Unresponsive,
    /// The list stands still as it is.
    Stale,
    /// Whole lists name no cache server.
    Empty,
    /// What drains or is gone is said to be in service.
    Wrong,
}

/// What a link does wrong.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum LinkFault {
    /// Nothing.
    #[default]
    None,
    /// Open connections are reset, new ones too.
    Reset,
    /// Connections come up and nothing passes, in either direction.
    HalfOpen,
    /// Bytes towards the server vanish.
    LostThere,
    /// Bytes towards the client vanish.
    LostBack,
    /// Each connection breaks after so many bytes towards the client.
    Cut,
}

impl Fault {
    /// When it begins and ends, in seconds, and a word for it.
    pub fn span(&self) -> (f64, f64, &'static str) {
        match *self {
            Fault::Crash { at_s, length_s, .. } => (at_s, at_s + length_s, "crash"),
            Fault::Hang { at_s, length_s, .. } => (at_s, at_s + length_s, "hang"),
            Fault::Pauses { at_s, length_s, .. } => (at_s, at_s + length_s, "pauses"),
            Fault::Spoilt { at_s, length_s, .. } => (at_s, at_s + length_s, "spoilt replies"),
            Fault::SpoiltOrigin { at_s, length_s, .. } => (at_s, at_s + length_s, "spoilt origin"),
            Fault::Burst { at_s, length_s, .. } => (at_s, at_s + length_s, "burst"),
            Fault::HotKey { at_s, length_s, .. } => (at_s, at_s + length_s, "hot key"),
            Fault::Flush { at_s, .. } => (at_s, at_s + 0.2, "flush"),
            Fault::Deploy { at_s, length_s, .. } => (at_s, at_s + length_s, "deploy"),
            Fault::Shrink { at_s, length_s, .. } => (at_s, at_s + length_s, "shrink"),
            Fault::Grow { at_s, .. } => (at_s, at_s + 0.2, "grow"),
            Fault::NodeRestart { at_s, length_s, .. } => (at_s, at_s + length_s, "node restarts"),
            Fault::DiscoveryFailure { at_s, length_s, .. } => (at_s, at_s + length_s, "discovery"),
            Fault::DiscoveryMoved { at_s } => (at_s, at_s + 0.2, "discovery moved"),
            Fault::Links { at_s, length_s, .. } => (at_s, at_s + length_s, "links"),
            Fault::GossipLoss { at_s, length_s, .. } => (at_s, at_s + length_s, "notes lost"),
            Fault::NodePause { at_s, length_s, .. } => (at_s, at_s + length_s, "nodes stand still"),
            Fault::Liar { at_s, length_s, .. } => (at_s, at_s + length_s, "a liar"),
            Fault::Skew { at_s, length_s, .. } => (at_s, at_s + length_s, "uneven traffic"),
            Fault::Nodes { at_s, told_s, .. } => {
                (at_s, at_s + told_s.max(0.2), "more or fewer nodes")
            }
            Fault::GossipPartition { at_s, length_s, .. } => (at_s, at_s + length_s, "notes cut"),
        }
    }
}
