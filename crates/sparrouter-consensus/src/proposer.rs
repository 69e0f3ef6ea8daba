//! The Paxos proposer: its proposal numbers, the request in progress, and the prepared number, which allows it to
//! propose the next slot without a prepare phase.
//!
//! | phase | requests | ends when | result |
//! | --- | --- | --- | --- |
//! | query | the newest votes on disk | a quorum has the same vote | the vote is chosen, reads are answered |
//! | prepare | promises | a quorum has promised | the newest reported vote is proposed again, unless the quorum has it |
//! | accept | acceptance of a vote | a quorum has accepted | the vote is chosen, its operations are answered, the number stays prepared |
//! | backoff | nothing | the delay is over | prepare phase with a higher number |
//!
//! At most one request is in progress, on behalf of all pending operations. `register::proposal` and `register::read`
//! implement the transitions between the phases.
use crate::message::Outgoing;
use crate::operation::Sequence;
use crate::request::{QuorumRequest, Reply, RequestKind};
use crate::settings::Settings;
use crate::time::Nanos;
use crate::vote::{Member, ProposalNumber, SharedVote};
use fastrand::Rng;

/// A number under which the slot after `chosen` may be proposed without a prepare phase (Multi-Paxos): a quorum of the
/// group has promised or accepted the number with `chosen` as its newest vote, so that no newer vote under a lower
/// number can be chosen.
#[derive(Clone, Debug)]
pub(crate) struct PreparedNumber {
    pub number: ProposalNumber,
    pub chosen: SharedVote,
    /// Start of the last request that confirmed `chosen` as the newest vote. Operations that were submitted before it
    /// may be answered from `chosen`.
    pub confirmed: Sequence,
}

/// The phase of the proposer.
#[derive(Clone, Debug)]
enum Phase {
    Idle,
    Backoff { ends_at: Nanos },
    Request(QuorumRequest),
}

/// The state of the proposer. It is kept in memory only and lost at a restart.
#[derive(Clone, Debug)]
pub(crate) struct Proposer {
    /// Disk id of this node.
    disk_id: u64,
    /// Drawn at random at each start, so that a number used before a restart is never used for a second value.
    incarnation: u64,
    /// The highest term that this node observed or used. It never decreases, so that an incarnation uses no number
    /// twice.
    term: u64,
    phase: Phase,
    /// The prepared number; `None` if a prepare phase is needed or an `Accept` is in progress. A vote that was sent is
    /// never replaced by another vote under the same number.
    prepared: Option<PreparedNumber>,
    /// Moving average of the time for a message to a peer, the peer's sync and its answer.
    round_trip: Nanos,
    /// Number of backoffs since a vote of this proposer was last chosen.
    consecutive_backoffs: u32,
}

impl Proposer {
    /// Creates an idle proposer that has observed terms up to `term`.
    pub fn new(disk_id: u64, incarnation: u64, term: u64, round_trip: Nanos) -> Proposer {
        Proposer {
            disk_id,
            incarnation,
            term,
            phase: Phase::Idle,
            prepared: None,
            round_trip,
            consecutive_backoffs: 0,
        }
    }

    /// Records the term of a proposal number that this node has seen.
    pub fn observe_term(&mut self, number: ProposalNumber) {
        self.term = self.term.max(number.term);
    }

    /// A number higher than all numbers that this node has observed.
    pub fn next_number(&mut self, settings: &Settings) -> ProposalNumber {
        self.term += 1;
        if settings.defects.shared_proposal_numbers {
            return ProposalNumber {
                term: self.term,
                ..ProposalNumber::default()
            };
        }
        ProposalNumber {
            term: self.term,
            replica: self.disk_id,
            incarnation: self.incarnation,
        }
    }

    /// Estimated time for a message to a peer, the peer's sync and its answer.
    pub fn round_trip(&self) -> Nanos {
        self.round_trip
    }

