//! What is reported to the monitor, and what others ask it.

use super::Monitor;
use super::event::{Arrival, Attempt, ClientResponse, Event, RolloutCommand, Run, SubmissionId};
use super::fault_timeline::FaultScope;
use super::observations::{AttemptRecord, Submission, WeightsVersion};
use crate::configuration::Configuration;
use crate::history::OrderCall;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::time::Instant;

/// A process that was asked to end still counts as ending for so long beyond its grace period.
const SHUTDOWN_SLACK: Duration = Duration::from_secs(1);

/// Reports of clients and servers.
impl Monitor {
    /// A client sent a request.
    pub fn attempt_sent(&self, attempt_id: &str, attempt: &Attempt) {
        self.trace_detail(|| format!("{attempt_id} goes to {} for {}", attempt.node, attempt.path));
        let record = AttemptRecord {
            id: attempt_id.to_owned(),
            attempt: attempt.clone(),
            sent_at: Instant::now(),
            runs: Vec::new(),
        };
        self.observations
            .borrow_mut()
            .attempts
            .insert(attempt_id.to_owned(), record);
        self.notify(Event::AttemptSent(attempt));
    }

    /// A request reached a server, which may still decline it.
    pub fn request_arrived(&self, service: &str, attempt_id: &str, server: &str, node: IpAddr) {
        self.trace_detail(|| format!("{attempt_id} reaches {server} from {node}"));
        self.notify(Event::RequestArrived(&Arrival {
            service,
            attempt_id,
            server,
            node,
        }));
    }

    /// A server began to work on a request. Returns the number of the run, which its response names.
    pub fn run_started(&self, run: &Run) -> u64 {
        self.trace_detail(|| {
            format!(
                "{} runs at {} ({})",
                run.attempt_id, run.server, run.service
            )
        });
        let number = {
            let mut observations = self.observations.borrow_mut();
            let number = observations.runs.len() as u64;
            observations.runs.push(run.clone());
            if let Some(record) = observations.attempts.get_mut(&run.attempt_id) {
                record.runs.push(number);
            }
            number
        };
        self.notify(Event::RunStarted(run));
        number
    }

    /// The outcome of this run is the server's own fault.
    pub fn server_faulted(&self, run: u64) {
        self.observations.borrow_mut().faulty_runs.insert(run);
    }

    /// A client received a response, or its attempt ended without one.
    pub fn response_received(&self, attempt_id: &str, response: &ClientResponse) {
        self.trace_detail(|| {
            format!(
                "{attempt_id} ends: {} complete {} {} bytes",
                response.status,
                response.is_complete,
                response.body.len()
            )
        });
        self.notify(Event::ResponseReceived {
            attempt_id,
            response,
        });
    }

    /// A node acknowledged that a server drains or was removed. It binds also where that node was not in contact.
    pub fn drain_acknowledged(&self, server: &str, node: SocketAddr) {
        self.trace(format!(
            "{} acknowledges that {server} drains or was removed",
            node.ip()
        ));
        self.observations
            .borrow_mut()
            .drains
            .entry(server.to_owned())
            .or_insert_with(Instant::now);
    }

    /// A server received a rollout command.
    pub fn command_received(
        &self,
        server: &str,
        lease_owner: &str,
        fencing_token: u64,
        node: IpAddr,
    ) {
        self.trace(format!(
            "{lease_owner} commands {server} under {fencing_token}"
        ));
        let command = RolloutCommand {
            server: server.to_owned(),
            lease_owner: lease_owner.to_owned(),
            fencing_token,
            received_at: Instant::now(),
        };
        {
            let mut observations = self.observations.borrow_mut();
            let resumed_at = observations.resumed.get(&node);
            if resumed_at.is_some_and(|at| at.elapsed() <= self.bounds.thaw) {
                return;
            }
            observations
                .commands
                .entry(server.to_owned())
                .or_default()
                .push(command.clone());
        }
        self.notify(Event::CommandReceived(&command));
    }

    /// A server began to load weights.
    pub fn load_started(&self, server: &str, version: u64) {
        self.trace(format!("{server} loads weights {version}"));
        let mut observations = self.observations.borrow_mut();
        let key = (server.to_owned(), version);
        *observations.loads.entry(key).or_default() += 1;
    }
}

/// Reports of the operator.
impl Monitor {
    /// The operator submits a configuration with PUT, for the first time or again. Its calls are not recorded one by
    /// one: for the history it may take effect at any later moment.
    pub fn configuration_submitted(
        &self,
        configuration: &Configuration,
        base: u64,
        is_valid: bool,
    ) -> SubmissionId {
        let document = configuration.json();
        self.history.borrow_mut().order_invoked(OrderCall {
            base,
            number: configuration.version,
            request: format!("PUT {document}"),
            document: document.clone(),
            is_valid,
        });
        self.submit(configuration, base, is_valid, document)
    }

    /// The operator submits a configuration with this body: a PATCH, or an invalid one.
    pub fn submit(
        &self,
        configuration: &Configuration,
        base: u64,
        is_valid: bool,
        body: String,
    ) -> SubmissionId {
        self.trace(format!(
            "operator sends {} on {base}{}",
            configuration.version,
            if is_valid { "" } else { ", invalid" }
        ));
        let mut observations = self.observations.borrow_mut();
        observations.submissions.push(Submission {
            configuration: configuration.clone(),
            base,
            is_valid,
            acknowledged_at: None,
            is_rejected: false,
            body,
        });
        SubmissionId(observations.submissions.len() - 1)
    }

