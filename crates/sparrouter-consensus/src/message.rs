//! What nodes say to each other about one part. Each is a copy of state: lost, late, repeated or out of order, none
//! does harm.
use crate::codec::{self, CodecError, read_bytes, write_bytes};
use crate::transfer::{BodyReference, Purpose};
use crate::types::{ProposalNumber, SharedVote, VoteId};
use nanoserde::{DeBin, DeBinErr, SerBin};

#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Reason {
    /// A higher ballot was promised, or a newer slot accepted: come back with a higher one.
    Outrun,
    /// The acceptor's disk refuses or the record is too large for it; nothing was promised.
    Disk,
}

#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum Message {
    /// `known`: the newest vote that the proposer has, which need not be sent to it.
    Prepare {
        ballot: ProposalNumber,
        known: Option<VoteId>,
    },
    /// The acceptor takes no lower ballot from now on. `at` is its newest vote, `newer` that vote if it is above
    /// `known`.
    Promise {
        ballot: ProposalNumber,
        at: Option<VoteId>,
        newer: Option<SharedVote>,
    },
    Accept {
        vote: SharedVote,
    },
    Accepted {
        at: VoteId,
    },
    /// No to `ballot`; `promised` is what outran it.
    Reject {
        ballot: ProposalNumber,
        promised: ProposalNumber,
        reason: Reason,
    },
    /// What is your newest vote on disk? Promises nothing. `nonce` ties the answer to this very question.
    Query {
        nonce: u64,
        known: Option<VoteId>,
    },
    Report {
        nonce: u64,
        promised: ProposalNumber,
        at: Option<VoteId>,
        newer: Option<SharedVote>,
    },
    /// This vote is chosen; who has it may publish it.
    Chosen {
        at: VoteId,
    },
    /// What I have and the newest slot that I know to be chosen: whoever knows more hands it over.
    Have {
        at: Option<VoteId>,
        chosen: Option<u64>,
    },
    /// From a member to a node outside of its group, or from such a node to a member: up to this slot my disk keeps
    /// what is chosen, without a group before. Never answered, or two that each hold the other for an outsider would
    /// go on for ever.
    Stored {
        chosen: u64,
    },
    /// A chosen vote, whole.
    Learn {
        vote: SharedVote,
    },
    /// A message of those above whose vote has a large body, without that: see `transfer`.
    Outline {
        purpose: Purpose,
        /// Its body is empty here.
        vote: SharedVote,
        body: BodyReference,
    },
    /// Send me the piece of this body that begins at `offset`.
    FetchBody {
        body: BodyReference,
        offset: u32,
    },
    BodyChunk {
        body: BodyReference,
        offset: u32,
        bytes: ChunkBytes,
    },
    /// I have this body no more, as newer ones came.
    BodyUnavailable {
        body: BodyReference,
    },
}

/// Bytes of a body, written as one block.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChunkBytes(pub Vec<u8>);

impl From<&[u8]> for ChunkBytes {
    fn from(bytes: &[u8]) -> ChunkBytes {
        ChunkBytes(bytes.to_vec())
    }
}

impl SerBin for ChunkBytes {
    fn ser_bin(&self, out: &mut Vec<u8>) {
        write_bytes(&self.0, out);
    }
}

impl DeBin for ChunkBytes {
    fn de_bin(at: &mut usize, input: &[u8]) -> Result<ChunkBytes, DeBinErr> {
        Ok(ChunkBytes(read_bytes(at, input, input.len())?))
    }
}

impl Message {
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }

    pub fn decode(bytes: &[u8], most: usize) -> Result<Message, CodecError> {
        codec::decode(bytes, most)
    }
}
