//! Requests as clients sent them and as servers ran them.
use super::Monitor;
use super::orders::Submission;
use crate::configuration::{Configuration, RouteKind};
use bytes::Bytes;
use std::collections::BTreeMap;
use std::net::IpAddr;
use tokio::time::Instant;

/// One try of a client, with its own id.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub method: String,
    pub host: String,
    pub path: String,
    pub body: Bytes,
    pub key: String,
    pub kind: RouteKind,
    /// Whom the client sent it to, and which life of it.
    pub node: IpAddr,
    pub incarnation: u64,
    /// When it gives up.
    pub until: Instant,
    /// It was sent on a connection that had carried another request before.
    pub kept: bool,
}

/// A server began to work on a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub service: String,
    pub instance: String,
    pub by: IpAddr,
    pub method: String,
    pub path: String,
    pub body: Bytes,
    pub tenant: Option<String>,
    pub key: Option<String>,
    /// Of the weights it runs on.
    pub version: u64,
    /// Who made the memory that it uses of each part of its prompt.
    pub cached_blocks: Vec<CachedBlock>,
    /// The event it goes on from.
    pub resumed: u64,
}

/// The run that first read a part of a prompt: whose, and on which weights.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CachedBlock {
    pub version: u64,
    pub tenant: Option<String>,
}

pub(super) struct AttemptRecord {
    pub attempt: Attempt,
    pub sent: Instant,
    pub runs: Vec<u64>,
    /// It was promised that it has not run and won't.
    pub promised: Option<u16>,
}

#[derive(Default)]
pub(super) struct Requests {
    pub attempts: BTreeMap<String, AttemptRecord>,
    pub runs: Vec<Run>,
    pub server_faulted: Vec<u64>,
    pub prices: Prices,
    /// Of each life of a node, the newest version whose effect was seen, and when.
    seen: BTreeMap<(IpAddr, u64), (u64, Instant)>,
}

/// Counts over the day of requests that every configuration which may be in force allows, at machines in touch.
#[derive(Default)]
pub(super) struct Prices {
    /// All requests, proper or not.
    pub all: u32,
    pub denied: u32,
    /// Asked and served in calm times: on the first routes, and on those that were added later.
    pub first: (u32, u32),
    pub added: (u32, u32),
    /// Requests from kept connections that ran at a server without a fault and got no answer.
    pub unanswered: u32,
}

/// How a request was handled.
#[derive(Clone, Copy, Debug)]
pub(super) enum Handled<'a> {
    Ran {
        service: &'a str,
        tenant: Option<&'a str>,
    },
    Refused(u16),
}

/// Whether a configuration lets this request in.
pub(super) fn allows(configuration: &Configuration, asked: &Attempt) -> bool {
    let open = |public: bool| {
        public || configuration.tenants.is_empty() || configuration.tenant_of(&asked.key).is_some()
    };
    configuration
        .route(&asked.host, &asked.path)
        .is_some_and(|r| open(r.public))
}

impl Handled<'_> {
    fn fits(&self, configuration: &Configuration, asked: &Attempt) -> bool {
        let route = configuration.route(&asked.host, &asked.path);
        let open = |public: bool| public || configuration.tenants.is_empty();
        let tenant = configuration.tenant_of(&asked.key).map(|t| t.name.as_str());
        match (self, route) {
            (
                Handled::Ran {
                    service,
                    tenant: told,
                },
                Some(route),
            ) => {
                route.service == *service
                    && (open(route.public) || (tenant.is_some() && tenant == *told))
            }
            (Handled::Ran { .. }, None) => false,
            (Handled::Refused(404), route) => route.is_none(),
            (Handled::Refused(_), Some(route)) => !open(route.public) && tenant.is_none(),
            (Handled::Refused(_), None) => false,
        }
    }
}

impl Monitor {
    pub fn attempt_sent(&self, attempt: &str, asked: Attempt) {
        self.trace_detail(|| format!("{attempt} goes to {} for {}", asked.node, asked.path));
        let services: Vec<String> = {
            let orders = self.orders.borrow();
            let service = |s: &Submission| {
                s.configuration
                    .route(&asked.host, &asked.path)
                    .map(|r| r.service.clone())
            };
            let mut services: Vec<String> = orders.sent.iter().filter_map(service).collect();
            services.sort_unstable();
            services.dedup();
            services
        };
        services.iter().for_each(|s| self.requested(s));
        let attempt_of = AttemptRecord {
            attempt: asked,
            sent: Instant::now(),
            runs: Vec::new(),
            promised: None,
        };
        self.requests
            .borrow_mut()
            .attempts
            .insert(attempt.to_owned(), attempt_of);
    }

