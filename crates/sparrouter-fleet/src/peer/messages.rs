//! Calls between nodes and their replies: `nanoserde` binary in frames over TCP.
//!
//! The order of fields and variants is the wire format, since nodes of two releases run side by side; their names are
//! not sent. `tests/recorded_bytes.rs` checks the bytes.
use nanoserde::{DeBin, SerBin};
use sparrouter_codec::{Blob, Seq};
use sparrouter_config::{Edit, Hunk};
use sparrouter_membership::{MembershipDelta, NodeRecord};

/// First bytes of a connection: name and version of this protocol.
pub const HELLO: &[u8; 8] = b"sprtrfl5";
/// First bytes of a connection in the next version of the protocol, which adds the calls of quotas. Only these calls
/// are sent on such connections, so that a node of an earlier release refuses this connection but not one with other
/// pending calls.
pub const QUOTA_HELLO: &[u8; 8] = b"sprtrfl6";
/// First bytes of a connection in the version of the protocol that adds the agreement on the first group. Only its
/// calls are sent on such connections, so that a node of an earlier release refuses no other calls.
pub const BOOTSTRAP_HELLO: &[u8; 8] = b"sprtrfl7";
/// Maximum length of a frame, in bytes: the largest configuration with a margin.
pub const MAX_FRAME: usize = 12 << 20;

/// A poll: the state that a node has, by which a source replies with newer state.
#[derive(Clone, Debug, Default, SerBin, DeBin)]
pub struct Poll {
    /// Name of the polling node.
    pub name: String,
    /// Record of the polling node; sent until the source has it.
    pub record: Option<NodeRecord>,
    /// Epoch of the source's process to which `revision` belongs.
    pub epoch: u64,
    /// Revision of the source's records that the node has; 0 if it has none.
    pub revision: u64,
    /// Number of the configuration state that the node has, from 1; 0 if it has none.
    pub config_slot: u64,
    /// Digest of the node's configuration text; 0 requests the complete text.
    pub config_digest: u64,
    /// How long the source may delay its reply while there is nothing new, in milliseconds.
    pub max_wait_ms: u32,
    /// The named versions of weights that the node knows, for a source that may have just started; sent with the
    /// record.
    pub models: Seq<ModelUpdate>,
}

/// A named version of a model's weights.
#[derive(Clone, Debug, Default, SerBin, DeBin)]
pub struct ModelUpdate {
    /// Name of the model.
    pub name: String,
    /// The version, 1 or more.
    pub version: u64,
    /// How long ago the sender learned of the version, in milliseconds.
    pub age_ms: u64,
}

/// A state of the configuration's shard that its group chose.
#[derive(Clone, Debug, Default, SerBin, DeBin)]
pub struct ConfigUpdate {
    /// Number of the state, from 1.
    pub slot: u64,
    /// Version of the newest configuration; 0 before the first.
    pub version: u64,
    /// Text of the configuration; empty before the first.
    pub text: TextUpdate,
    /// The named versions of weights.
    pub versions: VersionsUpdate,
}

/// The named versions of weights, and the data for their time limits. A model has one entry for each version whose
/// limit has not passed.
#[derive(Clone, Debug, Default, SerBin, DeBin)]
pub struct VersionsUpdate {
    /// The named versions.
    pub models: Seq<ModelUpdate>,
    /// How long ago the sender last saw the core change, in milliseconds.
    pub core_changed_age_ms: Option<u64>,
}

/// The configuration's text, complete or as edits of the text that the receiver has.
#[derive(Clone, Debug, SerBin, DeBin)]
pub enum TextUpdate {
    /// The complete text.
    Complete(String),
    /// Edits from the text whose digest the poll named to the text in force; empty if the texts are the same.
    Edits(Seq<EditUpdate>),
}

impl Default for TextUpdate {
    fn default() -> TextUpdate {
        TextUpdate::Complete(String::new())
    }
}

/// An edit of a text, encoded; see [`Edit`].
#[derive(Clone, Debug, Default, SerBin, DeBin)]
pub struct EditUpdate {
    /// Digest of the text before the edit.
    pub from: u64,
    /// Digest of the text after the edit.
    pub to: u64,
    /// The replaced ranges.
    pub hunks: Seq<HunkUpdate>,
}

