//! The record that an acceptor has on disk: its promise and its newest vote.
use crate::codec::{self, CodecError};
use crate::vote::{MAX_MEMBERS, Member, ProposalNumber, SharedVote, State, Vote};
use nanoserde::{DeBin, SerBin};

/// The durable state of one shard on one node. A node without a record has neither promised nor accepted anything.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Record {
    /// The highest promised number: the acceptor rejects all proposals with lower numbers. Never decreases.
    pub promised: ProposalNumber,
    /// The newest accepted vote, by id. It is replaced by newer votes and never removed.
    pub accepted: Option<SharedVote>,
}

impl Record {
    /// The initial record of a shard's first group, whose state counts as chosen. Every member has the same bytes on
    /// disk before it starts its register.
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

    /// Encodes the record for the disk.
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }

    /// Decodes a record of at most `max_bytes`; see `Settings::max_message_bytes`.
    ///
    /// # Errors
    /// The input is too long, has another format, or is not a record.
    pub fn decode(bytes: &[u8], max_bytes: usize) -> Result<Record, CodecError> {
        codec::decode(bytes, max_bytes)
    }
}
