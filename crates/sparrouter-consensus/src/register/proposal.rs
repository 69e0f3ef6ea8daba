//! The phases of a proposal, from the pending operations to their answers:
//!
//! 1. `drive_operations` starts the next phase if the proposer is idle and operations are pending.
//! 2. `start_prepare` requests promises if there is no prepared number. `on_promise` counts the promises, and
//!    `continue_prepare` either finds that the newest reported vote is chosen, or proposes that vote again first.
//! 3. `propose_next_slot` evaluates the operations on a chosen vote under a prepared number.
//! 4. `start_accept` sends the resulting vote to its electorate.
//! 5. `on_accepted`: once a quorum has the vote on disk, it is chosen. It is published, the operations are answered,
//!    and the number stays prepared for the next slot, so that step 3 follows at once.
//!
//! `on_reject` and `on_proposer_timer` may start a backoff, after which step 2 follows with a higher number.
use super::Register;
use crate::evaluation::{self, Evaluated, Resolution};
use crate::machine::Machine;
use crate::message::Message;
use crate::operation::{Operation, Outcome, Rejection, SentProposal};
use crate::proposer::PreparedNumber;
use crate::request::{QuorumRequest, Reply, ReplyTo, RequestKind};
use crate::time::Nanos;
use crate::vote::{Member, ProposalNumber, SharedVote, VoteId};

/// Number of queries without agreement after which a number is prepared. The members mostly report different votes only
/// because a vote is in flight; another query then suffices.
const MAX_QUERY_ATTEMPTS: u32 = 3;

impl<M: Machine> Register<M> {
    /// Starts the phase that the pending operations need, if the proposer is idle.
    pub(super) fn drive_operations(&mut self, now: Nanos) {
        while self.proposer.is_idle() && !self.operations.is_empty() {
            let Some(accepted) = self.accepted().cloned() else {
                return self.reject_all_operations(Rejection::NoGroup);
            };
            if self.settings.defects.read_locally && self.operations.has_read() {
                self.answer_reads_locally(&accepted);
            } else if let Some(prepared) = self.proposer.take_prepared() {
                self.propose_next_slot(prepared, now);
            } else if self.operations.has_reads_only() {
                self.start_query(1, accepted, now);
            } else {
                self.start_prepare(accepted, now);
            }
        }
    }

    fn reject_all_operations(&mut self, rejection: Rejection) {
        for operation in self.operations.take(|_| true) {
            self.complete(operation.id, Outcome::Rejected(rejection));
        }
    }

    /// Implements the injected defect `read_locally`.
    fn answer_reads_locally(&mut self, accepted: &SharedVote) {
        for operation in self.operations.take(|o| o.is_read()) {
            let body = accepted.state.body.clone();
            self.complete(operation.id, Outcome::Answered(body));
        }
    }

    /// Evaluates the pending operations on the chosen vote of a prepared number, and proposes the resulting vote.
    fn propose_next_slot(&mut self, prepared: PreparedNumber, now: Nanos) {
        self.resolve_sent_proposals(&prepared.chosen);
        let proposal_id = self.rng.u64(1..);
        let batch = evaluation::evaluate(
            &self.machine,
            self.operations.as_slice(),
            &prepared.chosen,
            prepared.number,
            proposal_id,
            &self.settings,
        );
        if let Some(vote) = batch.vote {
            self.record_sent_proposals(&batch.evaluated, vote.state.slot, proposal_id);
            return self.start_accept(vote.into(), batch.evaluated, now);
        }
        let (confirmed, unconfirmed): (Vec<Evaluated>, Vec<Evaluated>) = batch
            .evaluated
            .into_iter()
            .partition(|evaluated| evaluated.sequence < prepared.confirmed);
        self.complete_evaluated(confirmed);
        let chosen = prepared.chosen.clone();
        self.proposer.set_prepared(prepared);
        if !unconfirmed.is_empty() {
            self.start_query(1, chosen, now);
        }
    }

    /// Completes the operations whose proposals were chosen or can no longer be resolved.
    fn resolve_sent_proposals(&mut self, chosen: &SharedVote) {
        let settings = &self.settings;
        let mut outcomes = Vec::new();
        self.operations.take(|operation| {
            let outcome = match evaluation::resolve(operation, &chosen.state, settings) {
                Resolution::Pending => return false,
                Resolution::Chosen(answer) => Outcome::Answered(answer),
                Resolution::Unknown => Outcome::Unknown,
            };
            outcomes.push((operation.id, outcome));
            true
        });
        for (id, outcome) in outcomes {
            self.complete(id, outcome);
        }
    }

