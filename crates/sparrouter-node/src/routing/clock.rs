//! One reading of the wall clock at the start, then a clock that only advances.
use sparrouter_balancer::types::Nanos;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Nanoseconds since 1970 as they stood at the start, carried on by the monotonic clock: start times
/// of cache servers need no further mapping, and no step of the wall clock is ever seen.
#[derive(Clone, Copy)]
pub struct Clock {
    wall: Nanos,
    start: Instant,
}

impl Clock {
    pub fn new() -> Clock {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            wall: wall.as_nanos() as Nanos,
            start: Instant::now(),
        }
    }
    pub fn at(&self, instant: Instant) -> Nanos {
        self.wall + instant.saturating_duration_since(self.start).as_nanos() as Nanos
    }
    pub fn now(&self) -> Nanos {
        self.at(Instant::now())
    }
    pub fn instant(&self, at: Nanos) -> Instant {
        self.start + Duration::from_nanos(at.saturating_sub(self.wall))
    }
}
