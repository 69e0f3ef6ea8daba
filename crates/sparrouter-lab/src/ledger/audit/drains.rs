//! Rule 3: a node sends nothing new to a cache server some time after it was notified that the server drains.
use super::{Audit, Breach, name};
use crate::ledger::{ClientAttempt, ORIGIN, ObservedForward};
use crate::scenario::schedule::Listed;
use crate::{MS, Nanos};

impl Audit {
    pub(super) fn judge_drain(
        &mut self,
        id: u64,
        attempt: &ClientAttempt,
        forward: &ObservedForward,
    ) {
        if forward.to == ORIGIN {
            return;
        }
        // Where the lab stalled, the forward may have come at any moment of that: only what is late either way counts.
        let first_byte_at = forward.earliest_first_byte_at();
        let Some(bar) = first_byte_at.checked_sub(self.grace + self.slack) else {
            return;
        };
        if self.drained_while_discovery_was_away(forward, bar) {
            self.count_unjudged("sent to a drained cache server while discovery was away");
        }
        let notifications = self.notifications(attempt.node, forward.to);
        let latest = notifications.iter().rfind(|n| n.0 <= bar);
        let in_service_since = notifications
            .iter()
            .any(|n| n.0 > bar && n.0 <= forward.first_byte_at && n.1 == Listed::Ready);
        let drained = latest.filter(|n| n.1 != Listed::Ready && !in_service_since);
        if let Some((at, listed)) = drained {
            let after_ms = (forward.first_byte_at - at) / MS;
            let to = name(forward.to);
            let description = format!("to {to}, {after_ms} ms after word of {listed:?}");
            self.add_breach(
                Breach::SentToDrained,
                forward.first_byte_at,
                Some(id),
                description,
            );
        }
    }

    /// When a node was notified of a cache server's states, or counts as notified; oldest first.
    fn notifications(&self, node: u16, cache: u32) -> Vec<(Nanos, Listed)> {
        let sent = self.notified.get(&(node, cache));
        let sent = sent.map_or(&[][..], |sent| sent);
        let known = self.known.get(&cache).map_or(&[][..], |known| known);
        // A notification in time, of this state or of a newer one, makes the deadline for it moot.
        let in_time = |at: Nanos| {
            let allowed = at..=self.notified_deadline(at);
            sent.iter().any(|n| allowed.contains(&n.0))
        };
        let counted = known
            .iter()
            .filter(|k| !in_time(k.0))
            .map(|(at, listed)| (self.notified_deadline(*at), *listed));
        let mut all: Vec<_> = sent.iter().copied().chain(counted).collect();
        all.sort_by_key(|n| n.0);
        all
    }

    /// A node counts as notified this long after discovery knew, also where its subscription is unresponsive. While
    /// discovery is away there is no subscription: the time runs from its return.
    fn notified_deadline(&self, known_at: Nanos) -> Nanos {
        let deadline = known_at + self.informed;
        let away = self.away.iter();
        away.filter(|span| span.0 < deadline && span.1 > known_at)
            .fold(deadline, |deadline, span| {
                deadline.max(span.1.saturating_add(self.informed))
            })
    }

    fn drained_while_discovery_was_away(&self, forward: &ObservedForward, bar: Nanos) -> bool {
        let known_by = bar.saturating_sub(self.informed);
        let known = self.known.get(&forward.to);
        let latest = known.and_then(|known| known.iter().rfind(|k| k.0 <= known_by));
        let drained = latest.is_some_and(|k| k.1 != Listed::Ready);
        let at = forward.first_byte_at;
        drained
            && self
                .away
                .iter()
                .any(|span| (span.0..span.1.saturating_add(self.informed)).contains(&at))
    }
}
