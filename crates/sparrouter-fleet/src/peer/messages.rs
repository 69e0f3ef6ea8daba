//! What the system's own processes say to each other: frames of `nanoserde` binary over TCP.
use nanoserde::{DeBin, SerBin};
use sparrouter_codec::{Blob, Seq};
use sparrouter_config::{Edit, Hunk};
use sparrouter_membership::{MembershipDelta, NodeRecord};

/// First bytes of a connection: name and version of this protocol.
pub const HELLO: &[u8; 8] = b"sprtrfl5";
/// Longest frame, in bytes: the largest configuration with room to spare.
pub const MAX_FRAME: usize = 12 << 20;

/// What a data-plane node has, and asks to be told beyond.
#[derive(Clone, Debug, Default, SerBin, DeBin)]
pub struct Poll {
    /// Name of the node that asks; its row goes with it until the source has it.
    pub name: String,
    pub record: Option<NodeRecord>,
    pub epoch: u64,
    pub revision: u64,
    /// Sequence number of the configuration's register, and digest of the text that is held: 0 asks for it whole.
    pub config_slot: u64,
    pub config_digest: u64,
    /// How long to hold the answer while there is nothing new.
    pub max_wait_ms: u32,
    /// The versions of weights that this node knows to be named, for a source that may have just started; with the row.
    pub models: Seq<ModelUpdate>,
}

#[derive(Clone, Debug, Default, SerBin, DeBin)]
pub struct ModelUpdate {
    pub name: String,
    pub version: u64,
    /// How long the teller knows of it.
    pub age_ms: u64,
}

/// The configuration's register as it was chosen.
#[derive(Clone, Debug, Default, SerBin, DeBin)]
pub struct ConfigUpdate {
    pub slot: u64,
    /// Number and text of the newest configuration; 0 and empty before the first.
    pub version: u64,
    pub text: TextUpdate,
    pub versions: VersionsUpdate,
}

/// The versions of weights that were named, and what their time limits go by. A model has one entry for each version
/// whose limit has not passed.
#[derive(Clone, Debug, Default, SerBin, DeBin)]
pub struct VersionsUpdate {
    pub models: Seq<ModelUpdate>,
    /// How long ago the teller last saw the core change.
    pub core_changed_age_ms: Option<u64>,
}

/// The configuration's text, for one that has it, an earlier one, or none that is known.
#[derive(Clone, Debug, SerBin, DeBin)]
pub enum TextUpdate {
    Complete(String),
    /// From the text with the digest that the poll named to the one in force; none where that is it.
    Edits(Seq<EditUpdate>),
}

impl Default for TextUpdate {
    fn default() -> TextUpdate {
        TextUpdate::Complete(String::new())
    }
}

/// As `sparrouter_config::Edit`.
#[derive(Clone, Debug, Default, SerBin, DeBin)]
pub struct EditUpdate {
    pub from: u64,
    pub to: u64,
    pub hunks: Seq<HunkUpdate>,
}

#[derive(Clone, Debug, Default, SerBin, DeBin)]
pub struct HunkUpdate {
    pub start: u32,
    pub length: u32,
    pub text: String,
}

impl From<&Edit> for EditUpdate {
    fn from(edit: &Edit) -> EditUpdate {
        let piece = |p: &Hunk| HunkUpdate {
            // Texts are shorter than a frame.
            start: p.start as u32,
            length: p.length as u32,
            text: p.text.clone(),
        };
        EditUpdate {
            from: edit.from,
            to: edit.to,
            hunks: edit.hunks.iter().map(piece).collect(),
        }
    }
}

impl From<EditUpdate> for Edit {
    fn from(told: EditUpdate) -> Edit {
        let piece = |p: HunkUpdate| Hunk {
            start: p.start as usize,
            length: p.length as usize,
            text: p.text,
        };
        Edit {
            from: told.from,
            to: told.to,
            hunks: told.hunks.into_iter().map(piece).collect(),
        }
    }
}

#[derive(Clone, Debug, Default, SerBin, DeBin)]
pub struct Update {
    /// Rows, packed: the same bytes for all who had the same revision.
    pub records: Blob,
    pub config: Option<ConfigUpdate>,
    /// What the node that answers has in force was confirmed by a quorum lately: by which read.
    pub confirmed: Option<ConfirmedRead>,
}

impl Update {
    /// Whether the node that answers has contact with a quorum.
    pub fn has_quorum_contact(&self) -> bool {
        self.confirmed.is_some()
    }
}

/// A read of the configuration that a quorum confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct ConfirmedRead {
    /// When the read began, in whole milliseconds after the poll came; negative: before it.
    pub began_ms: i64,
}

/// Tokens that are kept of a part.
#[derive(Clone, Copy, Debug, SerBin, DeBin)]
pub struct CachedBlock {
    pub key: u64,
    pub tokens: u32,
}

#[derive(Clone, Debug, SerBin, DeBin)]
pub enum Call {
    Poll(Poll),
    /// Rows that changed here, for a source.
    Notify(MembershipDelta),
    /// A message of a part's register, from the member with this disk.
    Consensus {
        shard: u16,
        disk_id: u64,
        name: String,
        address: String,
        message: Blob,
    },
    /// A change of the control state, for whoever is a member.
    Change {
        shard: u16,
        change: Blob,
        timeout_ms: u32,
    },
    /// A prefix that ends with this part is about to go to a server: what is known of where it is kept.
    QueryPrefix {
        key: u64,
        server: u64,
        store: u64,
    },
    /// What a server or store keeps now of some parts. `void`: what was told before does not hold any more.
    CachedBlocks {
        source: u64,
        replaces_all: bool,
        blocks: Seq<CachedBlock>,
    },
    /// How long a prompt of this cost would wait at a server; it is counted there unless it would wait longer than
    /// `most_ms`.
    EstimateWait {
        server: u64,
        token: u64,
        cost: u32,
        urgency: u8,
        max_wait_ms: u32,
    },
    /// What was counted under the token has begun, or ended without.
    PromptFinished {
        server: u64,
        token: u64,
        began: bool,
    },
    /// A request failed at a server, for the server's keeper.
    RequestFailed {
        server: u64,
        key: u64,
        /// Requests that the server answered to the sender lately, in thousandths.
        answered_milli: u32,
    },
    /// A request that failed at a server was answered by another, for the first one's keeper.
    ServedElsewhere {
        server: u64,
    },
    /// The records of the first group, one a part.
    Bootstrap {
        records: Seq<Blob>,
    },
}

#[derive(Clone, Debug, SerBin, DeBin)]
pub enum Reply {
    Update(Update),
    Acknowledged,
    Applied(Blob),
    /// The change was not made and never will be.
    NotApplied(String),
    /// Nobody can say whether it will be.
    Unknown,
    PrefixLocation {
        save: bool,
        is_cached: bool,
        cached_at: Seq<u64>,
        prefilling_server: u64,
    },
    Wait {
        ms: u32,
    },
    /// It cannot be done here; the text is for people.
    Rejected(String),
}
