//! A simulated day by seed: a deployment, faults and planned work at random moments, a final fault, and what must hold
//! after it.
//!
//! The faults stay within what the fleet must tolerate: at most one core machine is lost at a time, and counts as lost for
//! a while after its return. Any number of other machines may be lost, and all processes may end at once, since their disks
//! stay.
//!
//! | file | its job |
//! | --- | --- |
//! | `run` | plays a scenario and reports what was found |
//! | `probes` | requests that show which configuration a node goes by |
//! | `hot_tenants` | tenants far above their limits, which change |
//! | `recovery` | the final fault, and the checks after it |
//!
//! The faults themselves are in [`crate::faults`].

mod hot_tenants;
mod probes;
mod recovery;
mod run;

pub(crate) use run::{CATCH_UP, ScenarioRun};
pub use run::{Report, play};

use crate::cluster::ClusterSettings;
use crate::configuration::Quota;
use crate::faults::FaultSchedule;
use crate::monitor::Bounds;
use fastrand::Rng;
use std::time::Duration;

/// Separates the random numbers that draw a scenario from those of its cluster with the same seed.
const DRAW_SEED: u64 = 0xda75;

/// Separates the random numbers that draw hot tenants from all others of the same seed.
const HOT_TENANTS_SEED: u64 = 0x4074;

/// Separates the random numbers that draw faults beside departures from all others of the same seed.
const DEPARTURES_SEED: u64 = 0xde9a;

/// What happens to the whole fleet at the end of the faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalFault {
    /// Nothing.
    None,
    /// All machines lose power.
    PowerOffAll,
    /// All processes are killed.
    KillAll,
    /// A core machine loses its disk, and all machines lose power.
    WipeOneOthersLosePower,
}

/// The plan of a simulated day.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The seed that it was drawn from.
    pub seed: u64,
    /// The deployment.
    pub settings: ClusterSettings,
    /// Which faults happen, and when.
    pub faults: FaultSchedule,
    /// The final fault.
    pub final_fault: FinalFault,
    /// Tenants with limits that ask for more than they may.
    pub hot_tenants: Vec<HotTenant>,
    /// Its trace contains each request.
    pub verbose: bool,
}

/// A tenant with a limit that asks for more than it may.
#[derive(Clone, Debug, PartialEq)]
pub struct HotTenant {
    /// Its name, and that of its key.
    pub name: String,
    /// Its limit at the beginning of the day.
    pub quota: Quota,
    /// How many times its rate it asks for.
    pub times: f64,
    /// How often each of its clients comes back.
    pub retries: u32,
}

/// Total time limit of a version where the rules are strictest, as a multiple of that within one stretch.
const TOTAL_VERSION_RATIO: f64 = 1.5;
/// Time limit of a removed key where the rules are strictest: shorter than many partitions and freezes last.
const REVOKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Processor quota of a node where the rules are strictest: scarce while much happens, and enough on average.
const QUOTA_POLLS: u32 = 120;

/// A smaller scenario, as the arguments of [`Scenario::restricted_to`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Restriction {
    /// Indices of the faults that remain.
    pub faults: Vec<usize>,
    /// The final fault remains.
    pub final_fault: bool,
}

impl Scenario {
    /// Draws a scenario. The same seed gives the same one.
    pub fn from_seed(seed: u64) -> Scenario {
        let mut rng = Rng::with_seed(seed ^ DRAW_SEED);
        let settings = draw_settings(seed, &mut rng);
        let faults = FaultSchedule::draw(&mut rng);
        let final_fault = match rng.u8(..6) {
            0 => FinalFault::PowerOffAll,
            1 => FinalFault::KillAll,
            2 => FinalFault::WipeOneOthersLosePower,
            _ => FinalFault::None,
        };
        Scenario {
            seed,
            settings,
            faults,
            final_fault,
            hot_tenants: Vec::new(),
            verbose: false,
        }
    }

    /// The same scenario with only the faults at these indices, and the final fault only if asked for.
    pub fn restricted_to(mut self, faults: &[usize], final_fault: bool) -> Scenario {
        self.faults = self.faults.restricted_to(faults);
        if !final_fault {
            self.final_fault = FinalFault::None;
        }
        self
    }

