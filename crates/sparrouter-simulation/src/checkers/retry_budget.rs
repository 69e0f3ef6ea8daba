//! BUDGET: arrivals beyond the first of each request, in any window, against the requests for the service.
use super::{Bounds, Monitor};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

#[derive(Default)]
struct Service {
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
    arrived: BTreeSet<String>,
}

pub(super) struct Budget {
    bounds: Bounds,
    services: BTreeMap<String, Service>,
}

impl Budget {
    pub(super) fn new(bounds: Bounds) -> Budget {
        Budget {
            bounds,
            services: BTreeMap::new(),
        }
    }

    pub(super) fn requested(&mut self, service: &str) {
        let now = Instant::now();
        let window = self.bounds.budget_window;
        let known = self.services.entry(service.to_owned()).or_default();
        known.requests.push_back(now);
        while known
            .requests
            .front()
            .is_some_and(|at| now - *at > window * 3)
        {
            known.requests.pop_front();
        }
    }

    /// What broke it, if it is broken now.
    pub(super) fn request_arrived(&mut self, service: &str, attempt: &str) -> Option<String> {
        let now = Instant::now();
        let Bounds {
            budget_window: window,
            budget_ratio,
            budget_slack,
            ..
        } = self.bounds;
        let known = self.services.entry(service.to_owned()).or_default();
        if known.arrived.insert(attempt.to_owned()) {
            return None;
        }
        known.repeats.push_back(now);
        while known.repeats.front().is_some_and(|at| now - *at > window) {
            known.repeats.pop_front();
        }
        let count = |ago: Duration| {
            let inside = |at: &&Instant| now - **at >= ago && now - **at <= ago + window;
            known.requests.iter().filter(inside).count()
        };
        let most = [Duration::ZERO, window / 2, window]
            .map(count)
            .into_iter()
            .max()
            .unwrap_or(0);
        let allowed = budget_ratio * most as f64 + budget_slack;
        (known.repeats.len() as f64 > allowed).then(|| {
            format!(
                "{} repeats at {service} in a window, {allowed:.1} are allowed",
                known.repeats.len()
            )
        })
    }
}

impl Monitor {
    /// A request reached a server, which may still decline it.
    pub fn request_arrived(
        &self,
        service: &str,
        attempt: &str,
        instance: &str,
        by: std::net::IpAddr,
    ) {
        self.trace_detail(|| format!("{attempt} reaches {instance} from {by}"));
        let broken = self.budget.borrow_mut().request_arrived(service, attempt);
        if let Some(what) = broken {
            self.report_violation("BUDGET", what);
        }
        self.check_drain(instance, attempt, by);
    }

    pub(super) fn requested(&self, service: &str) {
        self.budget.borrow_mut().requested(service);
    }
}
