//! A request to everybody whose vote counts, repeated until a quorum has answered: a round of messages of the proposer.
use crate::evaluation::Evaluated;
use crate::message::Message;
use crate::operation::Sequence;
use crate::time::Nanos;
use crate::vote::{Member, ProposalNumber, SharedVote, VoteId, contains_disk};
use std::collections::{BTreeMap, BTreeSet};

/// Repeats to members that don't answer before the proposal starts anew.
const MAX_REPEATS: u32 = 6;

/// What a request asks for.
#[derive(Clone, Debug)]
pub(crate) enum RequestKind {
    /// The newest votes on disk. `attempt` counts from 1.
    Query { nonce: u64, attempt: u32 },
    /// Promises for a number.
    Prepare { number: ProposalNumber },
    /// Acceptance of `QuorumRequest::vote`; the operations that it completes.
    Accept { evaluated: Vec<Evaluated> },
}

/// Which request a reply answers.
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
    /// That vote, if the request named an older one.
    pub newer_vote: Option<SharedVote>,
}

/// A request in progress.
#[derive(Clone, Debug)]
pub(crate) struct QuorumRequest {
    pub kind: RequestKind,
    /// When it began: operations that came before are answered by its result.
    pub sequence: Sequence,
    /// Every elector of `vote` and of the votes that it was before; members are only added.
    pub recipients: Vec<Member>,
    /// By disk id of a recipient: the newest vote that it has, by its last reply.
    replies: BTreeMap<u64, Option<VoteId>>,
    /// Disk ids of recipients that rejected it.
    rejections: BTreeSet<u64>,
    /// The vote that is proposed by an `Accept`; otherwise the newest vote reported, whose groups have to answer.
    pub vote: SharedVote,
    /// All votes that replies brought and the one that the request began with: the candidates of a `Query`.
    pub reported_votes: Vec<SharedVote>,
    started_at: Nanos,
    repeats: u32,
    /// When it is repeated to those that did not answer.
    pub repeat_at: Nanos,
}

impl QuorumRequest {
    /// A request to the electorate of `vote` that begins now.
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

    /// The number under which it proposes; a query has none.
    pub fn number(&self) -> Option<ProposalNumber> {
        match self.kind {
            RequestKind::Query { .. } => None,
            RequestKind::Prepare { number } => Some(number),
            RequestKind::Accept { .. } => Some(self.vote.number),
        }
    }

    /// Whether a reply from this disk answers this very request.
    pub fn awaits(&self, disk_id: u64, reply_to: ReplyTo) -> bool {
        let is_answer = match (&self.kind, reply_to) {
            (RequestKind::Query { nonce, .. }, ReplyTo::Query(answered)) => *nonce == answered,
            (RequestKind::Prepare { number }, ReplyTo::Prepare(answered)) => *number == answered,
            (RequestKind::Accept { .. }, ReplyTo::Accept(answered)) => self.vote.id() == answered,
            _ => false,
        };
        is_answer && contains_disk(&self.recipients, disk_id)
    }

    /// How long the answer took; `None` once the request was repeated, as the answer may be to any of its copies.
    pub fn measured_round_trip(&self, now: Nanos) -> Option<Nanos> {
        (self.repeats == 0).then(|| now.saturating_sub(self.started_at))
    }

    /// Whether nobody has replied.
    pub fn has_no_reply(&self) -> bool {
        self.replies.is_empty()
    }

    /// A recipient replied with its newest vote.
    pub fn record_reply(&mut self, disk_id: u64, accepted: Option<VoteId>) {
        self.replies.insert(disk_id, accepted);
    }

    /// A recipient rejected it.
    pub fn record_rejection(&mut self, disk_id: u64) {
        self.rejections.insert(disk_id);
    }

    /// Whether the disk replied.
    pub fn has_reply(&self, disk_id: u64) -> bool {
        self.replies.contains_key(&disk_id)
    }

    /// Whether the disk may still answer, or has.
    pub fn may_have_reply(&self, disk_id: u64) -> bool {
        !self.rejections.contains(&disk_id) || self.has_reply(disk_id)
    }

    /// Whether the disk replied that this is its newest vote.
    pub fn has_vote(&self, disk_id: u64, vote_id: VoteId) -> bool {
        self.replies.get(&disk_id) == Some(&Some(vote_id))
    }

    /// Whether every recipient replied.
    pub fn has_all_replies(&self) -> bool {
        self.recipients.iter().all(|m| self.has_reply(m.disk_id))
    }

    /// Recipients that replied with another vote than this one.
    pub fn recipients_without(&self, vote_id: VoteId) -> Vec<Member> {
        self.recipients
            .iter()
            .filter(|m| self.has_reply(m.disk_id) && !self.has_vote(m.disk_id, vote_id))
            .cloned()
            .collect()
    }

    /// Goes on with a newer vote; its electors that are not recipients yet become so, and are returned.
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

    /// Whether what it asks for, or whom, may be out of date: `newest` is this node's newest vote.
    pub fn may_be_outdated(&self, newest: Option<VoteId>) -> bool {
        !self.rejections.is_empty() || newest > Some(self.vote.id()) || self.repeats >= MAX_REPEATS
    }

    /// Counts a repeat and sets the time of the next; the recipients that have not answered.
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