    /// Whether neither a request nor a backoff is in progress.
    pub fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Idle)
    }

    /// When the request is to be repeated or the backoff ends; `None` if the proposer is idle.
    pub fn next_wake(&self) -> Option<Nanos> {
        match &self.phase {
            Phase::Idle => None,
            Phase::Backoff { ends_at } => Some(*ends_at),
            Phase::Request(request) => Some(request.repeat_at),
        }
    }

    /// The request in progress.
    pub fn request(&self) -> Option<&QuorumRequest> {
        match &self.phase {
            Phase::Request(request) => Some(request),
            Phase::Idle | Phase::Backoff { .. } => None,
        }
    }

    /// Whether a query is in progress. Its result is of no use to later operations.
    pub fn is_querying(&self) -> bool {
        let request = self.request();
        request.is_some_and(|request| matches!(request.kind, RequestKind::Query { .. }))
    }

    /// The request in progress.
    pub fn request_mut(&mut self) -> Option<&mut QuorumRequest> {
        match &mut self.phase {
            Phase::Request(request) => Some(request),
            Phase::Idle | Phase::Backoff { .. } => None,
        }
    }

    /// Makes `request` the request in progress and ends the previous phase.
    pub fn start(&mut self, request: QuorumRequest) {
        let is_accept = matches!(request.kind, RequestKind::Accept { .. });
        debug_assert!(!is_accept || self.prepared.is_none());
        self.phase = Phase::Request(request);
    }

    /// Ends the current phase and returns its request; `None` if no request was in progress.
    pub fn end_phase(&mut self) -> Option<QuorumRequest> {
        match std::mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Request(request) => Some(request),
            Phase::Idle | Phase::Backoff { .. } => None,
        }
    }

    /// The prepared number; `None` if a prepare phase is needed.
    pub fn prepared_mut(&mut self) -> Option<&mut PreparedNumber> {
        self.prepared.as_mut()
    }

    /// Removes the prepared number and returns it, so that the caller proposes under it.
    pub fn take_prepared(&mut self) -> Option<PreparedNumber> {
        self.prepared.take()
    }

    /// Sets the number under which the next slot may be proposed without a prepare phase.
    pub fn set_prepared(&mut self, prepared: PreparedNumber) {
        self.prepared = Some(prepared);
    }

    /// Drops the prepared number, because another proposer may have taken the next slot.
    pub fn drop_prepared(&mut self) {
        self.prepared = None;
    }

    /// Resets the backoff after a vote of this proposer was chosen.
    pub fn reset_backoff(&mut self) {
        self.consecutive_backoffs = 0;
    }

    /// Starts a backoff of random length before the next prepare phase. Without the random length, two proposers could
    /// reject each other's numbers by preparing higher ones for ever (livelock). `write_time`: how long a write to disk
    /// takes; a proposer must have time for the writes of its votes before another one supersedes it.
    pub fn back_off(&mut self, rng: &mut Rng, write_time: Nanos, now: Nanos) {
        self.prepared = None;
        let exponent = self.consecutive_backoffs;
        let max_delay = (self.round_trip << exponent.min(6)).max(write_time << exponent.min(3));
        self.consecutive_backoffs += 1;
        let ends_at = now + rng.u64(0..=max_delay);
        self.phase = Phase::Backoff { ends_at };
    }

    /// Records a reply and returns the messages to members that the reply made known. `None` if no request awaits the
    /// reply.
    pub fn on_reply(
        &mut self,
        from: &Member,
        reply: Reply,
        settings: &Settings,
        now: Nanos,
    ) -> Option<Vec<Outgoing>> {
        let own_disk_id = self.disk_id;
        let request = self
            .request_mut()
            .filter(|request| request.awaits(from.disk_id, reply.to))?;
        let measured = request
            .measured_round_trip(now)
            .filter(|_| from.disk_id != own_disk_id);
        let is_first = request.has_no_reply();
        request.record_reply(from.disk_id, reply.accepted);
        let mut sends = Vec::new();
        if let Some(vote) = reply.newer_vote {
            let may_adopt = is_first || !settings.defects.adopt_first_vote;
            if vote.id() > request.vote.id() && may_adopt {
                sends = self.adopt_newer_vote(vote);
            } else {
                request.reported_votes.push(vote);
            }
        }
        if let Some(measured) = measured {
            self.round_trip = (self.round_trip * 7 + measured) / 8;
        }
        Some(sends)
    }

    /// Continues a query or prepare phase with a newer vote. Returns the messages to electors of that vote that were
    /// not asked yet.
    pub fn adopt_newer_vote(&mut self, vote: SharedVote) -> Vec<Outgoing> {
        let Some(request) = self.request_mut() else {
            return Vec::new();
        };
        let added = request.adopt_newer_vote(vote);
        let message = request.message();
        let to_member = |to| Outgoing {
            to,
            message: message.clone(),
        };
        added.into_iter().map(to_member).collect()
    }

    /// Records a rejection. Returns whether the request in progress uses the rejected number.
    pub fn on_reject(&mut self, disk_id: u64, number: ProposalNumber) -> bool {
        let Some(request) = self
            .request_mut()
            .filter(|request| request.number() == Some(number))
        else {
            return false;
        };
        request.record_rejection(disk_id);
        true
    }
}