    /// Records the proposal in each operation that it contains.
    fn record_sent_proposals(&mut self, evaluated: &[Evaluated], slot: u64, proposal_id: u64) {
        for evaluated in evaluated.iter().filter(|e| e.is_proposed) {
            if let Outcome::Answered(answer) = &evaluated.outcome
                && let Some(operation) = self.operations.get_mut(evaluated.sequence)
            {
                operation.sent.push(SentProposal {
                    slot,
                    proposal_id,
                    answer: answer.clone(),
                });
            }
        }
    }

    pub(super) fn start_prepare(&mut self, vote: SharedVote, now: Nanos) {
        self.proposer.drop_prepared();
        let number = self.proposer.next_number(&self.settings);
        self.start_request(RequestKind::Prepare { number }, vote, now);
    }

    pub(super) fn start_request(&mut self, kind: RequestKind, vote: SharedVote, now: Nanos) {
        let sequence = self.operations.next_sequence();
        let round_trip = self.round_trip_of(&kind, now);
        let request = QuorumRequest::new(kind, vote, sequence, round_trip, now);
        for member in request.recipients.clone() {
            self.send(member, request.message());
        }
        self.proposer.start(request);
    }

    pub(super) fn on_promise(&mut self, from: &Member, reply: Reply, now: Nanos) {
        if self.record_reply(from, reply, now) {
            self.continue_prepare(now);
        }
    }

    /// Records a reply, and sends the request to members that the reply made known. Returns whether a request awaits
    /// the reply.
    pub(super) fn record_reply(&mut self, from: &Member, reply: Reply, now: Nanos) -> bool {
        match self.proposer.on_reply(from, reply, &self.settings, now) {
            Some(sends) => {
                self.send_all(sends);
                true
            }
            None => false,
        }
    }

    /// Once a quorum has promised, continues with the newest vote that the quorum reported. No vote that may be chosen
    /// is newer than that vote.
    pub(super) fn continue_prepare(&mut self, now: Nanos) {
        let Some(request) = self.proposer.request() else {
            return;
        };
        let RequestKind::Prepare { number } = request.kind else {
            return;
        };
        let vote = request.vote.clone();
        let confirmed = request.sequence;
        if !self.quorum.is_quorum(&vote, |disk| request.has_reply(disk)) {
            return;
        }
        let is_chosen = self
            .quorum
            .is_quorum(&vote, |disk| request.has_vote(disk, vote.id()));
        if is_chosen || self.settings.defects.evaluate_on_unchosen {
            self.proposer.end_phase();
            let chosen = self.publish(&vote, now);
            self.proposer.set_prepared(PreparedNumber {
                number,
                chosen,
                confirmed,
            });
        } else {
            self.start_accept(vote.with_number(number).into(), Vec::new(), now);
        }
    }

    fn start_accept(&mut self, vote: SharedVote, evaluated: Vec<Evaluated>, now: Nanos) {
        if self.settings.defects.answer_before_chosen {
            self.answer_before_chosen(&evaluated);
        }
        self.start_request(RequestKind::Accept { evaluated }, vote, now);
    }

    /// Implements the injected defect `answer_before_chosen`.
    fn answer_before_chosen(&mut self, evaluated: &[Evaluated]) {
        for evaluated in evaluated {
            if let Some(operation) = self.operations.get_mut(evaluated.sequence) {
                let id = operation.id.take();
                self.complete(id, evaluated.outcome.clone());
            }
        }
    }

    /// Records an acceptance. Once a quorum has accepted the vote, it is chosen and its operations are answered.
    pub(super) fn on_accepted(&mut self, from: &Member, vote_id: VoteId, now: Nanos) {
        let reply = Reply {
            to: ReplyTo::Accept(vote_id),
            accepted: Some(vote_id),
            newer_vote: None,
        };
        if !self.record_reply(from, reply, now) || !self.has_quorum_of_replies() {
            return;
        }
        let Some(request) = self.proposer.end_phase() else {
            return;
        };
        self.proposer.reset_backoff();
        let chosen = self.publish(&request.vote, now);
        for member in request.recipients {
            if member.disk_id != self.own_member.disk_id {
                self.send(member, Message::Chosen { vote_id });
            }
        }
        if let RequestKind::Accept { evaluated } = request.kind {
            self.complete_evaluated(evaluated);
        }
        self.proposer.set_prepared(PreparedNumber {
            number: vote_id.number,
            chosen,
            confirmed: request.sequence,
        });
    }

    fn has_quorum_of_replies(&self) -> bool {
        self.proposer.request().is_some_and(|request| {
            self.quorum
                .is_quorum(&request.vote, |disk| request.has_reply(disk))
        })
    }

