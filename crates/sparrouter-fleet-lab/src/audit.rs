//! Which rules of the fleet were violated in a run, by its ledger alone.
use crate::ledger::{Attempt, Ledger, Response, Run, body_of, event_of, seal_of};
use crate::machine::Machine;
use crate::model_server::{DRAIN_TIMEOUT, kind_of};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

/// Requests to a node may fail for so long after it was started or killed.
const RECOVERY_TIME: Duration = Duration::from_secs(3);
/// The default of `bounds.config_apply_ms`.
const CONFIG_APPLY_TIME: Duration = Duration::from_secs(2);
/// The default of `bounds.version_ms`.
const VERSION_TIME: Duration = Duration::from_secs(8);
/// Most violations that are listed; the others are counted.
const MAX_LISTED: usize = 20;

/// All violations, each beginning with the rule's name in RULES.md. `events`: number of events of a whole stream.
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
    list(audit.violations)
}

/// Sorts violations and shortens the list.
fn list(mut violations: Vec<String>) -> Vec<String> {
    violations.sort();
    let more = violations.len().saturating_sub(MAX_LISTED);
    violations.truncate(MAX_LISTED);
    if more > 0 {
        violations.push(format!("and {more} more"));
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

    /// UNASKED: each run belongs to an attempt, and has its path and body.
    fn check_unasked(&mut self, run: &Run, attempt: Option<&Attempt>) {
        match attempt {
            None => self.report(format!(
                "UNASKED: {} ran {}, which no client sent",
                run.instance, run.id
            )),
            Some(a) if (&a.path, &a.body) != (&run.path, &run.body) => {
                self.report(format!("UNASKED: {} was changed on its way", run.id));
            }
            Some(_) => {}
        }
    }

    /// DRAIN: no run begins at a server long after it was to drain.
    fn check_drain(&mut self, run: &Run) {
        let drained = self.ledger.drains.borrow().get(&run.instance).copied();
        if let Some(at) = drained.filter(|at| run.began_at > *at + DRAIN_TIMEOUT) {
            let late = run.began_at - at;
            self.report(format!(
                "DRAIN: {} began at {} {late:?} after it was to drain",
                run.id, run.instance
            ));
        }
    }

    /// VERSION: no run begins on old weights long after newer ones were named.
    fn check_version(&mut self, run: &Run) {
        let named = self.ledger.named.borrow();
        let is_late =
            |(version, at): &&(u64, _)| run.version < *version && run.began_at > *at + VERSION_TIME;
        let late = named.iter().filter(is_late).map(|(version, _)| {
            format!(
                "VERSION: {} began on {} at {}, {version} is named",
                run.id, run.version, run.instance
            )
        });
        self.violations.extend(late);
    }

    /// `own_runs`: numbers of the attempt's runs.
    fn check_attempt(&mut self, id: &str, attempt: &Attempt, own_runs: &[usize]) {
        if own_runs.len() > 1 && !attempt.kind.is_idempotent() {
            self.report(format!(
                "TWICE: {id} of {} ran {} times",
                attempt.path,
                own_runs.len()
            ));
        }
        let Some(response) = &attempt.response else {
            // The run of the lab ended before the client did.
            return;
        };
        if let Some(bad) = &response.malformed {
            self.report(format!("MIXED: {id} got bytes that are no answer: {bad}"));
        }
        if response.status != 0 && !response.id.is_empty() && response.id != id {
            self.report(format!("MIXED: {id} got the answer of {}", response.id));
        }
        match response.status {
            200..=299 => self.check_success(id, response, own_runs),
            408 | 421 | 429 | 503 if !own_runs.is_empty() && !attempt.kind.is_idempotent() => {
                self.report(format!("REFUSED: {id} got {} and ran", response.status));
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

    /// Whether the attempt's node was started or killed shortly before or during the attempt.
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
            "LOST: {id} of {} at {} ended after {elapsed:?} without a whole answer (status {}, {runs} runs)",
            attempt.path, self.machines[attempt.node].name, response.status,
        ));
    }

    /// CONFIG: nothing happens that only an older version allows, long after a newer one was acknowledged, or only a
    /// newer version than was ever sent.
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
                "CONFIG: {id} ran on {}, which is gone",
                attempt.path
            ));
        }
    }

    /// MIXED and ORDER: the body is what the attempt's own runs made, in order.
    fn check_success(&mut self, id: &str, response: &Response, own_runs: &[usize]) {
        let sealed = |n: &usize| seal_of(*n) == response.seal;
        let Some(first) = own_runs.iter().copied().find(sealed) else {
            let seal = &response.seal;
            return self.report(format!("MIXED: {id} got a success under the seal {seal:?}"));
        };
        if kind_of(&self.runs[first].path).is_stream() {
            return self.check_stream(id, response, own_runs, first);
        }
        if response.is_complete && response.body != body_of(first) {
            self.report(format!("MIXED: {id} got another body than its run made"));
        }
    }

    /// Events rise by one; an event of another run than the one before is from a run that continues there.
    fn check_stream(&mut self, id: &str, response: &Response, own_runs: &[usize], first: usize) {
        let mut last = self.runs[first].resumed;
        let mut rest = response.body.as_str();
        while let Some(end) = rest.find("\n\n") {
            let (event, behind) = rest.split_at(end + 2);
            let made_it =
                |n: &&usize| event == event_of(**n, last + 1) && self.runs[**n].resumed <= last;
            if own_runs.iter().find(made_it).is_none() {
                return self.report(format!("ORDER: {id} got {event:?} after event {last}"));
            }
            last += 1;
            rest = behind;
        }
        if response.is_complete && (last != self.events || !rest.is_empty()) {
            let events = self.events;
            self.report(format!(
                "ORDER: {id} looks complete after event {last} of {events}"
            ));
        }
    }

    /// ONE: fencing tokens belong to one holder each and never fall at a server, and no server loads a version twice.
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
                    "ONE: two holders order {} under {}",
                    order.instance, order.fencing_token
                ));
            }
            let known = highest.entry(&order.instance).or_default();
            if order.fencing_token < *known {
                self.violations.push(format!(
                    "ONE: {} is ordered under {} after {known}",
                    order.instance, order.fencing_token
                ));
            }
            *known = (*known).max(order.fencing_token);
            if order.loads && !loads.insert((&order.instance, order.version)) {
                self.violations.push(format!(
                    "ONE: {} loads version {} twice",
                    order.instance, order.version
                ));
            }
        }
    }
}
