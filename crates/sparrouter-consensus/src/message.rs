//! Messages between the nodes of one shard. Messages carry states, not changes of states, so that it is safe to lose,
//! delay, duplicate or reorder them.
//!
//! The encoding depends on the order of variants and fields; new variants are added only at the end.
use crate::body::{BodyReference, Chunk};
use crate::codec::{self, CodecError};
use crate::vote::{Member, ProposalNumber, SharedVote, VoteId};
use nanoserde::{DeBin, SerBin};

/// The reason why an acceptor rejects a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum RejectReason {
    /// A higher number was promised or a vote for a later slot accepted. The proposer may retry with a higher number.
    Superseded,
    /// The acceptor's disk failed or the vote's body is too large. Nothing was promised or accepted.
    Disk,
}

/// A message from one node to another about one shard.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum Message {
    /// Phase 1 of Paxos, request.
    Prepare {
        /// The number that the proposer wants to use.
        number: ProposalNumber,
        /// The newest vote that the proposer has; the reply contains only a newer vote.
        known: Option<VoteId>,
    },
    /// Phase 1 of Paxos, answer: the acceptor accepts no proposal below `number` any more. The promise is on the
    /// sender's disk.
    Promise {
        /// The number of the `Prepare`.
        number: ProposalNumber,
        /// The acceptor's newest vote.
        accepted: Option<VoteId>,
        /// The vote `accepted` with its state, if it is newer than `known` of the `Prepare`.
        newer_vote: Option<SharedVote>,
    },
    /// Phase 2 of Paxos, request.
    Accept {
        /// The proposed state and its proposal number.
        vote: SharedVote,
    },
    /// Phase 2 of Paxos, answer: the vote is on the sender's disk.
    Accepted {
        /// The accepted vote.
        vote_id: VoteId,
    },
    /// The acceptor rejects a `Prepare` or an `Accept`.
    Reject {
        /// The rejected proposal number.
        number: ProposalNumber,
        /// The highest number that the acceptor promised.
        promised: ProposalNumber,
        /// The reason of the rejection.
        reason: RejectReason,
    },
    /// Asks for the newest vote on disk. The receiver promises nothing, so that reads don't disturb proposers.
    Query {
        /// Identifies the answer to this query.
        nonce: u64,
        /// The newest vote that the sender has; the answer contains only a newer vote.
        known: Option<VoteId>,
    },
    /// Answer to `Query`.
    Report {
        /// The nonce of the `Query`.
        nonce: u64,
        /// The highest number that the acceptor promised, which may not be on disk yet.
        promised: ProposalNumber,
        /// The newest vote on the sender's disk.
        accepted: Option<VoteId>,
        /// The vote `accepted` with its state, if it is newer than `known` of the `Query`.
        newer_vote: Option<SharedVote>,
    },
    /// This vote is chosen. A receiver that has accepted the vote may publish it.
    Chosen {
        /// The chosen vote.
        vote_id: VoteId,
    },
    /// Anti-entropy: the sender's progress. A receiver with a newer chosen state answers with that state.
    Progress {
        /// The newest vote of the sender, chosen or not.
        accepted: Option<VoteId>,
        /// The newest slot that the sender knows to be chosen.
        chosen_slot: Option<u64>,
    },
    /// The sender's disk has the chosen state of this slot, in a vote without `previous_members`, or a vote for a later
    /// slot. Sent by a member to a node outside its group, or by such a node to a member. The message is never
    /// answered; otherwise two nodes that each consider the other to be outside the group would exchange it for ever.
    Stored {
        /// The newest chosen slot on the sender's disk.
        chosen_slot: u64,
    },
    /// A chosen vote with its state.
    Learn {
        /// The chosen vote.
        vote: SharedVote,
    },
    /// A `Promise`, `Accept`, `Report` or `Learn` without the large body of its vote.
    Outline(Outline),
    /// Requests one chunk of a body.
    FetchChunk {
        /// The body.
        body: BodyReference,
        /// Offset of the chunk in the body, in bytes.
        offset: u32,
    },
    /// One chunk of a body.
    BodyChunk {
        /// The body.
        body: BodyReference,
        /// Offset of the chunk in the body, in bytes.
        offset: u32,
        /// The bytes of the chunk.
        chunk: Chunk,
    },
    /// The sender no longer has this body, because newer bodies replaced it.
    BodyUnavailable {
        /// The requested body.
        body: BodyReference,
    },
}

impl Message {
    /// Encodes the message for the network.
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }

    /// Decodes a message of at most `max_bytes`; see `Settings::max_message_bytes`.
    ///
    /// # Errors
    /// The input is too long, has another format, or is not a message.
    pub fn decode(bytes: &[u8], max_bytes: usize) -> Result<Message, CodecError> {
        codec::decode(bytes, max_bytes)
    }

    /// The vote that this message carries, and the kind of message with its other fields; `None` if it carries no vote.
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
    /// The kind of message, with its fields other than the vote.
    pub message: OutlinedMessage,
    /// The vote, with an empty body.
    pub vote: SharedVote,
    /// Reference to the vote's body.
    pub body: BodyReference,
}

impl Outline {
    /// The complete message with this body.
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

/// The kind of message that an outline stands for, with its fields other than the vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum OutlinedMessage {
    /// A `Message::Promise`.
    Promise {
        /// The number of the `Prepare`.
        number: ProposalNumber,
    },
    /// A `Message::Accept`.
    Accept,
    /// A `Message::Report`.
    Report {
        /// The nonce of the `Query`.
        nonce: u64,
        /// The highest number that the acceptor promised.
        promised: ProposalNumber,
    },
    /// A `Message::Learn`.
    Learn,
}

/// A message to be sent.
#[derive(Clone, Debug)]
pub(crate) struct Outgoing {
    pub to: Member,
    pub message: Message,
}

/// A received message with its sender, identified by the sender's current disk id.
#[derive(Clone, Debug)]
pub(crate) struct Received {
    pub from: Member,
    pub message: Message,
}