    /// Gives back the number of the run, which its answer names.
    pub fn run_started(&self, run: Run) -> u64 {
        self.trace_detail(|| format!("{} runs at {} ({})", run.attempt, run.instance, run.service));
        let now = Instant::now();
        let number = {
            let mut requests = self.requests.borrow_mut();
            requests.runs.push(run.clone());
            let number = requests.runs.len() as u64 - 1;
            if let Some(attempt) = requests.attempts.get_mut(&run.attempt) {
                attempt.runs.push(number);
            }
            number
        };
        let known = self
            .requests
            .borrow()
            .attempts
            .get(&run.attempt)
            .map(|a| (a.attempt.clone(), a.sent, a.runs.len(), a.promised));
        let Some((asked, sent, runs, promised)) = known else {
            self.report_violation(
                "UNASKED",
                format!("{} ran {}, which nobody sent", run.instance, run.attempt),
            );
            return number;
        };
        if (&run.method, &run.path, &run.body) != (&asked.method, &asked.path, &asked.body) {
            self.report_violation(
                "UNASKED",
                format!(
                    "{} was changed on its way: {} {}",
                    run.attempt, run.method, run.path
                ),
            );
        }
        if run.key.is_some() {
            self.report_violation(
                "UNASKED",
                format!("the key of {} was shown to {}", run.attempt, run.instance),
            );
        }
        if runs > 1 && !asked.kind.is_retryable() {
            self.report_violation(
                "TWICE",
                format!("{} ran {runs} times, now at {}", run.attempt, run.instance),
            );
        }
        if let (Some(status), false) = (promised, asked.kind.is_retryable()) {
            self.report_violation(
                "REFUSED",
                format!("{} ran at {} after {status}", run.attempt, run.instance),
            );
        }
        self.check_tenant(&run, &asked);
        self.check_revocation(&run.attempt, &asked, sent);
        let handled = Handled::Ran {
            service: &run.service,
            tenant: run.tenant.as_deref(),
        };
        let allowed = self
            .orders
            .borrow()
            .sent
            .iter()
            .any(|s| handled.fits(&s.configuration, &asked));
        if !allowed {
            self.report_violation(
                "ROUTE",
                format!(
                    "{} of {} ran at {} as {:?}",
                    run.attempt, asked.path, run.service, run.tenant
                ),
            );
        } else {
            self.check_config(&run.attempt, &asked, sent, handled);
        }
        if let Some(made) = run.cached_blocks.iter().find(|m| m.version != run.version) {
            let what = format!(
                "{} runs on {} with memory of {}",
                run.attempt, run.version, made.version
            );
            self.report_violation("STALE", what);
        }
        self.check_wall(&run);
        self.check_version(&run, now);
        number
    }

    /// What becomes of this run is the server's own fault.
    pub fn server_faulted(&self, run: u64) {
        self.requests.borrow_mut().server_faulted.push(run);
    }

    fn check_tenant(&self, run: &Run, asked: &Attempt) {
        let Some(told) = &run.tenant else { return };
        let orders = self.orders.borrow();
        let holds = |s: &Submission| {
            s.configuration
                .tenant_of(&asked.key)
                .is_some_and(|t| t.name == *told)
        };
        if !orders.sent.iter().any(holds) {
            drop(orders);
            self.report_violation(
                "UNASKED",
                format!("{} ran as {told}, whose key it has not", run.attempt),
            );
        }
    }

    /// CONFIG, strict revocation: a key that was removed long enough before the request was sent lets nothing run, whichever
    /// machine took the request.
    fn check_revocation(&self, attempt: &str, asked: &Attempt, sent: Instant) {
        if !self.bounds.strict_revocation {
            return;
        }
        let orders = self.orders.borrow();
        let binds = |s: &&Submission| {
            s.acknowledged
                .is_some_and(|at| at + self.bounds.revoke_timeout < sent)
        };
        let binding = orders.sent.iter().filter(binds);
        let floor = binding.map(|s| s.configuration.version).max().unwrap_or(0);
        let may_be_in_force =
            |s: &&Submission| s.valid && !s.refused && s.configuration.version >= floor;
        let mut plans = orders
            .sent
            .iter()
            .filter(may_be_in_force)
            .map(|s| &s.configuration);
        let is_allowed = plans.any(|configuration| allows(configuration, asked));
        drop(orders);
        if !is_allowed {
            self.report_violation(
                "CONFIG",
                format!(
                    "{attempt} ran at {}, its key was taken away long before",
                    asked.node
                ),
            );
        }
    }

