//! The log's line of counts, which operators search for.
use super::DecisionActor;

/// Counts since the previous line. The log prints them with `Debug`, so the names of the type and its fields are part
/// of the line that operators read.
#[derive(Default, Debug)]
pub struct Counts {
    /// Invocations accepted from clients.
    pub taken: u64,
    /// Invocations answered with a value.
    pub succeeded: u64,
    /// Invocations answered with 503.
    pub throttled: u64,
    /// Invocations answered with 502.
    pub errored: u64,
    /// Clients that disconnected while their invocation was in flight.
    pub gone: u64,
    /// Forwards ordered.
    pub forwards: u64,
    /// Ended forwards, indexed by `Outcome`.
    pub outcomes: [u64; 10],
    /// Health checks ordered.
    pub probes: u64,
    /// Calls to discovery that failed, and subscriptions lost.
    pub lists_lost: u64,
}

impl DecisionActor {
    /// Logs the counts and resets them.
    pub(super) fn log_counts(&mut self) {
        self.release_departed();
        let timers = self.timers.len();
        let policy = self.policy.counts();
        let reported = std::mem::replace(&mut self.reported_shed, policy.shed);
        let [shed, no_room, origin, late, gate, fails] =
            std::array::from_fn(|reason| policy.shed[reason].saturating_sub(reported[reason]));
        let shed_fraction = policy.shed_fraction;
        let (counts, open) = (&self.counts, self.pending.len());
        log::info!(
            "counts: {counts:?}, given up: shed {shed}, no room {no_room}, origin {origin}, late {late}, \
             gate {gate}, fails {fails}, turned away now {shed_fraction:.2}; open {open}, timers {timers}"
        );
        self.counts = Counts::default();
    }
}
