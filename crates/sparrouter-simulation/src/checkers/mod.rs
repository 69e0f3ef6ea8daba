//! The rules of the operators' page (RULES.md), a checker each. A checker receives every event that is reported to the
//! [`crate::monitor::Monitor`], and finds violations from what servers, clients and the operator saw on their
//! connections, without the fleet's own code. Where the page limits a rule to machines in contact, nothing is checked at
//! other machines.
//!
//! | rule | file |
//! | --- | --- |
//! | MIXED | `response_integrity` |
//! | ORDER | `stream_order` |
//! | UNASKED | `unexpected_run` |
//! | TWICE | `duplicate_run` |
//! | REFUSED | `rejected_run` |
//! | ROUTE | `route` |
//! | CONFIG | `configuration_in_force`, `configuration_submission`, `revocation`, `added_routes` |
//! | STALE | `stale_cache` |
//! | WALL | `tenant_isolation` |
//! | VERSION | `weights_version` |
//! | DRAIN | `drain` |
//! | BUDGET | `retry_budget` |
//! | QUOTA | `quota` |
//! | LOST | `lost_response`, `unanswered_requests`; of the configuration: `configuration_submission` |
//! | DENIED | `rejections` |
//! | ONE, DUTY | `rollout_lease` |
//! | LINEAR | `linearizable_history` |
//!
//! Rules that need more than these events are checked where that is known: ACKS in [`crate::operator`], CONTACT in
//! [`crate::contact_watch`], COPIES in [`crate::durability`], RECOVER, DUTY and FAULT at the end of a
//! [`crate::scenario::Scenario`].

mod added_routes;
mod configuration_in_force;
mod configuration_submission;
mod drain;
mod duplicate_run;
mod handling;
mod linearizable_history;
mod lost_response;
mod quota;
mod rejected_run;
mod rejections;
mod response_integrity;
mod retry_budget;
mod revocation;
mod rollout_lease;
mod route;
mod stale_cache;
mod stream_order;
mod tenant_isolation;
mod unanswered_requests;
mod unexpected_run;
mod weights_version;

use crate::history::History;
use crate::monitor::{
    Arrival, Attempt, AttemptRecord, ClientResponse, Event, Observations, RolloutCommand, Run,
    Submission,
};

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule's name on the operators' page.
    pub rule: &'static str,
    /// What happened, with the names of those concerned.
    pub description: String,
}

/// What a checker sees beside the event, and the violations that it finds.
pub struct Context<'a> {
    /// Everything observed so far, the event included.
    pub observations: &'a Observations,
    /// Violations found at this event.
    pub violations: Vec<Violation>,
}

impl Context<'_> {
    /// Adds a violation.
    pub fn violated(&mut self, rule: &'static str, description: String) {
        self.violations.push(Violation { rule, description });
    }
}

/// Finds violations of one rule: overrides the methods of the events that the rule is about.
pub trait Checker {
    /// A client sent a request.
    fn attempt_sent(&mut self, _attempt: &Attempt, _context: &mut Context) {}

    /// A request reached a server, which may still decline it.
    fn request_arrived(&mut self, _arrival: &Arrival, _context: &mut Context) {}

    /// A server began to work on a request that a client sent.
    fn run_started(&mut self, _run: &Run, _record: &AttemptRecord, _context: &mut Context) {}

    /// A server began to work on a request that no client sent.
    fn unsent_run_started(&mut self, _run: &Run, _context: &mut Context) {}

    /// A client received a response, or its attempt ended without one.
    fn response_received(
        &mut self,
        _response: &ClientResponse,
        _record: &AttemptRecord,
        _context: &mut Context,
    ) {
    }

    /// A node acknowledged a configuration for the first time.
    fn configuration_acknowledged(&mut self, _submission: &Submission, _context: &mut Context) {}

    /// A node rejected a configuration with this status.
    fn configuration_rejected(
        &mut self,
        _submission: &Submission,
        _status: u16,
        _context: &mut Context,
    ) {
    }

    /// The operator read the configuration back at the end; status 0: without a response.
    fn configuration_read(&mut self, _status: u16, _text: &str, _context: &mut Context) {}

    /// A server received a rollout command. `earlier`: those that it received before.
    fn command_received(
        &mut self,
        _command: &RolloutCommand,
        _earlier: &[RolloutCommand],
        _context: &mut Context,
    ) {
    }

    /// All requests of the run have ended.
    fn scenario_ended(&mut self, _context: &mut Context) {}

    /// All calls of operators have ended.
    fn history_ended(&mut self, _history: &History, _context: &mut Context) {}
}

/// Calls the method of a checker that an event is for.
pub(crate) fn notify(checker: &mut dyn Checker, event: Event, context: &mut Context) {
    let observations = context.observations;
    match event {
        Event::AttemptSent(attempt) => checker.attempt_sent(attempt, context),
        Event::RequestArrived(arrival) => checker.request_arrived(arrival, context),
        Event::RunStarted(run) => match observations.attempts.get(&run.attempt_id) {
            Some(record) => checker.run_started(run, record, context),
            None => checker.unsent_run_started(run, context),
        },
        Event::ResponseReceived {
            attempt_id,
            response,
        } => {
            if let Some(record) = observations.attempts.get(attempt_id) {
                checker.response_received(response, record, context);
            }
        }
        Event::ConfigurationAcknowledged(id) => {
            checker.configuration_acknowledged(observations.submission(id), context);
        }
        Event::ConfigurationRejected { submission, status } => {
            let submission = observations.submission(submission);
            checker.configuration_rejected(submission, status, context);
        }
        Event::ConfigurationRead { status, text } => {
            checker.configuration_read(status, text, context);
        }
        Event::CommandReceived(command) => {
            let commands = observations.commands.get(&command.server);
            if let Some((_, earlier)) = commands.and_then(|all| all.split_last()) {
                checker.command_received(command, earlier, context);
            }
        }
        Event::ScenarioEnded => checker.scenario_ended(context),
        Event::HistoryEnded(history) => checker.history_ended(history, context),
    }
}

/// All checkers, in the order in which they see an event. A new checker is a file and a line here.
pub(crate) fn all() -> Vec<Box<dyn Checker>> {
    vec![
        Box::new(retry_budget::RetryBudget::default()),
        Box::new(quota::QuotaChecker::default()),
        Box::new(drain::Drain),
        Box::new(unexpected_run::UnexpectedRun),
        Box::new(duplicate_run::DuplicateRun),
        Box::new(rejected_run::RejectedRun::default()),
        Box::new(revocation::Revocation),
        Box::new(route::RouteChecker),
        Box::new(configuration_in_force::ConfigurationInForce::default()),
        Box::new(stale_cache::StaleCache),
        Box::new(tenant_isolation::TenantIsolation),
        Box::new(weights_version::WeightsVersionChecker),
        Box::new(response_integrity::ResponseIntegrity),
        Box::new(stream_order::StreamOrder),
        Box::new(lost_response::LostResponse),
        Box::new(rejections::Rejections::default()),
        Box::new(unanswered_requests::UnansweredRequests::default()),
        Box::new(added_routes::AddedRoutes::default()),
        Box::new(configuration_submission::ConfigurationSubmission),
        Box::new(rollout_lease::RolloutLease::default()),
        Box::new(linearizable_history::LinearizableHistory),
    ]
}
