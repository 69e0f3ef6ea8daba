//! DRAIN: no request reaches a server long after its drain was acknowledged.

use super::{Checker, Violation};
use crate::monitor::{Event, Observations};
use tokio::time::Instant;

/// See the module.
pub(super) struct Drain;

impl Checker for Drain {
    fn on_event(
        &mut self,
        event: Event,
        observations: &Observations,
        violations: &mut Vec<Violation>,
    ) {
        let Event::RequestArrived {
            attempt_id,
            server,
            node,
            ..
        } = event
        else {
            return;
        };
        let Some(acknowledged_at) = observations.drains.get(server) else {
            return;
        };
        let now = Instant::now();
        let age = now - *acknowledged_at;
        if age > observations.bounds.drain_timeout && observations.in_contact(node, now, now) {
            violations.push(Violation::new(
                "DRAIN",
                format!("{attempt_id} reaches {server} {age:?} after its drain was acknowledged"),
            ));
        }
    }
}
