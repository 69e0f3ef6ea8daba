//! What is counted over a whole day: DENIED, and CONFIG of routes that were added later. In prices come only requests
//! that every configuration which may be in force allows, at machines in touch.
use super::requests::allows;
use super::{Attempt, ClientResponse, Monitor};
use tokio::time::Instant;

/// So many refusals are none, and one more in so many requests.
const DENIED: u32 = 5;
const DENIED_IN: u32 = 500;
/// Routes that were added are judged from so many requests on, served less than this part as often as the first.
const ADDED: u32 = 20;
const ADDED_PART: f64 = 0.25;

/// So many requests from kept connections may be closed without an answer.
const UNANSWERED: u32 = 3;

impl Monitor {
    pub(super) fn count(&self, asked: &Attempt, sent: Instant, answer: &ClientResponse) {
        let now = Instant::now();
        self.requests.borrow_mut().prices.all += 1;
        if !self.in_contact(asked.node, sent, now) || !self.is_proper(asked, sent) {
            return;
        }
        let added = {
            let orders = self.orders.borrow();
            orders
                .sent
                .first()
                .is_some_and(|s| !allows(&s.configuration, asked))
        };
        let calm =
            !self.any_unplanned_fault(sent.checked_sub(self.bounds.contact).unwrap_or(sent), now);
        let prices = &mut self.requests.borrow_mut().prices;
        // With a seal it is a server's word, not ours.
        let own = answer.seal.is_none() && matches!(answer.status, 300..=499);
        prices.denied += u32::from(own && !matches!(answer.status, 408 | 421 | 429));
        if calm && !answer.abandoned {
            let toll = if added {
                &mut prices.added
            } else {
                &mut prices.first
            };
            toll.0 += 1;
            toll.1 += u32::from(answer.is_complete && (200..300).contains(&answer.status));
        }
    }

    /// A request was passed on and its connection closed without a byte of an answer.
    pub(super) fn count_unanswered(&self, asked: &Attempt, sent: Instant, runs: &[u64]) {
        let now = Instant::now();
        let sound = {
            let requests = self.requests.borrow();
            !runs.is_empty() && !runs.iter().any(|run| requests.server_faulted.contains(run))
        };
        // A server that crashed, or whose link was cut, is not sound.
        let from = sent.checked_sub(self.bounds.contact).unwrap_or(sent);
        if asked.kept && sound && now < asked.until && !self.any_unplanned_fault(from, now) {
            self.requests.borrow_mut().prices.unanswered += 1;
        }
    }

    /// Whether every configuration that may be in force allows it.
    fn is_proper(&self, asked: &Attempt, sent: Instant) -> bool {
        let orders = self.orders.borrow();
        let old = |at: Instant| at + self.bounds.config_apply < sent;
        let settled = orders
            .sent
            .iter()
            .filter(|s| s.acknowledged.is_some_and(old));
        let floor = settled.map(|s| s.configuration.version).max().unwrap_or(0);
        let may = orders
            .sent
            .iter()
            .filter(|s| s.valid && !s.refused && s.configuration.version >= floor);
        floor > 0 && may.into_iter().all(|s| allows(&s.configuration, asked))
    }

    /// Judges what was counted; once, when all requests have ended.
    pub fn scenario_ended(&self) {
        let (all, denied, first, added) = {
            let prices = &self.requests.borrow().prices;
            (prices.all, prices.denied, prices.first, prices.added)
        };
        if denied > DENIED + all / DENIED_IN {
            self.report_violation(
                "DENIED",
                format!("{denied} proper requests of {all} were refused"),
            );
        }
        let unanswered = self.requests.borrow().prices.unanswered;
        if unanswered > UNANSWERED {
            let what = format!("{unanswered} requests from kept connections got no answer");
            self.report_violation("LOST", what);
        }
        let rate = |(asked, served): (u32, u32)| f64::from(served) / f64::from(asked.max(1));
        if added.0 >= ADDED && rate(added) < ADDED_PART * rate(first) {
            let what =
                format!("on added routes {added:?} asked and served, on the first {first:?}");
            self.report_violation("CONFIG", what);
        }
    }
}
