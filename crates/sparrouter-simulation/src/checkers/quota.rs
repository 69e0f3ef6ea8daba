//! QUOTA: requests of a tenant that reach servers which run them, over any window and all machines, in contact or not,
//! against the tenant's limit.
//!
//! A request counts at the moment at which it arrives at the server, once for each time that it runs.

use super::{Checker, Context};
use crate::configuration::{Configuration, Quota};
use crate::monitor::{Arrival, AttemptRecord, Bounds, Observations, Run, Submission};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// A request may wait at a server for so long before it runs, so arrivals are kept as long.
const KEPT: Duration = Duration::from_secs(60);

/// The requests of a tenant that ran.
#[derive(Default)]
struct TenantRuns {
    /// When they arrived, in that order.
    arrivals: VecDeque<Instant>,
    /// End of the last window that was found too full; the next one that is reported begins later.
    reported_until: Option<Instant>,
}

impl TenantRuns {
    fn add(&mut self, arrived_at: Instant) {
        let position = self.arrivals.partition_point(|other| *other <= arrived_at);
        self.arrivals.insert(position, arrived_at);
        let now = Instant::now();
        while self.arrivals.front().is_some_and(|at| now - *at > KEPT) {
            self.arrivals.pop_front();
        }
    }

    /// The windows that begin with an arrival and hold this one: their beginnings and how many arrivals they hold.
    fn windows_around(&self, arrived_at: Instant, window: Duration) -> Vec<(Instant, usize)> {
        let begin_in_reach =
            |begin: &&Instant| **begin <= arrived_at && arrived_at - **begin <= window;
        let begins = self.arrivals.iter().enumerate();
        let begins = begins.filter(|(_, begin)| begin_in_reach(begin));
        begins
            .map(|(first, begin)| {
                let end = self.arrivals.partition_point(|at| *at <= *begin + window);
                (*begin, end - first)
            })
            .collect()
    }
}

/// See the module.
#[derive(Default)]
pub(super) struct QuotaChecker {
    /// When a request last arrived at a server, by attempt id and server.
    arrived: BTreeMap<(String, String), Instant>,
    tenants: BTreeMap<String, TenantRuns>,
    /// By submission: when every machine was in contact long enough after its acknowledgement.
    reached_all_at: Vec<Option<Instant>>,
}

/// The tenant that holds the key; where a key went from one tenant to another, the one that the node named.
fn tenant_of(record: &AttemptRecord, run: &Run, observations: &Observations) -> Option<String> {
    let submissions = observations.submissions.iter().rev();
    let possible = submissions.filter(|s| s.may_be_in_force());
    let holders = possible.filter_map(|s| s.configuration.tenant_of(&record.attempt.key));
    let holders: Vec<&str> = holders.map(|tenant| tenant.name.as_str()).collect();
    let named = run.tenant.as_deref().filter(|name| holders.contains(name));
    named.or(holders.first().copied()).map(str::to_owned)
}

/// The most requests in a window that a quota allows.
fn allowed_by(quota: Quota, bounds: &Bounds) -> f64 {
    let Quota {
        rate_per_s,
        burst_size,
    } = quota;
    let in_window = f64::from(rate_per_s) * bounds.quota_window.as_secs_f64();
    (in_window + f64::from(burst_size)) * (1.0 + bounds.quota_overage) + bounds.quota_grace
}

/// The most requests of a tenant in a window that a configuration allows; infinite without a limit, `None` if it has no
/// such tenant.
fn allowed_in(configuration: &Configuration, tenant: &str, bounds: &Bounds) -> Option<f64> {
    let tenant = configuration.tenants.iter().find(|t| t.name == tenant)?;
    let quota = tenant.quota.filter(|quota| quota.rate_per_s > 0);
    Some(quota.map_or(f64::INFINITY, |quota| allowed_by(quota, bounds)))
}

