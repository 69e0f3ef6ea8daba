//! BUDGET: retries that reach a service in any window, against the requests for that service.

use super::{Checker, Context};
use crate::monitor::{Arrival, Attempt, Bounds, Observations};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// Requests of the last so many windows are compared with the retries of the last one.
const COUNTED_WINDOWS: u32 = 3;

#[derive(Default)]
struct Service {
    /// When requests for it were sent, over [`COUNTED_WINDOWS`].
    requests: VecDeque<Instant>,
    /// When attempts arrived that had arrived before, over one window.
    retries: VecDeque<Instant>,
    /// Ids of attempts that arrived.
    arrived: BTreeSet<String>,
}

/// See the module.
#[derive(Default)]
pub(super) struct RetryBudget {
    services: BTreeMap<String, Service>,
}

fn drop_older(moments: &mut VecDeque<Instant>, age: Duration) {
    let now = Instant::now();
    while moments.front().is_some_and(|moment| now - *moment > age) {
        moments.pop_front();
    }
}

impl RetryBudget {
    /// The request counts for each service that any submitted configuration names for it.
    fn count_request(&mut self, attempt: &Attempt, observations: &Observations) {
        let routes = observations
            .submissions
            .iter()
            .filter_map(|s| s.configuration.route(&attempt.host, &attempt.path));
        let services: BTreeSet<&str> = routes.map(|route| route.service.as_str()).collect();
        for service in services {
            let known = self.services.entry(service.to_owned()).or_default();
            known.requests.push_back(Instant::now());
            let window = observations.bounds.budget_window;
            drop_older(&mut known.requests, window * COUNTED_WINDOWS);
        }
    }

    /// Counts an arrival. Returns how the budget is exceeded now, if it is.
    fn count_arrival(&mut self, arrival: &Arrival, bounds: &Bounds) -> Option<String> {
        let Arrival {
            service,
            attempt_id,
            ..
        } = arrival;
        let now = Instant::now();
        let window = bounds.budget_window;
        let known = self.services.entry((*service).to_owned()).or_default();
        if known.arrived.insert((*attempt_id).to_owned()) {
            return None;
        }
        known.retries.push_back(now);
        drop_older(&mut known.retries, window);
        let requests_in_window_before = |age: Duration| {
            let is_inside = |sent_at: &&Instant| {
                let sent_ago = now - **sent_at;
                sent_ago >= age && sent_ago <= age + window
            };
            known.requests.iter().filter(is_inside).count()
        };
        let max_requests = [Duration::ZERO, window / 2, window]
            .map(requests_in_window_before)
            .into_iter()
            .max()
            .unwrap_or(0);
        let allowed = bounds.budget_ratio * max_requests as f64 + bounds.budget_slack;
        let retries = known.retries.len();
        (retries as f64 > allowed).then(|| {
            format!("{retries} retries at {service} in a window, {allowed:.1} are allowed")
        })
    }
}

impl Checker for RetryBudget {
    fn attempt_sent(&mut self, attempt: &Attempt, context: &mut Context) {
        self.count_request(attempt, context.observations);
    }

    fn request_arrived(&mut self, arrival: &Arrival, context: &mut Context) {
        let bounds = &context.observations.bounds;
        if let Some(excess) = self.count_arrival(arrival, bounds) {
            context.violated("BUDGET", excess);
        }
    }
}
