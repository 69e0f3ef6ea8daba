//! Since when this process has run without a pause and could have received messages from the other members.
//!
//! A process that was frozen, or got hardly any processor time, receives no messages during that time. This proves
//! nothing about the other members: the time after which they count as unresponsive starts after the pause, so that a
//! member that resumes does not propose to remove the others from its groups.
use sparrouter_routing::Nanos;

/// The period in which this process observed the other members without a pause; it observes them several times a
/// second.
///
/// Invariant: between `began` and `last_observed` there was no pause of more than half of the contact time-out.
#[derive(Clone, Copy, Debug, Default)]
pub struct ObservationWindow {
    began: Nanos,
    last_observed: Option<Nanos>,
}

impl ObservationWindow {
    /// Records an observation of the other members. A pause before it of more than half of `contact_timeout`, after
    /// which members count as unresponsive, means that this process did not run.
    pub fn observe(&mut self, contact_timeout: Nanos, now: Nanos) {
        let has_paused = |last: Nanos| now.saturating_sub(last) > contact_timeout / 2;
        if self.last_observed.is_none_or(has_paused) {
            self.began = now;
        }
        self.last_observed = Some(now);
    }

    /// How long a member that was last heard from at `contacted_at` has been unresponsive while this process ran.
    pub fn unresponsive_for(&self, contacted_at: Nanos, now: Nanos) -> Nanos {
        now.saturating_sub(contacted_at.max(self.began))
    }
}
