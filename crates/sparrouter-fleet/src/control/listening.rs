//! Since when this process has listened to the other members without a pause.
//!
//! A process that was frozen, or hardly ran, heard of nobody meanwhile. That says nothing of the others: their silence
//! counts from its end on, so that a member that wakes does not propose to take the others out of its groups.
#![deny(missing_docs)]
use sparrouter_routing::Nanos;

/// When this process looked at the other members, which it does several times a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Listening {
    since: Nanos,
    last: Option<Nanos>,
}

impl Listening {
    /// A look at the others. A pause before it of more than half of `contact`, after which members count as silent, means
    /// that this process did not run.
    pub fn observe(&mut self, contact: Nanos, now: Nanos) {
        let paused = |last: Nanos| now.saturating_sub(last) > contact / 2;
        if self.last.is_none_or(paused) {
            self.since = now;
        }
        self.last = Some(now);
    }

    /// For how long a member that was last heard of at `heard_at` has been silent to a process that listened.
    pub fn unresponsive_for(&self, heard_at: Nanos, now: Nanos) -> Nanos {
        now.saturating_sub(heard_at.max(self.since))
    }
}
