//! The limits and intervals of a register, and the defects that a test injects.
use crate::codec::MAX_TEXT_BYTES;
use crate::defects::Defects;
use crate::time::{MILLISECOND, Nanos};
use crate::vote::MAX_MEMBERS;

/// Settings of one register; equal at all nodes of a shard, though no safety property depends on that.
#[derive(Clone, Debug)]
pub struct Settings {
    /// A member that was not heard from for so long may be replaced (`bounds.contact_ms`).
    pub contact_timeout: Nanos,
    /// Between two anti-entropy messages of a node; each interval is drawn between half of it and one and a half of it.
    pub anti_entropy_interval: Nanos,
    /// Estimate of a message to a peer, its sync and the answer, until it is measured.
    pub round_trip: Nanos,
    /// Most operations that wait at one register; further ones are rejected as `Busy`.
    pub max_pending: usize,
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Largest change, in bytes.
    pub max_change_bytes: usize,
    /// Largest body that goes with the messages that carry its vote, in bytes; larger ones are fetched in chunks.
    pub max_inline_body_bytes: usize,
    /// Length of a chunk, in bytes. A small message on the same connection waits behind a few chunks at most.
    pub chunk_bytes: usize,
    /// Defects that a test injects.
    pub defects: Defects,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            contact_timeout: 3_000 * MILLISECOND,
            anti_entropy_interval: 500 * MILLISECOND,
            round_trip: 20 * MILLISECOND,
            max_pending: 256,
            max_body_bytes: 8 << 20,
            max_change_bytes: 8 << 20,
            max_inline_body_bytes: 16 << 10,
            chunk_bytes: 32 << 10,
            defects: Defects::default(),
        }
    }
}

impl Settings {
    /// Longest encoded message or record, in bytes: a body, the texts of the members of two groups, and a header.
    pub fn max_message_bytes(&self) -> usize {
        self.max_body_bytes + MAX_MEMBERS * 4 * (MAX_TEXT_BYTES + 16) + 1024
    }
}