    /// A node acknowledged a configuration.
    pub fn configuration_acknowledged(&self, id: SubmissionId) {
        let version = {
            let mut observations = self.observations.borrow_mut();
            let submission = &mut observations.submissions[id.0];
            if submission.acknowledged_at.is_some() {
                return;
            }
            submission.acknowledged_at = Some(Instant::now());
            submission.configuration.version
        };
        self.trace(format!("config {version} is acknowledged"));
        self.notify(Event::ConfigurationAcknowledged(id));
    }

    /// A node rejected a configuration.
    pub fn configuration_rejected(&self, id: SubmissionId, status: u16) {
        let version = {
            let mut observations = self.observations.borrow_mut();
            let submission = observations.submission(id);
            let version = submission.configuration.version;
            let is_accepted = observations.submissions.iter().any(|other| {
                other.acknowledged_at.is_some()
                    && other.base == submission.base
                    && other.body == submission.body
            });
            observations.submissions[id.0].is_rejected = !is_accepted;
            version
        };
        self.trace(format!("config {version} is rejected with {status}"));
        self.notify(Event::ConfigurationRejected {
            submission: id,
            status,
        });
    }

    /// The operator read the configuration back at the end. `status` is 0 without a response.
    pub fn configuration_read(&self, status: u16, text: &str) {
        self.notify(Event::ConfigurationRead { status, text });
    }

    /// New weights were acknowledged.
    pub fn weights_acknowledged(&self, version: u64) {
        self.trace(format!("weights {version} are named and acknowledged"));
        self.observations.borrow_mut().weights.push(WeightsVersion {
            version,
            acknowledged_at: Instant::now(),
        });
    }
}

/// Reports of faults.
impl Monitor {
    /// A fault begins.
    pub fn fault_began(&self, scope: FaultScope) {
        self.observations.borrow_mut().faults.fault_began(scope);
    }

    /// The oldest fault of this scope ends; others go on.
    pub fn fault_ended(&self, scope: FaultScope) {
        self.observations.borrow_mut().faults.fault_ended(scope);
    }

    /// A fault of a moment.
    pub fn momentary_fault(&self, scope: FaultScope) {
        self.observations.borrow_mut().faults.momentary_fault(scope);
    }

    /// No process runs on a machine.
    pub fn process_stopped(&self, ip: IpAddr) {
        self.observations.borrow_mut().faults.process_stopped(ip);
    }

    /// A process runs on a machine again.
    pub fn process_started(&self, ip: IpAddr) {
        let mut observations = self.observations.borrow_mut();
        observations.machines.insert(ip);
        observations.faults.process_started(ip);
    }

    /// A process was asked to end: what it accepted is to be answered.
    pub fn shutdown_requested(&self, ip: IpAddr) {
        let duration = self.bounds.grace + SHUTDOWN_SLACK;
        self.observations
            .borrow_mut()
            .faults
            .shutdown_requested(ip, duration);
    }

    /// A machine resumed after a freeze or a partition. Its commands are not checked for a moment.
    pub fn resumed(&self, ip: IpAddr) {
        let mut observations = self.observations.borrow_mut();
        observations.resumed.insert(ip, Instant::now());
    }
}

/// Queries.
impl Monitor {
    /// Whether a machine was in contact throughout a period, and for `bounds.contact` before it.
    pub fn in_contact(&self, ip: IpAddr, from: Instant, until: Instant) -> bool {
        self.observations.borrow().in_contact(ip, from, until)
    }

    /// Whether the core was stable throughout a period, and for `bounds.contact` before it.
    pub fn core_stable(&self, from: Instant, until: Instant) -> bool {
        self.observations.borrow().core_stable(from, until)
    }

    /// Whether anything but a planned shutdown happened in a period.
    pub(crate) fn any_unplanned_fault(&self, from: Instant, until: Instant) -> bool {
        self.observations.borrow().faults.any_unplanned(from, until)
    }

    /// Whether a machine, the links to it or its disk have a fault now, or had one since this moment.
    pub(crate) fn is_impaired_since(&self, ip: IpAddr, from: Instant) -> bool {
        let observations = self.observations.borrow();
        observations
            .faults
            .impairs_machine(ip, from, Instant::now())
    }

    /// The newest configuration that was acknowledged.
    pub fn newest_acknowledged(&self) -> Option<Submission> {
        self.observations.borrow().newest_acknowledged().cloned()
    }

    /// The last valid configurations that were submitted, accepted or not; the newest first.
    pub fn last_submitted(&self, count: usize) -> Vec<Configuration> {
        let observations = self.observations.borrow();
        let valid = observations.submissions.iter().rev().filter(|s| s.is_valid);
        valid.take(count).map(|s| s.configuration.clone()).collect()
    }

    /// The rollout command that any server received last.
    pub fn last_command(&self) -> Option<RolloutCommand> {
        self.observations.borrow().last_command().cloned()
    }

    /// The rollout commands that each server received, by its id and in the order of their arrival; without those of
    /// machines that had just resumed.
    pub fn rollout_commands(&self) -> BTreeMap<String, Vec<RolloutCommand>> {
        self.observations.borrow().commands.clone()
    }

    /// Owner of the rollout lease that sent the last command.
    pub fn last_lease_owner(&self) -> Option<String> {
        self.last_command().map(|command| command.lease_owner)
    }

    /// How often each server loaded each version of the weights.
    pub fn load_counts(&self) -> BTreeMap<(String, u64), u32> {
        self.observations.borrow().loads.clone()
    }
}
