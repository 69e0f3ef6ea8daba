//! Graceful shutdown: which requests a process still admits after SIGTERM, and when the process ends.
//!
//! | time after SIGTERM | new connections | requests on open connections |
//! | --- | --- | --- |
//! | until `notice_ends` | accepted: the platform's health checks have not yet detected that this node is not ready | admitted |
//! | until `process_ends` | not accepted, so that the client tries another node at once | admitted if they can end in time, otherwise rejected at once with 503 and `Retry-After` |
//!
//! Measured against also answering new connections (docs/measured/system.md): a connection that is not accepted costs
//! the client one attempt to connect, while a rejection costs half of the request's priority weight.
//!
//! Both times follow from `bounds.grace_period_s`. The process ends earlier once no request is in flight.
use sparrouter_routing::Nanos;
use std::time::Duration;
use tokio::time::Instant;

/// The platform checks readiness every second and acts on the second failure (PROTOCOL.md, Ingress); 300 ms for
/// transmission.
const READINESS_DETECTION_TIME: Duration = Duration::from_millis(2_300);
/// Ratio of the grace period after which requests are admitted only if they can end in time, if that is sooner than the
/// platform's detection.
const NOTICE_RATIO: f64 = 0.45;
/// Ratio of the grace period that is reserved at its end, for the runtime to stop before SIGKILL.
const END_MARGIN_RATIO: f64 = 0.02;
/// The expected duration of a request, as a multiple of the longest recent one of its route.
const DURATION_MARGIN: u32 = 2;

/// The schedule of one graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GracefulShutdown {
    notice_ends: Instant,
    process_ends: Instant,
}

impl GracefulShutdown {
    /// The schedule of a process that received SIGTERM at `began`.
    pub fn new(began: Instant, grace_period: Duration) -> GracefulShutdown {
        GracefulShutdown {
            notice_ends: began + READINESS_DETECTION_TIME.min(grace_period.mul_f64(NOTICE_RATIO)),
            process_ends: began + grace_period.mul_f64(1.0 - END_MARGIN_RATIO),
        }
    }

    /// From when on a request that may not end in time is rejected.
    pub fn notice_ends(&self) -> Instant {
        self.notice_ends
    }

    /// When the process ends, even if requests are in flight.
    pub fn process_ends(&self) -> Instant {
        self.process_ends
    }

    /// Whether a request that was read at `now` is admitted. `deadline`: the earlier of its client's and its route's;
    /// `longest_recent`: the longest recent duration of its route, `None` if no duration was measured.
    pub fn admits(&self, now: Instant, deadline: Instant, longest_recent: Option<Nanos>) -> bool {
        if now < self.notice_ends {
            return true;
        }
        let expected =
            longest_recent.map(|longest| now + Duration::from_nanos(longest) * DURATION_MARGIN);
        deadline.min(expected.unwrap_or(deadline)) <= self.process_ends
    }
}
