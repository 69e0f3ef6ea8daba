//! How a request was handled, and whether a configuration explains it.

use crate::configuration::Configuration;
use crate::monitor::{Attempt, AttemptRecord, Observations, Run};

/// How a request was handled.
#[derive(Clone, Copy, Debug)]
pub(super) enum Handling<'a> {
    /// It ran at a server.
    Ran {
        /// Service of the server.
        service: &'a str,
        /// Tenant that the node named.
        tenant: Option<&'a str>,
    },
    /// A node rejected it with this status.
    Rejected(u16),
}

impl<'a> Handling<'a> {
    pub(super) fn of_run(run: &'a Run) -> Handling<'a> {
        Handling::Ran {
            service: &run.service,
            tenant: run.tenant.as_deref(),
        }
    }

    /// Whether a node that goes by this configuration handles the request so.
    pub(super) fn is_explained_by(&self, configuration: &Configuration, attempt: &Attempt) -> bool {
        let route = configuration.route(&attempt.host, &attempt.path);
        let needs_no_key = |public: bool| public || configuration.tenants.is_empty();
        let tenant = configuration.tenant_of(&attempt.key);
        match (self, route) {
            (
                Handling::Ran {
                    service,
                    tenant: named,
                },
                Some(route),
            ) => {
                let is_own_tenant = tenant.is_some_and(|t| Some(t.name.as_str()) == *named);
                route.service == *service && (needs_no_key(route.public) || is_own_tenant)
            }
            (Handling::Ran { .. }, None) => false,
            (Handling::Rejected(404), route) => route.is_none(),
            (Handling::Rejected(_), Some(route)) => !needs_no_key(route.public) && tenant.is_none(),
            (Handling::Rejected(_), None) => false,
        }
    }

    /// Whether any submitted configuration explains it, in force or not.
    pub(super) fn is_ever_explained(
        &self,
        record: &AttemptRecord,
        observations: &Observations,
    ) -> bool {
        let mut submissions = observations.submissions.iter();
        submissions.any(|s| self.is_explained_by(&s.configuration, &record.attempt))
    }

    /// Versions that may be in force, as far as their submission tells, and explain it.
    pub(super) fn explaining_versions(
        &self,
        record: &AttemptRecord,
        observations: &Observations,
    ) -> Vec<u64> {
        let submissions = observations.submissions.iter();
        let explaining = submissions
            .filter(|s| s.may_be_in_force())
            .filter(|s| self.is_explained_by(&s.configuration, &record.attempt));
        explaining.map(|s| s.configuration.version).collect()
    }
}

/// Whether a configuration admits a request.
pub(super) fn admits(configuration: &Configuration, attempt: &Attempt) -> bool {
    let Some(route) = configuration.route(&attempt.host, &attempt.path) else {
        return false;
    };
    route.public
        || configuration.tenants.is_empty()
        || configuration.tenant_of(&attempt.key).is_some()
}

/// Whether the request went to a machine in contact, and every configuration that may be in force admits it.
pub(super) fn is_certainly_admitted(record: &AttemptRecord, observations: &Observations) -> bool {
    let now = tokio::time::Instant::now();
    let bounds = &observations.bounds;
    if !observations.in_contact(record.attempt.node, record.sent_at, now) {
        return false;
    }
    let binding = observations.version_binding_at(record.sent_at, bounds.config_apply);
    let mut in_force = observations
        .submissions
        .iter()
        .filter(|s| s.may_be_in_force() && s.configuration.version >= binding);
    binding > 0 && in_force.all(|s| admits(&s.configuration, &record.attempt))
}
