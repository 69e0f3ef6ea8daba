//! CONFIG, counted over a whole run: routes that were added later are served about as well as those of the first
//! configuration.

use super::handling::{admits, is_certainly_admitted};
use super::{Checker, Context};
use crate::monitor::{AttemptRecord, ClientResponse, Observations};

/// Added routes are checked from so many requests on.
const MIN_REQUESTS: u32 = 20;
/// Least success rate on added routes, relative to that on the first ones.
const MIN_RELATIVE_RATE: f64 = 0.25;

/// Requests in stable times, at machines in contact, that every configuration which may be in force admits.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    requests: u32,
    served: u32,
}

impl Counts {
    fn rate(self) -> f64 {
        f64::from(self.served) / f64::from(self.requests.max(1))
    }
}

/// Whether the tenant of a key has a limit by any configuration that may be in force: what it asks for above that is not
/// owed, on whatever route.
fn is_limited(key: &str, observations: &Observations) -> bool {
    let possible = observations
        .submissions
        .iter()
        .filter(|s| s.may_be_in_force());
    let mut tenants = possible.filter_map(|s| s.configuration.tenant_of(key));
    tenants.any(|tenant| tenant.quota.is_some())
}

/// See the module.
#[derive(Default)]
pub(super) struct AddedRoutes {
    first: Counts,
    added: Counts,
}

impl Checker for AddedRoutes {
    fn response_received(
        &mut self,
        response: &ClientResponse,
        record: &AttemptRecord,
        context: &mut Context,
    ) {
        let observations = context.observations;
        if response.is_abandoned
            || is_limited(&record.attempt.key, observations)
            || !is_certainly_admitted(record, observations)
            || !observations.no_unplanned_fault_since(record.sent_at)
        {
            return;
        }
        let first = observations.submissions.first();
        let is_added = first.is_some_and(|s| !admits(&s.configuration, &record.attempt));
        let counts = if is_added {
            &mut self.added
        } else {
            &mut self.first
        };
        counts.requests += 1;
        if response.is_complete && matches!(response.status, 200..=299) {
            counts.served += 1;
        }
    }

    fn scenario_ended(&mut self, context: &mut Context) {
        let AddedRoutes { first, added } = self;
        if added.requests >= MIN_REQUESTS && added.rate() < MIN_RELATIVE_RATE * first.rate() {
            let description = format!("on added routes {added:?}, on the first {first:?}");
            context.violated("CONFIG", description);
        }
    }
}
