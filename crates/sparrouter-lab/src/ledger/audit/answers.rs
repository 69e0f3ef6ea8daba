//! Rule 1: each invocation gets one final answer, in time, made for it, and nothing is forwarded after that.
use super::{Audit, Breach, LAB_STALLED, NODE_STARVED, name};
use crate::ledger::{ClientAttempt, ClientOutcome, ForwardOutcome, Invocation, ObservedForward};
use crate::scenario::Operation;
use crate::{MS, Nanos};

impl Audit {
    pub(super) fn judge_answer(
        &mut self,
        id: u64,
        attempt: &ClientAttempt,
        op: &Operation,
        invocation: &Invocation,
    ) {
        // A node that never had the whole invocation owes no answer.
        let Some(written_at) = attempt.written_at else {
            return;
        };
        match attempt.outcome {
            ClientOutcome::Closed | ClientOutcome::TimedOut => {
                self.judge_missing_answer(id, attempt, op, written_at);
            }
            ClientOutcome::Left => self.count_unjudged("its client left first"),
            ClientOutcome::Unconnected => {}
            ClientOutcome::Succeeded
            | ClientOutcome::Foreign
            | ClientOutcome::Throttled
            | ClientOutcome::Errored => {
                self.judge_lateness(id, attempt, op, written_at);
                self.judge_forwards_after_answer(id, attempt, invocation);
            }
        }
        let made = self.answer_was_made(attempt, invocation);
        if attempt.outcome == ClientOutcome::Foreign
            || attempt.outcome == ClientOutcome::Succeeded && !made
        {
            let description = "no cache server made this answer for it".to_string();
            let at = attempt.ended_at;
            self.add_breach(Breach::AnsweredWithNobodysValue, at, Some(id), description);
        }
    }

    fn judge_missing_answer(
        &mut self,
        id: u64,
        attempt: &ClientAttempt,
        op: &Operation,
        written_at: Nanos,
    ) {
        let ended_at = attempt.ended_at;
        if self.killed_between(attempt.node, written_at, ended_at) {
            self.count_unjudged("its node was killed");
            return;
        }
        let description = if attempt.outcome == ClientOutcome::Closed {
            "the connection ended with no whole answer".to_string()
        } else {
            let latest = written_at + op.client_timeout_ms * MS + self.answer_slack;
            if self.starvation_explains(attempt, written_at, ended_at.saturating_sub(latest)) {
                self.count_unjudged(NODE_STARVED);
                return;
            }
            format!("nothing within {} ms", op.client_timeout_ms)
        };
        self.add_breach(Breach::NoAnswer, ended_at, Some(id), description);
    }

    fn judge_lateness(
        &mut self,
        id: u64,
        attempt: &ClientAttempt,
        op: &Operation,
        written_at: Nanos,
    ) {
        let timeout_at = written_at + op.client_timeout_ms * MS;
        let latest = timeout_at + self.answer_slack;
        let ended_at = attempt.ended_at;
        if ended_at <= latest {
            return;
        }
        if ended_at.saturating_sub(attempt.end_lag) <= latest {
            self.count_unjudged(LAB_STALLED);
            return;
        }
        if self.starvation_explains(attempt, written_at, ended_at - latest) {
            self.count_unjudged(NODE_STARVED);
            return;
        }
        let late_ms = (ended_at - timeout_at) / MS;
        let description = format!("{late_ms} ms past the client timeout");
        self.add_breach(Breach::AnsweredLate, ended_at, Some(id), description);
    }

    /// Whether the node waited for a processor for at least as long as its answer is late. What a node does is its own
    /// doing, that it is not let run is the machine's.
    fn starvation_explains(
        &self,
        attempt: &ClientAttempt,
        written_at: Nanos,
        lateness: Nanos,
    ) -> bool {
        let waited = self
            .processor_waits
            .total(attempt.node, written_at, attempt.ended_at);
        waited >= lateness
    }

    fn judge_forwards_after_answer(
        &mut self,
        id: u64,
        attempt: &ClientAttempt,
        invocation: &Invocation,
    ) {
        let after = attempt.ended_at + self.slack;
        let late = invocation.forwards.iter();
        let late = late.filter(|forward| forward.first_byte_at > after);
        let (certain, uncertain): (Vec<&ObservedForward>, Vec<_>) =
            late.partition(|forward| forward.earliest_first_byte_at() > after);
        for _ in uncertain {
            self.count_unjudged(LAB_STALLED);
        }
        if let Some(forward) = certain.first() {
            let at = forward.first_byte_at;
            let late_ms = (at - attempt.ended_at) / MS;
            let description = format!("{late_ms} ms later to {}", name(forward.to));
            self.add_breach(Breach::SentAfterAnswer, at, Some(id), description);
        }
    }

    /// Some stand-in answered a forward of it before the client had its answer.
    fn answer_was_made(&self, attempt: &ClientAttempt, invocation: &Invocation) -> bool {
        let answered = |forward: &&ObservedForward| {
            matches!(
                forward.outcome,
                ForwardOutcome::Done | ForwardOutcome::Repeat
            )
        };
        let mut answers = invocation.forwards.iter().filter(answered);
        answers.any(|forward| forward.earliest_end_at() <= attempt.ended_at + self.slack)
    }
}
