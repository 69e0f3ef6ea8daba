//! Rule 2: no effect is carried out twice, and forwards of one invocation do not overlap.
use super::{Audit, Breach, LAB_STALLED, name};
use crate::ledger::{ClientAttempt, ClientOutcome, ForwardOutcome, Invocation, ObservedForward};
use crate::scenario::{Effect, Operation};
use crate::{MS, Nanos};

impl Audit {
    pub(super) fn judge_effects(
        &mut self,
        id: u64,
        attempt: &ClientAttempt,
        op: &Operation,
        invocation: &Invocation,
    ) {
        let forwards = invocation.forwards.iter();
        let mut complete: Vec<&ObservedForward> =
            forwards.filter(|f| f.complete_at.is_some()).collect();
        complete.sort_by_key(|f| f.complete_at);
        let runs = complete.iter().filter(|f| f.ran).count();
        if op.effect != Effect::Idempotent && runs > 1 {
            let description = format!("{} ran twice", op.name);
            self.add_breach(Breach::EffectTwice, attempt.ended_at, Some(id), description);
        }
        for (n, later) in complete.iter().enumerate() {
            let earlier = &complete[..n];
            self.judge_repeat(id, op, earlier, later);
            self.judge_overlap(id, earlier, later);
        }
        if attempt.outcome == ClientOutcome::Throttled && op.effect == Effect::NonIdempotent {
            self.judge_throttling(id, attempt, &complete);
        }
    }

    /// A forward after one that may have run repeats its effect.
    fn judge_repeat(
        &mut self,
        id: u64,
        op: &Operation,
        earlier: &[&ObservedForward],
        later: &ObservedForward,
    ) {
        let Some(first) = earlier.iter().find(|f| f.may_have_run()) else {
            return;
        };
        let at = later.complete_at.unwrap_or_default();
        let first_at = first.complete_at.unwrap_or_default();
        let window_end = first_at + op.window_ms * MS + self.slack;
        let breach = match op.effect {
            Effect::Idempotent => return,
            Effect::NonIdempotent => Breach::ForwardedAgain,
            Effect::Deduplicated if at > window_end => Breach::RepeatedOutsideWindow,
            Effect::Deduplicated => return,
        };
        let (to, after, outcome) = (name(later.to), name(first.to), first.outcome);
        let description = format!("to {to} after {after} ({outcome:?})");
        self.add_breach(breach, at, Some(id), description);
    }

    fn judge_overlap(&mut self, id: u64, earlier: &[&ObservedForward], later: &ObservedForward) {
        // Nobody can tell when a forward was sent that its stand-in saw only after its withdrawal.
        if later.withdrawn_unseen && !earlier.is_empty() {
            self.count_unjudged("overlaps of forwards withdrawn before their stand-in saw them");
            return;
        }
        if self.second_copies {
            return;
        }
        let at = later.read_at;
        let mut seen = earlier.iter().filter(|f| !f.withdrawn_unseen);
        let Some(first) = seen.find(|f| f.ended_at > at + self.end_slack(f)) else {
            return;
        };
        if self.ended_by_node(first) && first.earliest_end_at() <= at + self.slack {
            self.count_unjudged(LAB_STALLED);
        } else if self.blind {
            self.count_unjudged("overlaps behind links that lose bytes");
        } else {
            let overlap_ms = (first.ended_at - at) / MS;
            let (to, out, outcome) = (name(later.to), name(first.to), first.outcome);
            let description =
                format!("to {to} while out at {out}, {outcome:?} {overlap_ms} ms later");
            self.add_breach(Breach::Overlapping, at, Some(id), description);
        }
    }

    /// A forward that its stand-in ended was over before the node could know; that the node went away may be seen
    /// later than it did so.
    fn end_slack(&self, forward: &ObservedForward) -> Nanos {
        if self.ended_by_node(forward) {
            self.slack
        } else {
            0
        }
    }

    fn ended_by_node(&self, forward: &ObservedForward) -> bool {
        let withdrawn = matches!(
            forward.outcome,
            ForwardOutcome::Withdrawn | ForwardOutcome::Open
        );
        self.linked || withdrawn
    }

    /// A throttling reply says that nothing ran.
    fn judge_throttling(
        &mut self,
        id: u64,
        attempt: &ClientAttempt,
        complete: &[&ObservedForward],
    ) {
        let at = attempt.ended_at;
        let before = |f: &&&ObservedForward| {
            f.may_have_run() && f.complete_at.is_some_and(|complete_at| complete_at < at)
        };
        if let Some(forward) = complete.iter().find(before) {
            let description = format!("after {} ({:?})", name(forward.to), forward.outcome);
            self.add_breach(
                Breach::ThrottledThoughItMayHaveRun,
                at,
                Some(id),
                description,
            );
        }
    }
}
