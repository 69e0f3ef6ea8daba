//! The proposer: its proposal numbers, the request in progress, and the right to propose the next slot at once.
//!
//! | phase | asks for | ends when | then |
//! | --- | --- | --- | --- |
//! | query | the newest votes on disk | a quorum has the same vote | it is chosen: reads are answered |
//! | prepare | promises | a quorum promised | the newest vote reported is proposed again, unless the quorum has it |
//! | accept | acceptance of a vote | a quorum accepted | it is chosen: its operations are answered; the number stays prepared |
//! | backoff | nothing | its time is up | prepare, with a higher number |
//!
//! One request is in progress at a time, for all operations that wait. How the phases follow each other is in
//! `register::proposal` and `register::read`.
use crate::message::Outgoing;
use crate::operation::Sequence;
use crate::request::{QuorumRequest, Reply, RequestKind};
use crate::settings::Settings;
use crate::time::Nanos;
use crate::vote::{Member, ProposalNumber, SharedVote};
use fastrand::Rng;

/// The right to propose the slot after `chosen` under `number` without a prepare phase: a quorum of its group has just
/// promised or accepted that number with `chosen` as its newest vote, and can have nothing newer (Multi-Paxos).
#[derive(Clone, Debug)]
pub(crate) struct PreparedNumber {
    pub number: ProposalNumber,
    pub chosen: SharedVote,
    /// When the last request that confirmed `chosen` as newest began: operations that came before may be answered by it.
    pub confirmed: Sequence,
}

/// What the proposer is doing.
#[derive(Clone, Debug)]
enum Phase {
    Idle,
    Backoff { until: Nanos },
    Request(QuorumRequest),
}

/// The proposer's state, which is lost with the process.
#[derive(Clone, Debug)]
pub(crate) struct Proposer {
    /// Disk id of this node.
    disk_id: u64,
    /// Drawn at random at each start, so that no number of an earlier start is used for a second value.
    incarnation: u64,
    /// The highest term of any number that this node observed or used. Never decreases, so that one start uses no
    /// number twice.
    term: u64,
    phase: Phase,
    /// `None` while an `Accept` is in progress: a vote that was sent is never replaced by another under its number.
    prepared: Option<PreparedNumber>,
    /// Moving average of a message to a peer, its sync and the answer.
    round_trip: Nanos,
    /// Backoffs since the last vote of this proposer that was chosen.
    consecutive_backoffs: u32,
}

impl Proposer {
    /// An idle proposer that has observed terms up to `term`.
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

    /// Another proposer's number was seen.
    pub fn observe_term(&mut self, number: ProposalNumber) {
        self.term = self.term.max(number.term);
    }

    /// A number above all that this node observed.
    pub fn next_number(&mut self, settings: &Settings) -> ProposalNumber {
        self.term += 1;
        if settings.defects.ballots_shared {
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

    /// Estimate of a message to a peer, its sync and the answer.
    pub fn round_trip(&self) -> Nanos {
        self.round_trip
    }

    /// Whether neither a request nor a backoff is in progress.
    pub fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Idle)
    }

    /// When the request is to be repeated, or the backoff ends.
    pub fn next_wake(&self) -> Option<Nanos> {
        match &self.phase {
            Phase::Idle => None,
            Phase::Backoff { until } => Some(*until),
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

    /// The request in progress.
    pub fn request_mut(&mut self) -> Option<&mut QuorumRequest> {
        match &mut self.phase {
            Phase::Request(request) => Some(request),
            Phase::Idle | Phase::Backoff { .. } => None,
        }
    }

    /// Puts a request in progress, in place of what was.
    pub fn start(&mut self, request: QuorumRequest) {
        let is_accept = matches!(request.kind, RequestKind::Accept { .. });
        debug_assert!(!is_accept || self.prepared.is_none());
        self.phase = Phase::Request(request);
    }

    /// Ends the phase, without a result of its own; the request, if there was one.
    pub fn end_phase(&mut self) -> Option<QuorumRequest> {
        match std::mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Request(request) => Some(request),
            Phase::Idle | Phase::Backoff { .. } => None,
        }
    }

    /// The prepared number, if there is one.
    pub fn prepared_mut(&mut self) -> Option<&mut PreparedNumber> {
        self.prepared.as_mut()
    }

    /// Takes the prepared number, to propose under it.
    pub fn take_prepared(&mut self) -> Option<PreparedNumber> {
        self.prepared.take()
    }

    /// The next slot may be proposed under this number at once.
    pub fn set_prepared(&mut self, prepared: PreparedNumber) {
        self.prepared = Some(prepared);
    }

    /// The next slot may be taken: a number has to be prepared again.
    pub fn drop_prepared(&mut self) {
        self.prepared = None;
    }

    /// A vote of this proposer was chosen.
    pub fn reset_backoff(&mut self) {
        self.consecutive_backoffs = 0;
    }

    /// Waits for a random time before it prepares again. Two proposers that raise their numbers against each other in
    /// step would go on for ever.
    pub fn back_off(&mut self, rng: &mut Rng, now: Nanos) {
        self.prepared = None;
        let max_delay = self.round_trip << self.consecutive_backoffs.min(6);
        self.consecutive_backoffs += 1;
        let until = now + rng.u64(0..=max_delay);
        self.phase = Phase::Backoff { until };
    }

    /// Records a reply. `None` if no request awaits it; otherwise what to send to members that the reply made known.
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
            let may_adopt = is_first || !settings.defects.any_promise;
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

    /// Goes on with a newer vote in a query or prepare phase; what to send to its electors that were not asked yet.
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

    /// Records a rejection of the number in use; whether there was a request under it.
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
