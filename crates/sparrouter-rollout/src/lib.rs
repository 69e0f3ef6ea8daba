//! Progressive delivery: changes the nodes of a fleet in stages, compares them with unchanged nodes, and rolls back a
//! harmful change.
//!
//! | module | job |
//! | --- | --- |
//! | [`plan`] | the plan file: nodes, commands, stages, and the limits that stop a rollout |
//! | [`stages`] | the order of the nodes and the sizes of the stages |
//! | [`baseline`] | measurements of the fleet before the change, and the measures that are compared |
//! | [`judge`] | sequential test that distinguishes harm from random variation |
//! | [`controller`] | state machine of a rollout: takes events and the time, returns actions |
//! | [`record`] | write-ahead log of the controller on disk |
//! | [`run`] | executes the actions: commands, report files, log |
//! | [`history`] | observations and printed lines, stored for the page |
//! | [`page`] | the HTML page of a rollout |
//!
//! All modules but the last four are free of I/O and read no clock. `run` uses all other modules.
pub mod baseline;
pub mod controller;
pub mod history;
pub mod judge;
pub mod page;
pub mod plan;
pub mod record;
pub mod run;
pub mod stages;

pub use sparrouter_report as report;

/// Point in time or duration in nanoseconds, by a monotonic clock.
pub type Nanos = u64;

/// One second in nanoseconds.
pub const SECOND: Nanos = 1_000_000_000;
