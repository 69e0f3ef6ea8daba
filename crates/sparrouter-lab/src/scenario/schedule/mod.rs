//! Faults as single actions on single stand-ins, drawn ahead from the seed.
mod action;
mod builder;
mod nodes;
mod servers;

use super::{Before, Scenario};
use crate::Nanos;
pub use action::{Action, LinkConditions, Listed};
use builder::ScheduleBuilder;
use serde::Serialize;

/// One action and its time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Step {
    /// Since the first arrival.
    pub at: Nanos,
    /// What is done.
    pub act: Action,
}

/// All actions of a scenario's faults, and the cache servers that they need.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// By time; those of one time in the order drawn.
    pub steps: Vec<Step>,
    /// How many cache servers ever exist; the first `caches.count` run from the beginning.
    pub caches: usize,
    /// By cache server: the work of a core as a multiple of the yardstick that `work_ms` is in.
    pub speeds: Vec<f64>,
}

/// What the links before a group do when nothing is wrong.
pub fn base(s: &Scenario, before: Before) -> LinkConditions {
    let link = s.link.iter().find(|link| link.before == before);
    link.map_or(LinkConditions::default(), |link| LinkConditions {
        delay_ms: link.delay_ms,
        jitter_ms: link.jitter_ms,
        ..LinkConditions::default()
    })
}

/// Draws the schedule of a scenario's faults; one seed always gives the same schedule.
///
/// Faults are drawn in the order of their beginnings, so that each acts on the fleet that the earlier ones leave.
pub fn draw(s: &Scenario) -> Schedule {
    let mut builder = ScheduleBuilder::new(s);
    let mut faults: Vec<_> = s.fault.iter().collect();
    faults.sort_by(|a, b| a.span().0.total_cmp(&b.span().0));
    for fault in faults {
        builder.add_fault(fault);
    }
    builder.finish()
}
