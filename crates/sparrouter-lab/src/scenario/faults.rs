//! The kinds of fault that a scenario may inject, each by time.
use super::Before;
use serde::{Deserialize, Serialize};

/// `at_s` counts from the first arrival; `part` is a part of the cache servers at that moment.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Processes die, connections reset; they come back cold under the same name and address.
    Crash { at_s: f64, length_s: f64, part: f64 },
    /// They take work and answer nothing.
    Hang { at_s: f64, length_s: f64, part: f64 },
    /// They stand still for a while, again and again.
    Pauses {
        at_s: f64,
        length_s: f64,
        part: f64,
        pause_ms: f64,
        every_s: f64,
    },
    /// Parts of their replies are errors, or end in a reset half way.
    Spoilt {
        at_s: f64,
        length_s: f64,
        part: f64,
        #[serde(default)]
        errors: f64,
        #[serde(default)]
        resets: f64,
    },
    /// The origin's replies likewise.
    SpoiltOrigin {
        at_s: f64,
        length_s: f64,
        #[serde(default)]
        errors: f64,
        #[serde(default)]
        resets: f64,
    },
    /// The rate of arrivals is multiplied.
    Burst {
        at_s: f64,
        length_s: f64,
        times: f64,
    },
    /// A few keys draw this part of all arrivals.
    HotKey {
        at_s: f64,
        length_s: f64,
        part: f64,
        keys: usize,
    },
    /// This part of the keys goes void everywhere at once.
    Flush { at_s: f64, part: f64 },
    /// Batch by batch they drain and end, and cold successors come under new names.
    Deploy {
        at_s: f64,
        length_s: f64,
        part: f64,
        batch: f64,
        drain_s: f64,
    },
    /// Some drain and end for good.
    Shrink {
        at_s: f64,
        length_s: f64,
        part: f64,
        drain_s: f64,
    },
    /// The fleet becomes so many times as large; the new ones are cold.
    Grow { at_s: f64, times: f64 },
    /// Nodes are told to stop (or killed) one after another, and start again after `down_s`.
    NodeRestart {
        at_s: f64,
        length_s: f64,
        part: f64,
        down_s: f64,
        killed: bool,
    },
    DiscoveryTrouble {
        at_s: f64,
        length_s: f64,
        how: DiscoveryFault,
    },
    /// It answers at a new address from now on, and nodes are told by their configuration and SIGHUP.
    DiscoveryMoved { at_s: f64 },
    /// What the links before one group do.
    Links {
        at_s: f64,
        length_s: f64,
        before: Before,
        part: f64,
        #[serde(default)]
        delay_ms: f64,
        #[serde(default)]
        jitter_ms: f64,
        #[serde(default)]
        kib_per_s: f64,
        #[serde(default)]
        how: LinkFault,
        /// With `how = "cut"`: a connection breaks after so many bytes towards the client.
        #[serde(default)]
        bytes: u64,
    },
    /// Nodes are stopped where they are (SIGSTOP) and go on after.
    NodePause { at_s: f64, length_s: f64, part: f64 },
    /// From then on there are so many nodes: more start, the last ones are told to stop (or killed). The others learn
    /// of it by their configuration and SIGHUP, `told_s` later.
    Nodes {
        at_s: f64,
        count: usize,
        #[serde(default)]
        told_s: f64,
        #[serde(default)]
        killed: bool,
    },
    /// This part of the traffic goes to the first so many nodes.
    Skew {
        at_s: f64,
        length_s: f64,
        part: f64,
        nodes: usize,
    },
    /// In the name of this node everybody is asked, twenty times a second, for a millionfold of a part.
    Liar {
        at_s: f64,
        length_s: f64,
        node: usize,
    },
    /// Notes do not pass between this part of the nodes (the first of them) and the others; `one_way`: only those
    /// towards the part are lost.
    NotesCut {
        at_s: f64,
        length_s: f64,
        part: f64,
        #[serde(default)]
        one_way: bool,
    },
    Notes {
        at_s: f64,
        length_s: f64,
        lost_part: f64,
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
    Silent,
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
            Fault::DiscoveryTrouble { at_s, length_s, .. } => (at_s, at_s + length_s, "discovery"),
            Fault::DiscoveryMoved { at_s } => (at_s, at_s + 0.2, "discovery moved"),
            Fault::Links { at_s, length_s, .. } => (at_s, at_s + length_s, "links"),
            Fault::Notes { at_s, length_s, .. } => (at_s, at_s + length_s, "notes lost"),
            Fault::NodePause { at_s, length_s, .. } => (at_s, at_s + length_s, "nodes stand still"),
            Fault::Liar { at_s, length_s, .. } => (at_s, at_s + length_s, "a liar"),
            Fault::Skew { at_s, length_s, .. } => (at_s, at_s + length_s, "uneven traffic"),
            Fault::Nodes { at_s, told_s, .. } => {
                (at_s, at_s + told_s.max(0.2), "more or fewer nodes")
            }
            Fault::NotesCut { at_s, length_s, .. } => (at_s, at_s + length_s, "notes cut"),
        }
    }
}