    /// The same scenario where the rules are strictest: removed keys bind every node, stable stretches of a version's time
    /// limit add up, servers check no fencing tokens; in every other scenario each node has a processor quota. No other
    /// draw changes, so that a seed means the same faults.
    pub fn under_strictest_rules(mut self) -> Scenario {
        let bounds = self.settings.bounds;
        self.settings = self.settings.bounds(Bounds {
            strict_revocation: true,
            revoke_timeout: REVOKE_TIMEOUT,
            version_all: bounds.version.mul_f64(TOTAL_VERSION_RATIO),
            fencing: false,
            ..bounds
        });
        if self.seed.is_multiple_of(2) {
            self.settings = self.settings.processor_polls(Some(QUOTA_POLLS));
        }
        self
    }

    /// The same scenario with tenants that ask for many times their limits, which change during the day and hold without
    /// overage or grace. No other draw of the scenario changes.
    pub fn with_hot_tenants(mut self) -> Scenario {
        let mut rng = Rng::with_seed(self.seed ^ HOT_TENANTS_SEED);
        let count = rng.usize(2..4);
        self.hot_tenants = (0..count).map(|n| draw_hot_tenant(n, &mut rng)).collect();
        self.settings = self.settings.bounds(Bounds {
            quota_overage: 0.0,
            quota_grace: 0.0,
            ..self.settings.bounds
        });
        self
    }

    /// The same scenario with more faults: of nodes, right beside servers that leave, and of servers that break off failures.
    /// No other draw changes.
    pub fn with_departures(mut self) -> Scenario {
        let mut rng = Rng::with_seed(self.seed ^ DEPARTURES_SEED);
        self.faults = self.faults.with_departures(&mut rng);
        self
    }

    /// A smaller scenario for which `still_fails` is true. Every fault is left out that can be, one after the other, the
    /// last first.
    pub fn shrink(&self, still_fails: impl Fn(&Scenario) -> bool) -> Restriction {
        let fails = |faults: &[usize], final_fault: bool| {
            still_fails(&self.clone().restricted_to(faults, final_fault))
        };
        let mut remaining: Vec<usize> = (0..self.faults.len()).collect();
        let final_fault = !fails(&remaining, false);
        for index in (0..self.faults.len()).rev() {
            let fewer: Vec<usize> = remaining.iter().copied().filter(|i| *i != index).collect();
            if fails(&fewer, final_fault) {
                remaining = fewer;
            }
        }
        Restriction {
            faults: remaining,
            final_fault,
        }
    }

    /// The deployment and the faults in one sentence.
    pub fn description(&self) -> String {
        let ClusterSettings {
            core_machines,
            edge_machines,
            servers,
            ..
        } = self.settings;
        let final_fault = match self.final_fault {
            FinalFault::None => String::new(),
            fault => format!(" and {fault:?}"),
        };
        format!(
            "given {core_machines} core machines, {edge_machines} others, {servers} servers, when {}{final_fault}",
            self.faults.description()
        )
    }
}

/// A limit small enough that the servers bear all limits together beside the other clients.
fn draw_quota(rng: &mut Rng) -> Quota {
    let rate_per_s = [1, 2, 4, 6][rng.usize(..4)];
    Quota {
        rate_per_s,
        burst_size: rate_per_s * rng.u32(0..5),
    }
}

fn draw_hot_tenant(number: usize, rng: &mut Rng) -> HotTenant {
    HotTenant {
        name: format!("hot-{number}"),
        quota: draw_quota(rng),
        times: [3.0, 10.0, 40.0][rng.usize(..3)],
        retries: rng.u32(0..3),
    }
}

fn draw_settings(seed: u64, rng: &mut Rng) -> ClusterSettings {
    let settings = ClusterSettings {
        core_machines: if rng.u8(..5) == 0 { 5 } else { 3 },
        edge_machines: rng.usize(1..6),
        servers: rng.usize(3..7),
        slots: rng.u32(3..17),
        write_delay: Duration::from_millis([1, 2, 6, 30][rng.usize(..4)]),
        cross_zone_delay: Duration::from_millis(rng.u64(2..5)),
        load_time: Duration::from_millis([600, 1_500][rng.usize(..2)]),
        ..ClusterSettings::with_seed(seed)
    };
    settings.bounds(Bounds {
        fencing: rng.bool(),
        budget_slack: if rng.bool() { 8.0 } else { 64.0 },
        ..settings.bounds
    })
}
