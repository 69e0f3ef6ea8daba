//! The monitor of a run: clients, servers and the operator report to it what they see on their connections. It keeps what
//! was observed and the event trace, and notifies the checkers, which find violations of rules as they happen.

mod bounds;
mod event;
mod fault_timeline;
mod observations;
mod reports;
mod trace;

pub use bounds::Bounds;
pub use event::{
    Arrival, Attempt, CachedBlock, ClientResponse, Event, RolloutCommand, Run, SubmissionId,
};
pub use fault_timeline::{FaultScope, FaultTimeline};
pub use observations::{AttemptRecord, Observations, Submission, WeightsVersion};
pub use trace::EventTrace;

use crate::checkers::{self, Checker, Context};
use crate::history::History;
use std::cell::RefCell;

/// Lines of the event trace that are printed with a violation.
const PRINTED_TRACE_LINES: usize = 60;

/// Keeps what was observed, and runs the checkers.
pub struct Monitor {
    /// Figures of the rules.
    pub bounds: Bounds,
    /// What happened, in order.
    pub trace: EventTrace,
    /// The operators' calls, checked by [`Monitor::check_history`].
    pub history: RefCell<History>,
    observations: RefCell<Observations>,
    checkers: RefCell<Vec<Box<dyn Checker>>>,
    /// Violations in the order in which they were found, each beginning with the rule's name.
    violations: RefCell<Vec<String>>,
}

impl Monitor {
    /// A monitor with all checkers; the run begins now.
    pub fn new(bounds: Bounds) -> Monitor {
        let trace = EventTrace::new();
        let observations = Observations::new(bounds, trace.started_at());
        Monitor {
            bounds,
            trace,
            history: RefCell::default(),
            observations: RefCell::new(observations),
            checkers: RefCell::new(checkers::all()),
            violations: RefCell::default(),
        }
    }

    /// Notifies all checkers of an event that the observations contain already.
    fn notify(&self, event: Event) {
        let violations = {
            let mut context = Context {
                observations: &self.observations.borrow(),
                violations: Vec::new(),
            };
            for checker in self.checkers.borrow_mut().iter_mut() {
                checkers::notify(checker.as_mut(), event, &mut context);
            }
            context.violations
        };
        for violation in violations {
            self.report_violation(violation.rule, violation.description);
        }
    }

    /// Finds a violation of LINEAR unless the operators' calls and their outcomes have an order that a register allows.
    pub fn check_history(&self) {
        self.notify(Event::HistoryEnded(&self.history.borrow()));
    }

    /// Checks what was counted over the whole run; to be called once, when all requests have ended.
    pub fn scenario_ended(&self) {
        self.notify(Event::ScenarioEnded);
    }

    /// Adds an event to the trace.
    pub fn trace(&self, event: impl AsRef<str>) {
        self.trace.record(event.as_ref());
    }

    /// Adds an event of a single request to the trace, if that is verbose.
    pub(crate) fn trace_detail(&self, event: impl FnOnce() -> String) {
        self.trace.record_detail(event);
    }

    /// Adds a violation of a rule. Checks that need more than the observations call it themselves.
    pub fn report_violation(&self, rule: &str, description: impl AsRef<str>) {
        let violation = format!("{rule}: {}", description.as_ref());
        self.trace(format!("VIOLATED {violation}"));
        self.violations.borrow_mut().push(violation);
    }

    /// All violations so far, each beginning with the rule's name.
    pub fn violations(&self) -> Vec<String> {
        self.violations.borrow().clone()
    }

    /// What happened so far, a line each, with its time since the start.
    pub fn event_trace(&self) -> Vec<String> {
        self.trace.lines()
    }

    /// Fails the test if a rule was violated.
    ///
    /// # Panics
    ///
    /// If there is a violation; the message has the end of the event trace.
    pub fn assert_no_violations(&self) {
        let violations = self.violations();
        if violations.is_empty() {
            return;
        }
        let lines = self.event_trace();
        let last = &lines[lines.len().saturating_sub(PRINTED_TRACE_LINES)..];
        panic!(
            "rules violated:\n{}\nevents:\n{}",
            violations.join("\n"),
            last.join("\n")
        );
    }
}
