//! Messages between the nodes of one shard. Each carries state, not a change of state: lost, late, repeated or out of
//! order, none does harm.
//!
//! The order of variants and fields is the encoding; a variant is added at the end only.
use crate::body::{BodyReference, Chunk};
use crate::codec::{self, CodecError};
use crate::vote::{Member, ProposalNumber, SharedVote, VoteId};
use nanoserde::{DeBin, SerBin};

/// Why an acceptor rejects a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum RejectReason {
    /// A higher number was promised, or a newer slot accepted: the proposer may come back with a higher number.
    Superseded,
    /// The acceptor's disk failed, or the record is too large for it; nothing was promised or accepted.
    Disk,
}

/// A message from one node to another about one shard.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum Message {
    /// Phase 1 of Paxos, request.
    Prepare {
        /// The number that the proposer wants to use.
        number: ProposalNumber,
        /// The newest vote that the proposer has, which need not be sent to it.
        known: Option<VoteId>,
    },
    /// Phase 1 of Paxos, answer: the acceptor accepts nothing below `number` from now on. On the sender's disk.
    Promise {
        /// The number of the `Prepare`.
        number: ProposalNumber,
        /// The acceptor's newest vote.
        accepted: Option<VoteId>,
        /// That vote, if it is above the `known` of the `Prepare`.
        newer_vote: Option<SharedVote>,
    },
    /// Phase 2 of Paxos, request.
    Accept {
        /// The value, its slot and its number.
        vote: SharedVote,
    },
    /// Phase 2 of Paxos, answer: the vote is on the sender's disk.
    Accepted {
        /// The accepted vote.
        vote_id: VoteId,
    },
    /// The acceptor refuses a `Prepare` or an `Accept`.
    Reject {
        /// The number that is refused.
        number: ProposalNumber,
        /// The acceptor's promise.
        promised: ProposalNumber,
        /// Why it is refused.
        reason: RejectReason,
    },
    /// Asks for the newest vote on disk. Promises nothing, so that a read disturbs no proposer.
    Query {
        /// Ties the answer to this very question.
        nonce: u64,
        /// The newest vote that the sender has, which need not be sent to it.
        known: Option<VoteId>,
    },
    /// Answer to `Query`.
    Report {
        /// The nonce of the question.
        nonce: u64,
        /// The acceptor's promise, which may not be on disk yet.
        promised: ProposalNumber,
        /// The newest vote on the sender's disk.
        accepted: Option<VoteId>,
        /// That vote, if it is above the `known` of the `Query`.
        newer_vote: Option<SharedVote>,
    },
    /// This vote is chosen; a receiver that has it may publish it.
    Chosen {
        /// The chosen vote.
        vote_id: VoteId,
    },
    /// Anti-entropy: what the sender has. A receiver that knows more answers with it.
    Progress {
        /// The newest vote of the sender, chosen or not.
        accepted: Option<VoteId>,
        /// The newest slot that the sender knows to be chosen.
        chosen_slot: Option<u64>,
    },
    /// The sender's disk has the chosen state of this slot or a later one, without a previous group. From a member to a
    /// node outside of its group, or the other way round. Never answered, or two nodes that each take the other for an
    /// outsider would go on for ever.
    Stored {
        /// The newest chosen slot on disk.
        chosen_slot: u64,
    },
    /// A chosen vote with its state.
    Learn {
        /// The chosen vote.
        vote: SharedVote,
    },
    /// A message of those above without the large body of its vote.
    Outline(Outline),
    /// Asks for one chunk of a body.
    FetchChunk {
        /// The body.
        body: BodyReference,
        /// Where the chunk begins, in bytes.
        offset: u32,
    },
    /// One chunk of a body.
    BodyChunk {
        /// The body.
        body: BodyReference,
        /// Where the chunk begins, in bytes.
        offset: u32,
        /// The bytes.
        chunk: Chunk,
    },
    /// The sender no longer has this body, as newer ones replaced it.
    BodyUnavailable {
        /// The body.
        body: BodyReference,
    },
}

impl Message {
    /// The bytes that go over the wire.
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }

    /// Reads a message of at most `max_bytes`; see `Settings::max_message_bytes`.
    ///
    /// # Errors
    /// The bytes are too long, of another format, or no message.
    pub fn decode(bytes: &[u8], max_bytes: usize) -> Result<Message, CodecError> {
        codec::decode(bytes, max_bytes)
    }

    /// The vote that this message carries, and what else it says.
    pub(crate) fn carried_vote(&self) -> Option<(OutlinedMessage, &SharedVote)> {
        match self {
            Message::Promise {
                number,
                newer_vote: Some(vote),
                ..
            } => Some((OutlinedMessage::Promise { number: *number }, vote)),
            Message::Accept { vote } => Some((OutlinedMessage::Accept, vote)),
            Message::Report {
                nonce,
                promised,
                newer_vote: Some(vote),
                ..
            } => {
                let report = OutlinedMessage::Report {
                    nonce: *nonce,
                    promised: *promised,
                };
                Some((report, vote))
            }
            Message::Learn { vote } => Some((OutlinedMessage::Learn, vote)),
            _ => None,
        }
    }
}

/// A message whose vote has a large body, without that body.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct Outline {
    /// Which message it is, with the fields beside the vote.
    pub message: OutlinedMessage,
    /// The vote; its body is empty here.
    pub vote: SharedVote,
    /// The vote's body.
    pub body: BodyReference,
}

impl Outline {
    /// The message with its body.
    pub(crate) fn complete(&self, body: &[u8]) -> Message {
        let vote: SharedVote = self.vote.with_body(body.to_vec()).into();
        let accepted = Some(vote.id());
        match self.message {
            OutlinedMessage::Promise { number } => Message::Promise {
                number,
                accepted,
                newer_vote: Some(vote),
            },
            OutlinedMessage::Accept => Message::Accept { vote },
            OutlinedMessage::Report { nonce, promised } => Message::Report {
                nonce,
                promised,
                accepted,
                newer_vote: Some(vote),
            },
            OutlinedMessage::Learn => Message::Learn { vote },
        }
    }
}

/// Which message an outline is, with its fields beside the vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum OutlinedMessage {
    /// `Message::Promise` for this number.
    Promise {
        /// The number of the `Prepare`.
        number: ProposalNumber,
    },
    /// `Message::Accept`.
    Accept,
    /// `Message::Report` to the question with this nonce.
    Report {
        /// The nonce of the question.
        nonce: u64,
        /// The acceptor's promise.
        promised: ProposalNumber,
    },
    /// `Message::Learn`.
    Learn,
}

/// A message to be sent.
#[derive(Clone, Debug)]
pub(crate) struct Outgoing {
    pub to: Member,
    pub message: Message,
}

/// A message that arrived, under the disk id that its sender has now.
#[derive(Clone, Debug)]
pub(crate) struct Received {
    pub from: Member,
    pub message: Message,
}