/// A replaced range of a text, encoded; see [`Hunk`].
#[derive(Clone, Debug, Default, SerBin, DeBin)]
pub struct HunkUpdate {
    /// Offset of the range in bytes.
    pub start: u32,
    /// Length of the range in bytes.
    pub length: u32,
    /// The replacement.
    pub text: String,
}

impl From<&Edit> for EditUpdate {
    fn from(edit: &Edit) -> EditUpdate {
        let hunk = |hunk: &Hunk| HunkUpdate {
            // The cast is lossless, since texts are shorter than a frame.
            start: hunk.start as u32,
            length: hunk.length as u32,
            text: hunk.text.clone(),
        };
        EditUpdate {
            from: edit.from,
            to: edit.to,
            hunks: edit.hunks.iter().map(hunk).collect(),
        }
    }
}

impl From<EditUpdate> for Edit {
    fn from(update: EditUpdate) -> Edit {
        let hunk = |hunk: HunkUpdate| Hunk {
            start: hunk.start as usize,
            length: hunk.length as usize,
            text: hunk.text,
        };
        Edit {
            from: update.from,
            to: update.to,
            hunks: update.hunks.into_iter().map(hunk).collect(),
        }
    }
}

/// The state of a source that is newer than the polling node's.
#[derive(Clone, Debug, Default, SerBin, DeBin)]
pub struct Update {
    /// Packed records: the same bytes for all nodes with the same revision.
    pub records: Blob,
    /// The configuration, if it is newer.
    pub config: Option<ConfigUpdate>,
    /// The read by which a quorum recently confirmed the configuration in force at the source; `None` if there is none.
    pub confirmed: Option<ConfirmedRead>,
}

impl Update {
    /// Whether the source has contact with a quorum.
    pub fn has_quorum_contact(&self) -> bool {
        self.confirmed.is_some()
    }
}

/// A read of the configuration that a quorum confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct ConfirmedRead {
    /// When the read began, in milliseconds after the poll arrived, rounded down; negative if it began before the poll
    /// arrived.
    pub began_ms: i64,
}

/// A prefix block that a server or store caches.
#[derive(Clone, Copy, Debug, SerBin, DeBin)]
pub struct CachedBlock {
    /// Hash of salt and block id.
    pub key: u64,
    /// Number of cached tokens of the block; 0 if it was removed.
    pub tokens: u32,
}