    /// WALL: what a tenant that is isolated made, or uses, is its own alone.
    fn check_wall(&self, run: &Run) {
        let orders = self.orders.borrow();
        let isolated = |name: &Option<String>| {
            let is = |s: &Submission| {
                s.configuration
                    .tenants
                    .iter()
                    .any(|t| t.isolated && Some(&t.name) == name.as_ref())
            };
            orders.sent.iter().any(is)
        };
        let other = |m: &&CachedBlock| {
            m.tenant != run.tenant && (isolated(&m.tenant) || isolated(&run.tenant))
        };
        let Some(made) = run.cached_blocks.iter().find(other) else {
            return;
        };
        let what = format!(
            "{} of {:?} uses memory of {:?}",
            run.attempt, run.tenant, made.tenant
        );
        drop(orders);
        self.report_violation("WALL", what);
    }

    fn check_version(&self, run: &Run, now: Instant) {
        let named = self.orders.borrow().named.clone();
        if !self.in_contact(run.by, now, now) {
            return;
        }
        for (version, at) in named {
            let late = self
                .stable_since(at, now)
                .is_some_and(|since| now - since > self.bounds.version);
            let all = self.bounds.version_all;
            let late_in_all = !all.is_zero() && self.stable_total(at, now) > all;
            if run.version < version && (late || late_in_all) {
                let what = format!(
                    "{} begins on {} at {}, {version} is named",
                    run.attempt, run.version, run.instance
                );
                self.report_violation("VERSION", what);
            }
        }
    }

    /// CONFIG: some version that may be in force must allow what was done.
    pub(super) fn check_config(
        &self,
        attempt: &str,
        asked: &Attempt,
        sent: Instant,
        handled: Handled,
    ) {
        let now = Instant::now();
        let (floor, fitting) = {
            let orders = self.orders.borrow();
            let old = |s: &&Submission| {
                s.acknowledged
                    .is_some_and(|at| at + self.bounds.config_apply < sent)
            };
            let floor = orders
                .sent
                .iter()
                .filter(old)
                .map(|s| s.configuration.version)
                .max()
                .unwrap_or(0);
            let fits =
                |s: &&Submission| !s.refused && s.valid && handled.fits(&s.configuration, asked);
            let fitting: Vec<u64> = orders
                .sent
                .iter()
                .filter(fits)
                .map(|s| s.configuration.version)
                .collect();
            (floor, fitting)
        };
        // Before the first configuration there is nothing to refuse by.
        let none_yet = matches!(handled, Handled::Refused(_)) && floor == 0;
        let shown = format!(
            "{attempt} at {}: {handled:?} fits only {fitting:?}",
            asked.node
        );
        if fitting.is_empty() && !none_yet {
            return self.report_violation("CONFIG", format!("{shown}, which are not in force"));
        }
        if fitting.iter().all(|v| *v < floor) && !none_yet && self.in_contact(asked.node, sent, now)
        {
            return self.report_violation(
                "CONFIG",
                format!("{shown}, {floor} was acknowledged long before"),
            );
        }
        let incarnation = (asked.node, asked.incarnation);
        let mut requests = self.requests.borrow_mut();
        if let Some((version, at)) = requests.seen.get(&incarnation).copied()
            && sent > at + self.bounds.rollback_slack
            && !fitting.is_empty()
            && fitting.iter().all(|v| *v < version)
        {
            drop(requests);
            return self.report_violation(
                "CONFIG",
                format!("{shown}, the machine went by {version} before"),
            );
        }
        // Only what no older one explains shows a version's effect.
        if let Some(least) = fitting.iter().min().copied() {
            let seen = requests.seen.entry(incarnation).or_insert((least, now));
            if least > seen.0 {
                *seen = (least, now);
            }
        }
    }

    pub(super) fn check_drain(&self, instance: &str, attempt: &str, by: IpAddr) {
        let now = Instant::now();
        let at = self.orders.borrow().drains.get(instance).copied();
        if let Some(at) = at
            && now - at > self.bounds.drain_timeout
            && self.in_contact(by, now, now)
        {
            let what = format!(
                "{attempt} reaches {instance} {:?} after its draining was acknowledged",
                now - at
            );
            self.report_violation("DRAIN", what);
        }
    }
}
