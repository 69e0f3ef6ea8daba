//! The clock of the routing policy: the wall clock is read once at the start, then advanced by the monotonic clock.
use sparrouter_balancer::types::Nanos;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Clock in nanoseconds since 1970: the wall clock at the start, advanced by the monotonic clock. It never steps back,
/// and it is comparable to the start times of cache servers.
#[derive(Clone, Copy)]
pub struct Clock {
    wall_at_start: Nanos,
    start: Instant,
}

impl Clock {
    /// Returns a clock that starts at the current wall clock time.
    pub fn new() -> Clock {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            wall_at_start: wall.as_nanos() as Nanos,
            start: Instant::now(),
        }
    }

    /// Converts an instant to nanoseconds since 1970. An instant before the start is converted to the start.
    pub fn nanos(&self, instant: Instant) -> Nanos {
        self.wall_at_start + instant.saturating_duration_since(self.start).as_nanos() as Nanos
    }

    /// Returns the current time in nanoseconds since 1970.
    pub fn now(&self) -> Nanos {
        self.nanos(Instant::now())
    }

    /// Converts nanoseconds since 1970 to the runtime's clock. A time before the start is converted to the start.
    pub fn instant(&self, time: Nanos) -> Instant {
        self.start + Duration::from_nanos(time.saturating_sub(self.wall_at_start))
    }
}
