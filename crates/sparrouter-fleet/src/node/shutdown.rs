//! Graceful shutdown: which requests a process still admits after SIGTERM, and when it ends.
//!
//! | time after SIGTERM | new connections | requests on connections that are open |
//! | --- | --- | --- |
//! | until `notice_ends` | accepted: the platform in front has not noticed yet that this node is not ready | admitted |
//! | until `process_ends` | not accepted, so that the client asks another node at once | admitted where they can end in time, else rejected at once with 503 and `Retry-After` |
//!
//! Measured against answering new connections too (docs/measured/system.md): a connection that is not accepted costs the
//! client one attempt to connect, a rejection costs half of the request's priority weight.
//!
//! Both moments follow from `bounds.grace_period_s`. The process ends earlier once no request is in flight.
use sparrouter_routing::Nanos;
use std::time::Duration;
use tokio::time::Instant;

/// The platform asks every second and believes the second miss (PROTOCOL.md, Ingress); 300 ms for the way there.
const PLATFORM_NOTICES: Duration = Duration::from_millis(2_300);
/// Ratio of the grace period after which requests are admitted only if they can end in time, where that is sooner.
const NOTICE_RATIO: f64 = 0.45;
/// Ratio of the grace period that remains at the end, for the runtime to stop before SIGKILL.
const END_MARGIN_RATIO: f64 = 0.02;
/// A request may last this many times as long as the longest recent one of its route.
const DURATION_MARGIN: u32 = 2;

/// The schedule of one shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GracefulShutdown {
    notice_ends: Instant,
    process_ends: Instant,
}

impl GracefulShutdown {
    /// The schedule of a process that received SIGTERM at `began`.
    pub fn new(began: Instant, grace_period: Duration) -> GracefulShutdown {
        GracefulShutdown {
            notice_ends: began + PLATFORM_NOTICES.min(grace_period.mul_f64(NOTICE_RATIO)),
            process_ends: began + grace_period.mul_f64(1.0 - END_MARGIN_RATIO),
        }
    }

    /// From when on requests that may last too long are rejected.
    pub fn notice_ends(&self) -> Instant {
        self.notice_ends
    }

    /// When the process ends, whatever is in flight.
    pub fn process_ends(&self) -> Instant {
        self.process_ends
    }

    /// Whether a request that was read at `now` is admitted. `deadline`: the sooner of its client's and its route's;
    /// `longest_recent`: the longest recent duration of its route, if one was measured.
    pub fn admits(&self, now: Instant, deadline: Instant, longest_recent: Option<Nanos>) -> bool {
        if now < self.notice_ends {
            return true;
        }
        let expected =
            longest_recent.map(|longest| now + Duration::from_nanos(longest) * DURATION_MARGIN);
        deadline.min(expected.unwrap_or(deadline)) <= self.process_ends
    }
}
