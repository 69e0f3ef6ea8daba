//! DRAIN: no request reaches a server long after its drain was acknowledged.

use super::{Checker, Context};
use crate::monitor::Arrival;
use tokio::time::Instant;

/// See the module.
pub(super) struct Drain;

impl Checker for Drain {
    fn request_arrived(&mut self, arrival: &Arrival, context: &mut Context) {
        let observations = context.observations;
        let Arrival {
            attempt_id,
            server,
            node,
            ..
        } = arrival;
        let Some(acknowledged_at) = observations.drains.get(*server) else {
            return;
        };
        let now = Instant::now();
        let age = now - *acknowledged_at;
        if age > observations.bounds.drain_timeout && observations.in_contact(*node, now, now) {
            context.violated(
                "DRAIN",
                format!("{attempt_id} reaches {server} {age:?} after its drain was acknowledged"),
            );
        }
    }
}
