//! The clock of the decisions: one reading of the wall clock at the start, carried on by the monotonic clock.
use sparrouter_balancer::types::Nanos;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Nanoseconds since 1970 as the wall clock stood at the start, carried on by the monotonic clock. Start times of cache
/// servers need no further mapping, and the clock never steps back.
#[derive(Clone, Copy)]
pub struct Clock {
    wall_at_start: Nanos,
    start: Instant,
}

impl Clock {
    /// Reads the wall clock.
    pub fn new() -> Clock {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            wall_at_start: wall.as_nanos() as Nanos,
            start: Instant::now(),
        }
    }

    /// The moment as nanoseconds since 1970; the start for an earlier moment.
    pub fn nanos(&self, instant: Instant) -> Nanos {
        self.wall_at_start + instant.saturating_duration_since(self.start).as_nanos() as Nanos
    }

    /// Now, in nanoseconds since 1970.
    pub fn now(&self) -> Nanos {
        self.nanos(Instant::now())
    }

    /// The moment of the runtime's clock; the start for an earlier time.
    pub fn instant(&self, time: Nanos) -> Instant {
        self.start + Duration::from_nanos(time.saturating_sub(self.wall_at_start))
    }
}