/// The least that any submitted configuration allows; infinite if none limits the tenant.
fn lowest_allowed(tenant: &str, observations: &Observations) -> f64 {
    let submissions = observations.submissions.iter();
    submissions
        .filter_map(|s| allowed_in(&s.configuration, tenant, &observations.bounds))
        .min_by(f64::total_cmp)
        .unwrap_or(f64::INFINITY)
}

impl QuotaChecker {
    /// Looks for configurations that have reached every machine since the last time; when they did follows from the faults,
    /// however late it is looked for.
    fn note_reached(&mut self, observations: &Observations) {
        let submissions = &observations.submissions;
        self.reached_all_at.resize(submissions.len(), None);
        for (reached, submission) in self.reached_all_at.iter_mut().zip(submissions) {
            if let (None, Some(acknowledged_at)) = (*reached, submission.acknowledged_at) {
                *reached =
                    observations.reached_all_at(acknowledged_at, observations.bounds.config_apply);
            }
        }
    }

    /// The most requests of a tenant in the window that begins at this moment: by the highest limit of those that may be
    /// in force. Those before a configuration may be in force for one window after it has reached every machine.
    fn allowed(&self, tenant: &str, begin: Instant, observations: &Observations) -> f64 {
        let window = observations.bounds.quota_window;
        let has_reached_all = |(reached, _): &(&Option<Instant>, &Submission)| {
            reached.is_some_and(|reached_at| reached_at + window <= begin)
        };
        let binding = self
            .reached_all_at
            .iter()
            .zip(&observations.submissions)
            .filter(has_reached_all)
            .map(|(_, submission)| submission.configuration.version)
            .max()
            .unwrap_or(0);
        let possible = observations
            .submissions
            .iter()
            .filter(|s| s.may_be_in_force() && s.configuration.version >= binding);
        possible
            .filter_map(|s| allowed_in(&s.configuration, tenant, &observations.bounds))
            .max_by(f64::total_cmp)
            // Where no configuration has the tenant, CONFIG is violated.
            .unwrap_or(f64::INFINITY)
    }

    /// Counts a run. Returns how a window is too full now, if one is.
    fn count(
        &mut self,
        tenant: &str,
        arrived_at: Instant,
        observations: &Observations,
    ) -> Option<String> {
        let window = observations.bounds.quota_window;
        let runs = self.tenants.entry(tenant.to_owned()).or_default();
        runs.add(arrived_at);
        let reported_until = runs.reported_until;
        let lowest = lowest_allowed(tenant, observations);
        // Most windows hold less than any configuration allows, and need no look at which of them may be in force.
        let mut windows = runs.windows_around(arrived_at, window);
        windows.retain(|(begin, count)| {
            *count as f64 > lowest && reported_until.is_none_or(|until| *begin > until)
        });
        if windows.is_empty() {
            return None;
        }
        self.note_reached(observations);
        let (begin, count, allowed) = windows
            .into_iter()
            .map(|(begin, count)| (begin, count, self.allowed(tenant, begin, observations)))
            .find(|(_, count, allowed)| *count as f64 > *allowed)?;
        if let Some(runs) = self.tenants.get_mut(tenant) {
            runs.reported_until = Some(begin + window);
        }
        let begin_s = (begin - observations.started_at).as_secs_f64();
        Some(format!(
            "tenant {tenant}: {count} requests ran in {window:?} from {begin_s:.3} s, {allowed:.1} are allowed"
        ))
    }
}

impl Checker for QuotaChecker {
    fn request_arrived(&mut self, arrival: &Arrival, _context: &mut Context) {
        let key = (arrival.attempt_id.to_owned(), arrival.server.to_owned());
        self.arrived.insert(key, Instant::now());
    }

    fn run_started(&mut self, run: &Run, record: &AttemptRecord, context: &mut Context) {
        let observations = context.observations;
        let key = (run.attempt_id.clone(), run.server.clone());
        let arrived_at = self.arrived.remove(&key).unwrap_or_else(Instant::now);
        if let Some(tenant) = tenant_of(record, run, observations)
            && let Some(excess) = self.count(&tenant, arrived_at, observations)
        {
            context.violated("QUOTA", excess);
        }
    }
}
