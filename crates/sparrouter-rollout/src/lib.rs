//! Progressive delivery: a change of many nodes in stages, judged against unchanged nodes and rolled back where it harms.
//!
//! | module | job |
//! | --- | --- |
//! | [`plan`] | the plan file: what is changed at which nodes, in which stages, and what stops it |
//! | [`stages`] | the order of the nodes and the sizes of the stages |
//! | [`baseline`] | what the fleet was like before the change, and the measures that are compared |
//! | [`judge`] | sequential test that tells harm from chance |
//! | [`controller`] | decides what is done next: events and the clock in, actions out |
//! | [`record`] | the controller's log on disk, written before each action |
//! | [`run`] | carries the actions out: commands, report files, log |
//! | [`history`] | what was seen and printed, kept for the page |
//! | [`page`] | the HTML page of a change |
//!
//! All but the last four are without I/O and clock. Uses upper to lower: `run` uses all others.
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

/// A moment or a length of time in nanoseconds, of a clock that only advances.
pub type Nanos = u64;

/// One second in nanoseconds.
pub const SECOND: Nanos = 1_000_000_000;
