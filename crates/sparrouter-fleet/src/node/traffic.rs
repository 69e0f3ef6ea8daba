//! Client requests at this node: retry budgets, durations, and the number of open requests.
use super::Node;
use crate::platform::defects::rules;
use crate::settings::nanos;
use sparrouter_routing::{Nanos, RetryBudget, RouteDurations, TypicalOutput};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;

/// Measurements of client requests.
#[derive(Default)]
pub(crate) struct Traffic {
    /// This node's share of each service's retry budget. Invariant: entries exist only for services of the
    /// configuration in force, and for the last service that was used.
    retry_budgets: RefCell<HashMap<String, RetryBudget>>,
    /// Typical output lengths of requests.
    pub(crate) typical_output: RefCell<TypicalOutput>,
    /// Request durations of each route.
    pub(crate) durations: RefCell<RouteDurations>,
    /// Number of requests that are being read or served.
    open_requests: Cell<usize>,
}

impl Traffic {
    /// Number of requests that are being read or served.
    pub(crate) fn open_requests(&self) -> usize {
        self.open_requests.get()
    }
}

/// A request that is being read or served. It counts as open until this is dropped.
pub(crate) struct OpenRequest<'a>(&'a Traffic);

impl<'a> OpenRequest<'a> {
    /// Counts a request.
    pub(crate) fn begin(traffic: &'a Traffic) -> OpenRequest<'a> {
        traffic.open_requests.set(traffic.open_requests.get() + 1);
        OpenRequest(traffic)
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}

impl Node {
    /// Counts a client request toward the retry budget of a service.
    pub fn record_request(&self, service: &str) {
        self.with_retry_budget(service, |budget, now| budget.record_request(now));
    }

    /// Takes one retry from this node's share of a service's budget, if any remains. A process has none in its first
    /// window: the previous process may have spent all retries that its requests had earned, and the window by which
    /// the budget is judged includes both processes.
    pub fn may_retry(&self, service: &str) -> bool {
        let window = nanos(self.settings.borrow().bounds.budget_window);
        let is_past_first_window = self.now() >= window || !rules::restarts_renew_no_retry_slack();
        let division = self.live_nodes().slack_division();
        is_past_first_window
            && self.with_retry_budget(service, |budget, now| budget.try_acquire(division, now))
    }

    fn with_retry_budget<T>(
        &self,
        service: &str,
        use_budget: impl FnOnce(&mut RetryBudget, Nanos) -> T,
    ) -> T {
        let settings = self.settings.borrow();
        // The slack is available only after one window, since a previous process may have spent it.
        let head_start = if rules::restarts_renew_no_retry_slack() {
            0
        } else {
            nanos(settings.bounds.budget_window)
        };
        let now = self.now() + head_start;
        let mut budgets = self.traffic.retry_budgets.borrow_mut();
        // Budgets of services that are no longer configured are dropped.
        let table = self.active_configuration().table.clone();
        budgets.retain(|name, _| {
            name == service || table.as_ref().is_none_or(|t| t.service(name).is_some())
        });
        let budget = budgets
            .entry(service.to_owned())
            .or_insert_with(|| RetryBudget::new(settings.bounds.budget(), 0, now));
        use_budget(budget, now)
    }
}
