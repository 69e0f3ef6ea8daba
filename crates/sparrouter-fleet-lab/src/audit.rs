//! Checks the records of a run against the rules of the fleet.
use crate::ledger::{Attempt, Ledger, Response, Run, body_of, event_of, seal_of};
use crate::machine::Machine;
use crate::model_server::{DRAIN_TIMEOUT, kind_of};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

/// Time after the start or kill of a node during which requests to it may fail.
const RECOVERY_TIME: Duration = Duration::from_secs(3);
/// The default of `bounds.config_apply_ms`.
const CONFIG_APPLY_TIME: Duration = Duration::from_secs(2);
/// The default of `bounds.version_ms`.
const VERSION_TIME: Duration = Duration::from_secs(8);
/// Maximum number of violations that are listed; further ones are only counted.
const MAX_LISTED: usize = 20;

/// Returns all violations, each beginning with the rule's name in RULES.md. `events`: number of events in a complete
/// stream.
pub fn violations(ledger: &Ledger, machines: &[Rc<Machine>], events: u64) -> Vec<String> {
    let attempts = ledger.attempts.borrow();
    let runs = ledger.runs.borrow();
    let mut audit = Audit {
        ledger,
        machines,
        events,
        runs: &runs,
        violations: ledger.violations.borrow().clone(),
    };
    let mut runs_of: HashMap<&str, Vec<usize>> = HashMap::new();
    for (number, run) in runs.iter().enumerate() {
        runs_of.entry(&run.id).or_default().push(number);
        audit.check_unasked(run, attempts.get(&run.id));
        audit.check_drain(run);
        audit.check_version(run);
    }
    for (id, attempt) in attempts.iter() {
        let own_runs = runs_of.get(id.as_str()).map_or(&[][..], Vec::as_slice);
        audit.check_attempt(id, attempt, own_runs);
    }
    audit.check_orders();
    sort_and_truncate(audit.violations)
}

/// Sorts the violations and truncates the list to [`MAX_LISTED`].
fn sort_and_truncate(mut violations: Vec<String>) -> Vec<String> {
    violations.sort();
    let omitted = violations.len().saturating_sub(MAX_LISTED);
    violations.truncate(MAX_LISTED);
    if omitted > 0 {
        violations.push(format!("and {omitted} more"));
    }
    violations
}

struct Audit<'a> {
    ledger: &'a Ledger,
    machines: &'a [Rc<Machine>],
    events: u64,
    runs: &'a [Run],
    violations: Vec<String>,
}

