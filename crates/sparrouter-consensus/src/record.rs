//! What an acceptor has on disk: its promise and its newest vote.
use crate::codec::{self, CodecError};
use crate::vote::{MAX_MEMBERS, Member, ProposalNumber, SharedVote, State, Vote};
use nanoserde::{DeBin, SerBin};

/// The durable state of one shard at one node. A node without a record has promised and accepted nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Record {
    /// No proposal below this number is promised or accepted any more. Never decreases.
    pub promised: ProposalNumber,
    /// The newest vote by id; it is replaced, never removed.
    pub accepted: Option<SharedVote>,
}

impl Record {
    /// The first record of a shard's first group, whose state counts as chosen. Every member has these same bytes on
    /// disk before it takes part.
    pub fn bootstrap(mut members: Vec<Member>, body: Vec<u8>) -> Record {
        members.sort_unstable();
        let initial_size = members.len().min(MAX_MEMBERS) as u8;
        let state = State {
            slot: 0,
            members,
            initial_size,
            recent_proposals: Vec::new(),
            body,
        };
        let vote = Vote {
            number: ProposalNumber::default(),
            previous_members: None,
            state,
        };
        Record {
            accepted: Some(vote.into()),
            ..Record::default()
        }
    }

    /// The bytes that go to disk.
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }

    /// Reads a record of at most `max_bytes`; see `Settings::max_message_bytes`.
    ///
    /// # Errors
    /// The bytes are too long, of another format, or no record.
    pub fn decode(bytes: &[u8], max_bytes: usize) -> Result<Record, CodecError> {
        codec::decode(bytes, max_bytes)
    }
}
