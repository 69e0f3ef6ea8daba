//! Which faults happen in a scenario, and when.

use super::{ALL, BESIDE_DEPARTURES, Fault, THEMES};
use fastrand::Rng;
use std::fmt;
use std::time::Duration;

/// Faults begin within so many ms; then comes the final fault, or a time without any.
const LENGTH_MS: u64 = 16_000;
/// A fault that follows closely on another one begins within so many ms.
const CLOSE_MS: u64 = 400;

/// A fault, and when it begins.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct ScheduledFault {
    /// Time since the start, in whole ms.
    pub begins_after: Duration,
    /// What happens.
    pub fault: Fault,
}

impl fmt::Debug for ScheduledFault {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        (self.begins_after.as_millis(), self.fault).fmt(formatter)
    }
}

/// The faults of a scenario in the order in which they begin.
#[derive(Clone, Default)]
pub struct FaultSchedule(Vec<ScheduledFault>);

impl fmt::Debug for FaultSchedule {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FaultSchedule {
    /// Half of the schedules draw from all faults, the others from one theme. A third of the faults follow closely on
    /// another one.
    pub fn draw(rng: &mut Rng) -> FaultSchedule {
        let kinds = if rng.bool() {
            ALL
        } else {
            THEMES[rng.usize(..THEMES.len())]
        };
        let mut faults: Vec<ScheduledFault> = Vec::new();
        let mut begins_ms = 0;
        for _ in 0..rng.usize(3..9) {
            begins_ms = if rng.u8(..3) == 0 {
                begins_ms + rng.u64(..CLOSE_MS)
            } else {
                rng.u64(..LENGTH_MS)
            };
            faults.push(ScheduledFault {
                begins_after: Duration::from_millis(begins_ms),
                fault: kinds[rng.usize(..kinds.len())],
            });
        }
        faults.sort_by_key(|scheduled| scheduled.begins_after);
        FaultSchedule(faults)
    }

    /// The same with one to three faults beside departures.
    pub(crate) fn with_departures(mut self, rng: &mut Rng) -> FaultSchedule {
        for _ in 0..rng.usize(1..4) {
            self.0.push(ScheduledFault {
                begins_after: Duration::from_millis(rng.u64(..LENGTH_MS)),
                fault: BESIDE_DEPARTURES[rng.usize(..BESIDE_DEPARTURES.len())],
            });
        }
        self.0.sort_by_key(|scheduled| scheduled.begins_after);
        self
    }

    /// Number of faults.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The faults in the order in which they begin.
    pub fn iter(&self) -> impl Iterator<Item = &ScheduledFault> {
        self.0.iter()
    }

    /// Only the faults at these indices.
    pub(crate) fn restricted_to(&self, indices: &[usize]) -> FaultSchedule {
        let faults = indices.iter().filter_map(|index| self.0.get(*index));
        FaultSchedule(faults.copied().collect())
    }

    /// The faults with their times, as an enumeration.
    pub(crate) fn description(&self) -> String {
        let faults = self.0.iter().map(|scheduled| {
            let seconds = scheduled.begins_after.as_secs_f64();
            format!("{:?} after {seconds:.1} s", scheduled.fault)
        });
        faults.collect::<Vec<_>>().join(", ")
    }
}