impl Audit<'_> {
    fn report(&mut self, violation: String) {
        self.violations.push(violation);
    }

    /// UNASKED: each run belongs to an attempt, with the path and the body that the client sent.
    fn check_unasked(&mut self, run: &Run, attempt: Option<&Attempt>) {
        match attempt {
            None => self.report(format!(
                "UNASKED: {} ran {}, which no client requested",
                run.instance, run.id
            )),
            Some(a) if (&a.path, &a.body) != (&run.path, &run.body) => {
                self.report(format!("UNASKED: {} was modified in transit", run.id));
            }
            Some(_) => {}
        }
    }

    /// DRAIN: no run begins at a server later than [`DRAIN_TIMEOUT`] after its draining was acknowledged.
    fn check_drain(&mut self, run: &Run) {
        let drained = self.ledger.drains.borrow().get(&run.instance).copied();
        if let Some(at) = drained.filter(|at| run.began_at > *at + DRAIN_TIMEOUT) {
            let late = run.began_at - at;
            self.report(format!(
                "DRAIN: {} began at {} {late:?} after its draining was acknowledged",
                run.id, run.instance
            ));
        }
    }

    /// VERSION: no run begins on old weights later than [`VERSION_TIME`] after a newer version was acknowledged.
    fn check_version(&mut self, run: &Run) {
        let named = self.ledger.named.borrow();
        let is_late =
            |(version, at): &&(u64, _)| run.version < *version && run.began_at > *at + VERSION_TIME;
        let late = named.iter().filter(is_late).map(|(version, _)| {
            format!(
                "VERSION: {} began on {} at {} although {version} was acknowledged",
                run.id, run.version, run.instance
            )
        });
        self.violations.extend(late);
    }

    /// Checks the number of runs and the response of an attempt. `own_runs`: numbers of the attempt's runs.
    fn check_attempt(&mut self, id: &str, attempt: &Attempt, own_runs: &[usize]) {
        if own_runs.len() > 1 && !attempt.kind.is_idempotent() {
            self.report(format!(
                "TWICE: {id} of {} ran {} times",
                attempt.path,
                own_runs.len()
            ));
        }
        let Some(response) = &attempt.response else {
            // The lab's run ended before the attempt did.
            return;
        };
        if let Some(parse_error) = &response.malformed {
            self.report(format!(
                "MIXED: {id} got an invalid HTTP response: {parse_error}"
            ));
        }
        if response.status != 0 && !response.id.is_empty() && response.id != id {
            self.report(format!("MIXED: {id} got the response of {}", response.id));
        }
        match response.status {
            200..=299 => self.check_success(id, response, own_runs),
            408 | 421 | 429 | 503 if !own_runs.is_empty() && !attempt.kind.is_idempotent() => {
                self.report(format!(
                    "REFUSED: {id} got {} although it ran",
                    response.status
                ));
            }
            _ => {}
        }
        let had_fault = self.had_fault(attempt, response);
        if !had_fault {
            self.check_config(id, attempt, response, !own_runs.is_empty());
        }
        let is_excused = had_fault || self.ran_at_crashed_server(own_runs);
        if !response.is_complete && !response.abandoned && !is_excused {
            self.report_lost(id, attempt, response, own_runs.len());
        }
    }

    /// Returns whether the attempt's node was started or killed during the attempt or within [`RECOVERY_TIME`] before it.
    fn had_fault(&self, attempt: &Attempt, response: &Response) -> bool {
        let deadline = response.ended_at.unwrap_or(attempt.sent);
        let fault_times = self.machines[attempt.node].fault_times.borrow();
        let affects = |at: &_| *at + RECOVERY_TIME >= attempt.sent && *at <= deadline;
        fault_times.iter().any(affects)
    }

    fn ran_at_crashed_server(&self, own_runs: &[usize]) -> bool {
        let crashed = self.ledger.crashed.borrow();
        let mut instances = own_runs.iter().map(|n| &self.runs[*n].instance);
        instances.any(|instance| crashed.contains(instance))
    }

    fn report_lost(&mut self, id: &str, attempt: &Attempt, response: &Response, runs: usize) {
        let elapsed = response.ended_at.unwrap_or(attempt.sent) - attempt.sent;
        self.report(format!(
            "LOST: {id} of {} at {} ended after {elapsed:?} without a complete response (status {}, {runs} runs)",
            attempt.path, self.machines[attempt.node].name, response.status,
        ));
    }

    /// CONFIG: a request is handled by a configuration version that may be active. Versions replaced longer than
    /// [`CONFIG_APPLY_TIME`] ago, and versions that were not sent yet, may not be active.
    fn check_config(&mut self, id: &str, attempt: &Attempt, response: &Response, ran: bool) {
        let deadline = response.ended_at.unwrap_or(attempt.sent);
        let added_by = attempt
            .path
            .strip_prefix("/extra-")
            .and_then(|path| path.split('/').next()?.parse::<u64>().ok());
        let is_applied = |number: u64| {
            let acknowledged = self.ledger.version(number).and_then(|v| v.acknowledged);
            acknowledged.is_some_and(|at| at + CONFIG_APPLY_TIME < attempt.sent)
        };
        let was_sent = |number: u64| {
            self.ledger
                .version(number)
                .is_some_and(|v| v.sent <= deadline)
        };
        let (must_exist, may_exist) = match added_by {
            None => (true, true),
            Some(n) => (
                is_applied(n) && !was_sent(n + 1),
                was_sent(n) && !is_applied(n + 1),
            ),
        };
        let is_denied = matches!(response.status, 401 | 403 | 404);
        if is_denied && must_exist {
            self.report(format!(
                "CONFIG: {id} of {} got {}",
                attempt.path, response.status
            ));
        }
        if ran && !may_exist {
            self.report(format!(
                "CONFIG: {id} ran on {}, a route that cannot be active",
                attempt.path
            ));
        }
    }

    /// MIXED and ORDER: the body was produced by the attempt's own runs, in order.
    fn check_success(&mut self, id: &str, response: &Response, own_runs: &[usize]) {
        let sealed = |n: &usize| seal_of(*n) == response.seal;
        let Some(first) = own_runs.iter().copied().find(sealed) else {
            let seal = &response.seal;
            return self.report(format!(
                "MIXED: {id} got a success with the unknown seal {seal:?}"
            ));
        };
        if kind_of(&self.runs[first].path).is_stream() {
            return self.check_stream(id, response, own_runs, first);
        }
        if response.is_complete && response.body != body_of(first) {
            self.report(format!(
                "MIXED: {id} got a body that differs from its run's"
            ));
        }
    }

    /// Checks that event numbers increase by one, and that each event comes from one of the attempt's runs that started at or
    /// before this event.
    fn check_stream(&mut self, id: &str, response: &Response, own_runs: &[usize], first: usize) {
        let mut last = self.runs[first].resumed;
        let mut rest = response.body.as_str();
        while let Some(end) = rest.find("\n\n") {
            let (event, remainder) = rest.split_at(end + 2);
            let produced_event =
                |n: &&usize| event == event_of(**n, last + 1) && self.runs[**n].resumed <= last;
            if own_runs.iter().find(produced_event).is_none() {
                return self.report(format!("ORDER: {id} got {event:?} after event {last}"));
            }
            last += 1;
            rest = remainder;
        }
        if response.is_complete && (last != self.events || !rest.is_empty()) {
            let events = self.events;
            self.report(format!(
                "ORDER: {id} ended as complete after event {last} of {events}"
            ));
        }
    }

    /// ONE: each fencing token belongs to one lease holder, tokens never decrease at a server, and no server loads a version
    /// twice.
    fn check_orders(&mut self) {
        let orders = self.ledger.orders.borrow();
        let mut holders: HashMap<(&str, u64), &str> = HashMap::new();
        let mut highest: HashMap<&str, u64> = HashMap::new();
        let mut loads = HashSet::new();
        for order in orders.iter() {
            let holder = holders
                .entry((&order.instance, order.fencing_token))
                .or_insert(&order.lease_holder);
            if *holder != order.lease_holder {
                self.violations.push(format!(
                    "ONE: two lease holders sent orders to {} with fencing token {}",
                    order.instance, order.fencing_token
                ));
            }
            let highest_token = highest.entry(&order.instance).or_default();
            if order.fencing_token < *highest_token {
                self.violations.push(format!(
                    "ONE: {} got an order with fencing token {} after {highest_token}",
                    order.instance, order.fencing_token
                ));
            }
            *highest_token = (*highest_token).max(order.fencing_token);
            if order.loads && !loads.insert((&order.instance, order.version)) {
                self.violations.push(format!(
                    "ONE: {} loads version {} twice",
                    order.instance, order.version
                ));
            }
        }
    }
}
