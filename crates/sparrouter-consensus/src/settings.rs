//! Settings of a register: limits, intervals, and the defects that a test injects.
use crate::codec::MAX_TEXT_BYTES;
use crate::defects::Defects;
use crate::time::{MILLISECOND, Nanos};
use crate::vote::MAX_MEMBERS;

/// Maximum length of a body, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Bytes that a change may have beside a body: a machine whose change contains a body of the maximum length decides on it.
const CHANGE_HEADER_BYTES: usize = 64 << 10;

/// Settings of one register. All nodes of a shard should have equal settings, but no safety property depends on that.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time without contact after which a member may be replaced (setting `bounds.contact_ms`).
    pub contact_timeout: Nanos,
    /// Mean interval between two anti-entropy messages of a node. Each interval is drawn between 0.5 and 1.5 times this
    /// value.
    pub anti_entropy_interval: Nanos,
    /// Initial estimate of the time for a message to a peer, the peer's sync and its answer, used until it is measured.
    pub round_trip: Nanos,
    /// Maximum number of pending operations of one register; further operations are rejected as `Busy`.
    pub max_pending: usize,
    /// Maximum length of a body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum length of a change, in bytes.
    pub max_change_bytes: usize,
    /// Maximum length of a body that is sent inline with its vote, in bytes; larger bodies are fetched in chunks.
    pub max_inline_body_bytes: usize,
    /// Length of a chunk of a body, in bytes. A small message on the same connection waits behind at most a few chunks.
    pub chunk_bytes: usize,
    /// The defects that a test injects; none outside of tests.
    pub defects: Defects,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            contact_timeout: 3_000 * MILLISECOND,
            anti_entropy_interval: 500 * MILLISECOND,
            round_trip: 20 * MILLISECOND,
            max_pending: 256,
            max_body_bytes: MAX_BODY_BYTES,
            max_change_bytes: MAX_BODY_BYTES + CHANGE_HEADER_BYTES,
            max_inline_body_bytes: 16 << 10,
            chunk_bytes: 32 << 10,
            defects: Defects::default(),
        }
    }
}

impl Settings {
    /// Maximum length of an encoded message or record, in bytes: a body, names and addresses of two groups, and a
    /// header.
    pub fn max_message_bytes(&self) -> usize {
        self.max_body_bytes + MAX_MEMBERS * 4 * (MAX_TEXT_BYTES + 16) + 1024
    }
}
