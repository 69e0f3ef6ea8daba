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
//! | LOST | `lost_response`, `unanswered_requests`; of the configuration: `configuration_submission` |
//! | DENIED | `rejections` |
//! | ONE | `rollout_lease` |
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

use crate::monitor::{Event, Observations};

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule's name on the operators' page.
    pub rule: &'static str,
    /// What happened, with the names of those concerned.
    pub description: String,
}

impl Violation {
    fn new(rule: &'static str, description: String) -> Violation {
        Violation { rule, description }
    }
}

/// Finds violations of one rule.
pub trait Checker {
    /// Looks at an event, which the observations contain already, and adds the violations that it shows.
    fn on_event(
        &mut self,
        event: Event,
        observations: &Observations,
        violations: &mut Vec<Violation>,
    );
}

/// All checkers, in the order in which they see an event. A new checker is a file and a line here.
pub(crate) fn all() -> Vec<Box<dyn Checker>> {
    vec![
        Box::new(retry_budget::RetryBudget::default()),
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
        Box::new(rollout_lease::RolloutLease),
        Box::new(linearizable_history::LinearizableHistory),
    ]
}
