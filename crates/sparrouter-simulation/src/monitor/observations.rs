//! What was observed so far: faults, requests, configurations, weights, drains. The checkers read it, the monitor alone
//! changes it.

use super::bounds::Bounds;
use super::event::{Attempt, RolloutCommand, Run, SubmissionId};
use super::fault_timeline::FaultTimeline;
use crate::configuration::Configuration;
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use tokio::time::Instant;

/// A configuration that was submitted.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The configuration that is in force once it is accepted.
    pub configuration: Configuration,
    /// Version that it replaces.
    pub base: u64,
    /// Whether it may be accepted at all.
    pub is_valid: bool,
    /// When a node acknowledged it.
    pub acknowledged_at: Option<Instant>,
    /// It was rejected, and no equal one was accepted.
    pub is_rejected: bool,
    /// What was sent, to recognise it when it is sent again.
    pub body: String,
}

impl Submission {
    /// Whether it may be in force, as far as its submission tells.
    pub fn may_be_in_force(&self) -> bool {
        self.is_valid && !self.is_rejected
    }
}

/// An attempt of a client, and what became of it.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// Its attempt id.
    pub id: String,
    /// The request.
    pub attempt: Attempt,
    /// When it was sent.
    pub sent_at: Instant,
    /// Numbers of its runs at servers, in the order in which they began.
    pub runs: Vec<u64>,
}

/// A version of the weights that was acknowledged.
#[derive(Clone, Copy, Debug)]
pub struct WeightsVersion {
    /// The version.
    pub version: u64,
    /// When it was acknowledged.
    pub acknowledged_at: Instant,
}

/// Everything observed so far.
#[derive(Debug)]
pub struct Observations {
    /// Figures of the rules.
    pub bounds: Bounds,
    /// When the run began.
    pub started_at: Instant,
    /// Faults of machines and of the core.
    pub faults: FaultTimeline,
    /// Attempts of clients by their ids.
    pub attempts: BTreeMap<String, AttemptRecord>,
    /// Runs at servers; the index is a run's number.
    pub runs: Vec<Run>,
    /// Runs whose outcome is a fault of the server.
    pub faulty_runs: BTreeSet<u64>,
    /// Configurations in the order of their submission.
    pub submissions: Vec<Submission>,
    /// Weights in the order of their acknowledgement.
    pub weights: Vec<WeightsVersion>,
    /// When the drain or the removal of a server was first acknowledged.
    pub drains: BTreeMap<String, Instant>,
    /// Rollout commands by server, in the order of their arrival; without those of machines that have just resumed.
    pub commands: BTreeMap<String, Vec<RolloutCommand>>,
    /// How often each server loaded each version of the weights.
    pub loads: BTreeMap<(String, u64), u32>,
    /// Machines on which a process has run.
    pub machines: BTreeSet<IpAddr>,
    /// When machines last resumed after a freeze or a partition.
    pub(super) resumed: BTreeMap<IpAddr, Instant>,
}

impl Observations {
    pub(super) fn new(bounds: Bounds, started_at: Instant) -> Observations {
        Observations {
            bounds,
            started_at,
            faults: FaultTimeline::default(),
            attempts: BTreeMap::new(),
            runs: Vec::new(),
            faulty_runs: BTreeSet::new(),
            submissions: Vec::new(),
            weights: Vec::new(),
            drains: BTreeMap::new(),
            commands: BTreeMap::new(),
            loads: BTreeMap::new(),
            machines: BTreeSet::new(),
            resumed: BTreeMap::new(),
        }
    }

    /// `bounds.contact` before this moment, but not before the start.
    fn contact_before(&self, moment: Instant) -> Instant {
        moment
            .checked_sub(self.bounds.contact)
            .unwrap_or(self.started_at)
    }

    /// Whether a machine was in contact throughout a period, and for `bounds.contact` before it.
    pub fn in_contact(&self, ip: IpAddr, from: Instant, until: Instant) -> bool {
        !self.faults.affects(ip, self.contact_before(from), until)
    }

    /// Whether the core was stable throughout a period, and for `bounds.contact` before it.
    pub fn core_stable(&self, from: Instant, until: Instant) -> bool {
        !self.faults.affects_core(self.contact_before(from), until)
    }

    /// Whether nothing but planned shutdowns happened from `bounds.contact` before a moment until now.
    pub fn no_unplanned_fault_since(&self, moment: Instant) -> bool {
        let from = moment.checked_sub(self.bounds.contact).unwrap_or(moment);
        !self.faults.any_unplanned(from, Instant::now())
    }

    /// Whether any of these runs was spoilt by a fault of its server.
    pub fn any_faulty(&self, runs: &[u64]) -> bool {
        runs.iter().any(|run| self.faulty_runs.contains(run))
    }

    /// The submission with this id.
    pub fn submission(&self, id: SubmissionId) -> &Submission {
        &self.submissions[id.0]
    }

    /// Version of the newest configuration that was acknowledged more than `age` before `moment`; 0: none.
    pub fn version_binding_at(&self, moment: Instant, age: std::time::Duration) -> u64 {
        let binds = |submission: &&Submission| {
            submission
                .acknowledged_at
                .is_some_and(|acknowledged_at| acknowledged_at + age < moment)
        };
        let binding = self.submissions.iter().filter(binds);
        binding.map(|s| s.configuration.version).max().unwrap_or(0)
    }

    /// The first moment by which every machine has been in contact `age` after `acknowledged_at`, or later; `None` as
    /// long as one has not.
    pub fn reached_all_at(
        &self,
        acknowledged_at: Instant,
        age: std::time::Duration,
    ) -> Option<Instant> {
        let (from, now) = (acknowledged_at + age, Instant::now());
        let contact = self.bounds.contact;
        let moments = self
            .machines
            .iter()
            .map(|ip| self.faults.first_in_contact(*ip, from, now, contact));
        let moments: Option<Vec<Instant>> = moments.collect();
        let last = moments?.into_iter().max().unwrap_or(from);
        (last <= now).then_some(last)
    }

    /// The newest configuration that was acknowledged.
    pub fn newest_acknowledged(&self) -> Option<&Submission> {
        self.submissions
            .iter()
            .filter(|s| s.acknowledged_at.is_some())
            .max_by_key(|s| s.configuration.version)
    }

    /// The rollout command that any server received last.
    pub fn last_command(&self) -> Option<&RolloutCommand> {
        self.commands
            .values()
            .filter_map(|commands| commands.last())
            .max_by_key(|command| command.received_at)
    }
}