/// A call from one node to another.
#[derive(Clone, Debug, SerBin, DeBin)]
pub enum Call {
    /// Requests newer state; answered by [`Reply::Update`].
    Poll(Poll),
    /// Records that changed at the sender, sent to a source.
    Notify(MembershipDelta),
    /// A message of a shard's register. No reply.
    Consensus {
        /// Number of the shard.
        shard: u16,
        /// Disk id of the sending member.
        disk_id: u64,
        /// Name of the sending member.
        name: String,
        /// Internal address of the sending member.
        address: String,
        /// The encoded message.
        message: Blob,
    },
    /// A change of a shard, sent to a member of its group.
    Change {
        /// Number of the shard.
        shard: u16,
        /// The change, in the encoding of the shard's state machine.
        change: Blob,
        /// Time-out of the change at the member, in milliseconds.
        timeout_ms: u32,
    },
    /// Asks the owner of a block where it is cached, before a prompt whose prefix ends with the block is sent to a
    /// server.
    QueryPrefix {
        /// Key of the block.
        key: u64,
        /// Hash of the server's id.
        server: u64,
        /// Hash of the address of the store that may save the prefix; 0 if there is none.
        store: u64,
    },
    /// Reports changes in the blocks that a server or store caches to their owner. No reply.
    CachedBlocks {
        /// Hash of the server's id or the store's address.
        source: u64,
        /// Whether all earlier reports of the source are void.
        replaces_all: bool,
        /// The blocks that changed.
        blocks: Seq<CachedBlock>,
    },
    /// Asks the server's owner how long a prompt would wait there. The prompt is counted as pending unless it would
    /// wait longer than `max_wait_ms`.
    EstimateWait {
        /// Hash of the server's id.
        server: u64,
        /// Token that identifies the prompt until it has begun.
        token: u64,
        /// Tokens to prefill.
        cost: u32,
        /// Urgency class; 0 is the most urgent.
        urgency: u8,
        /// Longest accepted wait, in milliseconds.
        max_wait_ms: u32,
    },
    /// Reports that a prompt that was counted as pending has begun, or ended without beginning. No reply.
    PromptFinished {
        /// Hash of the server's id.
        server: u64,
        /// The token of [`Call::EstimateWait`].
        token: u64,
        /// Whether the prompt has begun.
        began: bool,
    },
    /// Reports to the server's owner that a request failed at the server. No reply.
    RequestFailed {
        /// Hash of the server's id.
        server: u64,
        /// The key by which the server was selected for the request.
        key: u64,
        /// Number of the sender's requests that the server recently answered, in thousandths of a request.
        answered_milli: u32,
    },
    /// Reports to the first server's owner that a request which failed there was completed by another server. No reply.
    ServedElsewhere {
        /// Hash of the first server's id.
        server: u64,
    },
    /// The records of the first groups, sent to their members.
    Bootstrap {
        /// The records, indexed by shard number.
        records: Seq<Blob>,
    },
    /// Asks the holder of a shard's lease for permits of a tenant's quota; answered by [`Reply::Permits`],
    /// [`Reply::QuotaExhausted`] or [`Reply::NotLeaseHolder`].
    TakePermits {
        /// Number of the shard.
        shard: u16,
        /// Name of the tenant.
        tenant: String,
        /// Maximum number of permits; 1 or more.
        wanted: u32,
    },
    /// Asks the receiver to relay [`Call::TakePermits`] to the holder, which the sender cannot reach.
    RelayTakePermits {
        /// Number of the shard.
        shard: u16,
        /// Name of the tenant.
        tenant: String,
        /// Maximum number of permits; 1 or more.
        wanted: u32,
    },
    /// Returns permits that were granted and will never be used. No reply.
    ReturnPermits {
        /// Number of the shard.
        shard: u16,
        /// Name of the tenant.
        tenant: String,
        /// Fencing token of the lease under which the permits were granted.
        fencing_token: u64,
        /// When the permits were granted, as given in the reply.
        granted_at: u64,
        /// Number of permits.
        count: u32,
    },
    /// Asks an elector to vote on the first group; answered by [`Reply::BootstrapVote`].
    VoteOnBootstrap {
        /// The encoded request.
        request: Blob,
    },
}

/// The reply to a call.
#[derive(Clone, Debug, SerBin, DeBin)]
pub enum Reply {
    /// Reply to [`Call::Poll`].
    Update(Update),
    /// The call was carried out.
    Acknowledged,
    /// Reply to [`Call::Change`]: the answer of the shard's state machine.
    Applied(Blob),
    /// Reply to [`Call::Change`]: the change was not applied, and this call will not apply it later. Contains the
    /// reason as text.
    NotApplied(String),
    /// Reply to [`Call::Change`]: the change may or may not be applied.
    Unknown,
    /// Reply to [`Call::QueryPrefix`].
    PrefixLocation {
        /// Whether the store should save the prefix.
        save: bool,
        /// Whether the server caches the prefix.
        is_cached: bool,
        /// Hashes of the servers and stores that cache the prefix.
        cached_at: Seq<u64>,
        /// Hash of the server that is prefilling the prefix now; 0 if none is known.
        prefilling_server: u64,
    },
    /// Reply to [`Call::EstimateWait`].
    Wait {
        /// The expected wait, in milliseconds.
        ms: u32,
    },
    /// The call cannot be carried out here. Contains the reason as text.
    Rejected(String),
    /// Reply to [`Call::TakePermits`]: the permits are granted.
    Permits {
        /// Fencing token of the lease under which the permits are granted.
        fencing_token: u64,
        /// When the permits are granted, in nanoseconds of the holder's steady clock.
        granted_at: u64,
        /// Number of permits; 1 or more.
        count: u32,
    },
    /// Reply to [`Call::TakePermits`]: the quota is used up.
    QuotaExhausted {
        /// Delay after which to retry, in milliseconds.
        retry_after_ms: u32,
    },
    /// Reply to [`Call::TakePermits`]: another node holds the lease, or this one may not grant yet.
    NotLeaseHolder {
        /// Time until this node may grant, in milliseconds; `None` if it does not hold the lease.
        active_in_ms: Option<u32>,
    },
    /// Reply to [`Call::VoteOnBootstrap`]: the encoded vote.
    BootstrapVote(Blob),
}
