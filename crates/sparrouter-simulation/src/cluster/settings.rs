//! How large a simulated deployment is, and how fast its parts are.

use crate::monitor::Bounds;
use std::time::Duration;

/// Size and speed of a deployment. Each field has a method of its name that sets it:
/// `ClusterSettings::with_seed(7).edge_machines(1).servers(2)`.
#[derive(Clone, Copy, Debug)]
pub struct ClusterSettings {
    /// Seed of all random draws.
    pub seed: u64,
    /// Machines that count toward the quorum, one a zone in turn.
    pub core_machines: usize,
    /// Other machines, one a zone in turn.
    pub edge_machines: usize,
    /// Model servers, one a zone in turn.
    pub servers: usize,
    /// Requests that each server runs at a time.
    pub slots: u32,
    /// Mean time between two heartbeats of a server.
    pub heartbeat: Duration,
    /// Figures of the rules.
    pub bounds: Bounds,
    /// One-way delay between zones, in whole ms; half of it within one.
    pub cross_zone_delay: Duration,
    /// How long a disk takes for a write.
    pub write_delay: Duration,
    /// How long a server takes to load new weights.
    pub load_time: Duration,
    /// Quota of each node: polls of its tasks in each tenth of a second; `None`: no quota. A machine that gets its share of
    /// a processor is sound, so this is no fault.
    pub processor_polls: Option<u32>,
    /// Memory of each machine in MB. The simulated machine does not enforce it.
    pub memory_mb: u64,
}

/// Defines a method for each field that sets it.
macro_rules! setters {
    ($($field:ident: $type:ty,)*) => {
        impl ClusterSettings {
            $(
                #[doc = concat!("The same with another value of `", stringify!($field), "`.")]
                pub fn $field(self, $field: $type) -> ClusterSettings {
                    ClusterSettings { $field, ..self }
                }
            )*
        }
    };
}

setters! {
    core_machines: usize,
    edge_machines: usize,
    servers: usize,
    slots: u32,
    heartbeat: Duration,
    bounds: Bounds,
    cross_zone_delay: Duration,
    write_delay: Duration,
    load_time: Duration,
    processor_polls: Option<u32>,
    memory_mb: u64,
}

impl ClusterSettings {
    /// Three core machines, three others, four servers.
    pub fn with_seed(seed: u64) -> ClusterSettings {
        ClusterSettings {
            seed,
            core_machines: 3,
            edge_machines: 3,
            servers: 4,
            slots: 16,
            heartbeat: Duration::from_millis(1_200),
            bounds: Bounds::default(),
            cross_zone_delay: Duration::from_millis(2),
            write_delay: Duration::from_millis(2),
            load_time: Duration::from_millis(600),
            processor_polls: None,
            memory_mb: 260,
        }
    }

    /// Three core machines, one other, one server: enough for tests of the control state.
    pub fn small(seed: u64) -> ClusterSettings {
        ClusterSettings::with_seed(seed).edge_machines(1).servers(1)
    }

    /// Core machines that may be lost at a time.
    pub fn tolerated_losses(&self) -> usize {
        self.core_machines.saturating_sub(1) / 2
    }
}