    /// Completes operations with the outcomes of their evaluation, which is confirmed now.
    pub(super) fn complete_evaluated(&mut self, evaluated: Vec<Evaluated>) {
        for evaluated in evaluated {
            if let Some(operation) = self.operations.remove(evaluated.sequence) {
                self.complete(operation.id, evaluated.outcome);
            }
        }
    }

    pub(super) fn on_reject(&mut self, from: &Member, number: ProposalNumber, now: Nanos) {
        if !self.proposer.on_reject(from.disk_id, number) {
            return;
        }
        let is_quorum_possible = self.proposer.request().is_some_and(|request| {
            self.quorum
                .is_quorum(&request.vote, |disk| request.may_have_reply(disk))
        });
        if !is_quorum_possible {
            self.back_off(now);
        }
    }

    fn back_off(&mut self, now: Nanos) {
        let store_time = self.acceptor.store_time(now);
        self.proposer.back_off(&mut self.rng, store_time, now);
    }

    /// Handles the proposer's timer: the backoff is over, or no quorum answered the request in time.
    pub(super) fn on_proposer_timer(&mut self, now: Nanos) {
        if self.proposer.next_wake().is_none_or(|wake| wake > now) {
            return;
        }
        let Some(request) = self.proposer.request() else {
            self.proposer.end_phase();
            return;
        };
        if let RequestKind::Query { attempt, .. } = request.kind {
            // A quorum answered, but its newest votes differ.
            if self.has_quorum_of_replies() {
                return self.retry_query(attempt, request.vote.clone(), now);
            }
        } else if request.may_be_outdated(self.accepted_vote()) {
            return self.back_off(now);
        }
        self.repeat_request(now);
    }

    fn retry_query(&mut self, attempt: u32, vote: SharedVote, now: Nanos) {
        // Until this node's own vote is on disk, its reports differ from the other members' for that reason alone.
        if attempt < MAX_QUERY_ATTEMPTS || self.acceptor.is_storing() {
            self.start_query(attempt + 1, vote, now);
        } else {
            self.start_prepare(vote, now);
        }
    }

    /// Estimated time for a message to a peer, the peer's store if the request needs one, and the answer.
    fn round_trip_of(&self, kind: &RequestKind, now: Nanos) -> Nanos {
        let round_trip = self.proposer.round_trip();
        match kind {
            RequestKind::Query { .. } => round_trip,
            RequestKind::Prepare { .. } | RequestKind::Accept { .. } => {
                // The peers' disks may be as slow as this node's.
                round_trip.max(self.acceptor.store_time(now))
            }
        }
    }

    fn repeat_request(&mut self, now: Nanos) {
        let max_interval = self.settings.contact_timeout;
        let Some(request) = self.proposer.request() else {
            return;
        };
        let round_trip = self.round_trip_of(&request.kind, now);
        let Some(request) = self.proposer.request_mut() else {
            return;
        };
        let unanswered = request.repeat(round_trip, max_interval, now);
        let message = request.message();
        for member in unanswered {
            self.send(member, message.clone());
        }
    }

    /// Adapts the request in progress to a vote that became known to be chosen: the request may be waiting for a group
    /// that was replaced, or for acceptance of a slot that is already decided.
    pub(super) fn on_vote_chosen(&mut self, vote: &SharedVote, now: Nanos) {
        let Some(request) = self.proposer.request() else {
            return;
        };
        let is_newer_vote = vote.id() >= request.vote.id();
        match request.kind {
            RequestKind::Accept { .. } if vote.state.slot >= request.vote.state.slot => {
                self.proposer.end_phase();
            }
            RequestKind::Query { .. } if is_newer_vote => {
                let sends = self.proposer.adopt_newer_vote(vote.clone());
                self.send_all(sends);
                self.continue_query(now);
            }
            RequestKind::Prepare { .. } if is_newer_vote => {
                let sends = self.proposer.adopt_newer_vote(vote.clone());
                self.send_all(sends);
                self.continue_prepare(now);
            }
            _ => {}
        }
    }

    /// Answers the reads that were submitted before the request `sequence` started, with the body that it confirmed.
    pub(super) fn answer_reads_before(&mut self, sequence: u64, chosen: &SharedVote) {
        let is_confirmed =
            |operation: &mut Operation| operation.is_read() && operation.sequence < sequence;
        for operation in self.operations.take(is_confirmed) {
            let body = chosen.state.body.clone();
            self.complete(operation.id, Outcome::Answered(body));
        }
    }
}
