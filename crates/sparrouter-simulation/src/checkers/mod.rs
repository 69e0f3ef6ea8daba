//! The rules of the operators' page, judged on what stand-ins see on their connections, as it happens.
//!
//! By file: `trouble` (who is in touch), `requests` (MIXED, UNASKED, TWICE, REFUSED, ROUTE, CONFIG of requests, DRAIN,
//! VERSION, STALE, WALL, LOST), `answers` (MIXED and ORDER of bytes), `prices` (DENIED, CONFIG of routes that were added),
//! `orders` (CONFIG of the operator, ONE, ACKS), `budget`.
//! Where the page leaves a bound to machines in touch, a breach elsewhere is none.
mod answers;
mod fault_timeline;
mod orders;
mod requests;
mod retry_budget;
mod totals;

pub use answers::ClientResponse;
pub use orders::Submission;
pub use requests::{Attempt, CachedBlock, Run};

use crate::history::History;
use fault_timeline::FaultTimeline;
use orders::Orders;
use requests::Requests;
use retry_budget::Budget;
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::time::Instant;

/// The figures of the rules.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub contact: Duration,
    pub ack_timeout: Duration,
    pub drain_timeout: Duration,
    pub grace: Duration,
    pub loss_slack: Duration,
    pub config_apply: Duration,
    pub rollback_slack: Duration,
    pub lease: Duration,
    pub thaw: Duration,
    pub version: Duration,
    pub recovery: Duration,
    pub budget_ratio: f64,
    pub budget_slack: f64,
    pub budget_window: Duration,
    /// Servers refuse a lower fencing token than one that they have seen.
    pub fencing: bool,
    /// A removed key binds every machine after `revoke_timeout`, in touch or not.
    pub strict_revocation: bool,
    pub revoke_timeout: Duration,
    /// The most that stable stretches may add up to before no request begins on an older version; zero: no limit.
    pub version_all: Duration,
}

impl Default for Bounds {
    fn default() -> Bounds {
        let ms = Duration::from_millis;
        Bounds {
            contact: ms(3_000),
            ack_timeout: ms(4_000),
            drain_timeout: ms(2_000),
            grace: ms(8_000),
            loss_slack: ms(200),
            config_apply: ms(2_000),
            rollback_slack: ms(250),
            lease: ms(3_000),
            thaw: ms(300),
            version: ms(8_000),
            recovery: ms(12_000),
            budget_ratio: 0.2,
            budget_slack: 64.0,
            budget_window: ms(10_000),
            fencing: true,
            strict_revocation: false,
            revoke_timeout: ms(5_000),
            version_all: Duration::ZERO,
        }
    }
}

/// Lines of the event log that are printed with a violation.
const PRINTED: usize = 60;

pub struct Monitor {
    pub bounds: Bounds,
    began: Instant,
    violations: RefCell<Vec<String>>,
    events: RefCell<Vec<String>>,
    fault_timeline: RefCell<FaultTimeline>,
    requests: RefCell<Requests>,
    orders: RefCell<Orders>,
    budget: RefCell<Budget>,
    /// The operators' calls, checked by `check_history`.
    pub history: RefCell<History>,
    /// Each request is logged too, not only faults and changes.
    pub verbose: Cell<bool>,
}

impl Monitor {
    pub fn new(bounds: Bounds) -> Monitor {
        Monitor {
            bounds,
            began: Instant::now(),
            violations: RefCell::default(),
            events: RefCell::default(),
            fault_timeline: RefCell::default(),
            requests: RefCell::default(),
            orders: RefCell::default(),
            budget: RefCell::new(Budget::new(bounds)),
            history: RefCell::default(),
            verbose: Cell::new(false),
        }
    }

    /// Breaks LINEAR unless the operators' calls and answers have an order that a register allows.
    pub fn check_history(&self) {
        let violation = self.history.borrow().violation();
        if let Some(violation) = violation {
            self.report_violation("LINEAR", violation);
        }
    }

    /// A line of the event log.
    pub fn trace(&self, what: impl Into<String>) {
        let line = format!("{:9.3} {}", self.began.elapsed().as_secs_f64(), what.into());
        self.events.borrow_mut().push(line);
    }

    pub(crate) fn trace_detail(&self, what: impl FnOnce() -> String) {
        if self.verbose.get() {
            self.trace(what());
        }
    }

    /// A rule is broken.
    pub fn report_violation(&self, rule: &str, what: impl Into<String>) {
        let what = format!("{rule}: {}", what.into());
        self.trace(format!("BROKEN {what}"));
        self.violations.borrow_mut().push(what);
    }

    pub fn violations(&self) -> Vec<String> {
        self.violations.borrow().clone()
    }

    /// What happened so far, a line each, with its time since the start.
    pub fn event_trace(&self) -> Vec<String> {
        self.events.borrow().clone()
    }

    /// Fails the test if a rule was broken, with the end of the event log.
    pub fn assert_no_violations(&self) {
        let violations = self.violations();
        if !violations.is_empty() {
            let events = self.event_trace();
            let last = &events[events.len().saturating_sub(PRINTED)..];
            panic!(
                "rules broken:\n{}\nevents:\n{}",
                violations.join("\n"),
                last.join("\n")
            );
        }
    }
}
