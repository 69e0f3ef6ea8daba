//! A request of the proposer to all members whose votes count, which is repeated until a quorum has answered.
use crate::evaluation::Evaluated;
use crate::message::Message;
use crate::operation::Sequence;
use crate::time::Nanos;
use crate::vote::{Member, ProposalNumber, SharedVote, VoteId, contains_disk};
use std::collections::{BTreeMap, BTreeSet};

/// Number of repeats of a request after which the proposer backs off and prepares a new number.
const MAX_REPEATS: u32 = 6;

/// The kind of a request.
#[derive(Clone, Debug)]
pub(crate) enum RequestKind {
    /// Asks for the newest votes on disk. `attempt` counts from 1.
    Query { nonce: u64, attempt: u32 },
    /// Asks for promises for a number.
    Prepare { number: ProposalNumber },
    /// Asks for acceptance of `QuorumRequest::vote`, which completes the operations in `evaluated`.
    Accept { evaluated: Vec<Evaluated> },
}

/// Identifies the request that a reply answers.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ReplyTo {
    Query(u64),
    Prepare(ProposalNumber),
    Accept(VoteId),
}

/// An acceptor's positive answer to a request.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub to: ReplyTo,
    /// The newest vote that the acceptor has.
    pub accepted: Option<VoteId>,
    /// The vote `accepted` with its state, if it is newer than the vote that the request named.
    pub newer_vote: Option<SharedVote>,
}

/// A request in progress.
#[derive(Clone, Debug)]
pub(crate) struct QuorumRequest {
    pub kind: RequestKind,
    /// Position in the order of operations and requests. The request's result answers the operations before it.
    pub sequence: Sequence,
    /// All electors of `vote` and of its earlier values; members are only added.
    pub recipients: Vec<Member>,
    /// The newest vote of each recipient that replied, by disk id.
    replies: BTreeMap<u64, Option<VoteId>>,
    /// Disk ids of the recipients that rejected the request.
    rejections: BTreeSet<u64>,
    /// The proposed vote of an `Accept`; otherwise the newest reported vote, whose groups have to answer.
    pub vote: SharedVote,
    /// The initial vote of the request and all votes in replies. A `Query` looks for a chosen vote among them.
    pub reported_votes: Vec<SharedVote>,
    started_at: Nanos,
    repeats: u32,
    /// When the request is repeated to the recipients that have not replied.
    pub repeat_at: Nanos,
}

impl QuorumRequest {
    /// Creates a request to the electorate of `vote` that starts now.
    pub fn new(
        kind: RequestKind,
        vote: SharedVote,
        sequence: Sequence,
        round_trip: Nanos,
        now: Nanos,
    ) -> QuorumRequest {
        QuorumRequest {
            kind,
            sequence,
            recipients: vote.electorate(),
            replies: BTreeMap::new(),
            rejections: BTreeSet::new(),
            reported_votes: vec![vote.clone()],
            vote,
            started_at: now,
            repeats: 0,
            repeat_at: now + 4 * round_trip,
        }
    }

    /// The message to each recipient.
    pub fn message(&self) -> Message {
        let known = Some(self.vote.id());
        match &self.kind {
            RequestKind::Query { nonce, .. } => Message::Query {
                nonce: *nonce,
                known,
            },
            RequestKind::Prepare { number } => Message::Prepare {
                number: *number,
                known,
            },
            RequestKind::Accept { .. } => Message::Accept {
                vote: self.vote.clone(),
            },
        }
    }

    /// The proposal number of the request; `None` if it is a query.
    pub fn number(&self) -> Option<ProposalNumber> {
        match self.kind {
            RequestKind::Query { .. } => None,
            RequestKind::Prepare { number } => Some(number),
            RequestKind::Accept { .. } => Some(self.vote.number),
        }
    }

    /// Whether a reply from this disk answers this request.
    pub fn awaits(&self, disk_id: u64, reply_to: ReplyTo) -> bool {
        let is_answer = match (&self.kind, reply_to) {
            (RequestKind::Query { nonce, .. }, ReplyTo::Query(answered)) => *nonce == answered,
            (RequestKind::Prepare { number }, ReplyTo::Prepare(answered)) => *number == answered,
            (RequestKind::Accept { .. }, ReplyTo::Accept(answered)) => self.vote.id() == answered,
            _ => false,
        };
        is_answer && contains_disk(&self.recipients, disk_id)
    }

    /// Time since the request started; `None` if the request was repeated, because a reply may then answer any of its
    /// copies.
    pub fn measured_round_trip(&self, now: Nanos) -> Option<Nanos> {
        (self.repeats == 0).then(|| now.saturating_sub(self.started_at))
    }

    /// Whether no recipient has replied.
    pub fn has_no_reply(&self) -> bool {
        self.replies.is_empty()
    }

    /// Records a recipient's reply with its newest vote.
    pub fn record_reply(&mut self, disk_id: u64, accepted: Option<VoteId>) {
        self.replies.insert(disk_id, accepted);
    }

    /// Records a recipient's rejection of the request.
    pub fn record_rejection(&mut self, disk_id: u64) {
        self.rejections.insert(disk_id);
    }

    /// Whether the disk replied.
    pub fn has_reply(&self, disk_id: u64) -> bool {
        self.replies.contains_key(&disk_id)
    }

    /// Whether the disk has replied or may still do so.
    pub fn may_have_reply(&self, disk_id: u64) -> bool {
        !self.rejections.contains(&disk_id) || self.has_reply(disk_id)
    }

    /// Whether the disk replied that `vote_id` is its newest vote.
    pub fn has_vote(&self, disk_id: u64, vote_id: VoteId) -> bool {
        self.replies.get(&disk_id) == Some(&Some(vote_id))
    }

    /// Whether every recipient replied.
    pub fn has_all_replies(&self) -> bool {
        self.recipients.iter().all(|m| self.has_reply(m.disk_id))
    }

    /// The recipients whose reply contains another vote than `vote_id`.
    pub fn recipients_without(&self, vote_id: VoteId) -> Vec<Member> {
        self.recipients
            .iter()
            .filter(|m| self.has_reply(m.disk_id) && !self.has_vote(m.disk_id, vote_id))
            .cloned()
            .collect()
    }

    /// Continues the request with a newer vote. Adds the vote's electors to the recipients and returns the added ones.
    pub fn adopt_newer_vote(&mut self, vote: SharedVote) -> Vec<Member> {
        let mut added = vote.electorate();
        added.retain(|member| !contains_disk(&self.recipients, member.disk_id));
        self.recipients.extend(added.iter().cloned());
        self.reported_votes
            .retain(|reported| reported.id() != vote.id());
        self.reported_votes.push(vote.clone());
        self.vote = vote;
        added
    }

    /// Whether the request or its recipients may be out of date. `newest` is this node's newest vote.
    pub fn may_be_outdated(&self, newest: Option<VoteId>) -> bool {
        !self.rejections.is_empty() || newest > Some(self.vote.id()) || self.repeats >= MAX_REPEATS
    }

    /// Counts a repeat, schedules the next one, and returns the recipients that have not replied.
    pub fn repeat(&mut self, round_trip: Nanos, max_interval: Nanos, now: Nanos) -> Vec<Member> {
        self.repeats += 1;
        let backoff = (4 * round_trip) << self.repeats.min(4);
        self.repeat_at = now + backoff.min(max_interval);
        self.recipients
            .iter()
            .filter(|member| !self.has_reply(member.disk_id))
            .cloned()
            .collect()
    }
}
