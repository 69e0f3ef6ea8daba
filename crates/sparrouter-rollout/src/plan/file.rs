//! Parses a plan file (TOML) and validates its values.
use super::{Command, FieldProblem, Node, Plan, PlanError};
use crate::{Nanos, SECOND};
use serde::Deserialize;
use std::collections::BTreeSet;
use toml::Spanned;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PlanFile {
    name: String,
    #[serde(default)]
    seed: u64,
    change: ChangeSection,
    stages: StagesSection,
    #[serde(default)]
    bounds: BoundsSection,
    #[serde(rename = "node")]
    nodes: Vec<NodeSection>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ChangeSection {
    generation: Spanned<String>,
    from: String,
    #[serde(default)]
    placement: Option<Spanned<bool>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StagesSection {
    #[serde(rename = "parts")]
    fractions: Spanned<Vec<f64>>,
    hold_s: Spanned<f64>,
    longest_s: Spanned<f64>,
    #[serde(default = "one_minute")]
    command_s: Spanned<f64>,
    #[serde(default = "one_second")]
    span_s: Spanned<f64>,
    #[serde(default = "one_node")]
    down_at_once: Spanned<usize>,
}

/// A default value for a field that is missing in the file.
fn default<T>(value: T) -> Spanned<T> {
    Spanned::new(0..0, value)
}
fn one_minute() -> Spanned<f64> {
    default(60.0)
}
fn one_second() -> Spanned<f64> {
    default(1.0)
}
fn one_node() -> Spanned<usize> {
    default(1)
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct BoundsSection {
    least_loss: Spanned<f64>,
    false_stops: Spanned<f64>,
    fleet_loss: Spanned<f64>,
    fetches_per_s: Option<Spanned<f64>>,
}

impl Default for BoundsSection {
    fn default() -> BoundsSection {
        BoundsSection {
            least_loss: default(0.01),
            false_stops: default(0.01),
            fleet_loss: default(0.1),
            fetches_per_s: None,
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NodeSection {
    name: Spanned<String>,
    #[serde(default)]
    zone: String,
    change: Spanned<Command>,
    back: Spanned<Command>,
    restart: Spanned<Command>,
    report: String,
}

impl From<NodeSection> for Node {
    fn from(section: NodeSection) -> Node {
        Node {
            name: section.name.into_inner(),
            zone: section.zone,
            change: section.change.into_inner(),
            roll_back: section.back.into_inner(),
            restart: section.restart.into_inner(),
            report_path: section.report,
        }
    }
}

/// A rejected value, located by its byte offset; the line number is computed later.
struct Rejection {
    /// Byte offset of the value in the file.
    offset: usize,
    field: &'static str,
    problem: FieldProblem,
}

fn reject<T>(value: &Spanned<T>, field: &'static str, problem: FieldProblem) -> Rejection {
    Rejection {
        offset: value.span().start,
        field,
        problem,
    }
}

/// Converts a time in seconds, which must be above 0 and at most 1,000,000.
fn time(field: &'static str, value: &Spanned<f64>) -> Result<Nanos, Rejection> {
    match *value.get_ref() {
        seconds if seconds > 0.0 && seconds <= 1e6 => Ok((seconds * SECOND as f64) as Nanos),
        seconds => Err(reject(value, field, FieldProblem::TimeOutOfRange(seconds))),
    }
}

/// Returns a fraction, which must be between 0 and 1, both excluded.
fn fraction(field: &'static str, value: &Spanned<f64>) -> Result<f64, Rejection> {
    match *value.get_ref() {
        x if x > 0.0 && x < 1.0 => Ok(x),
        x => Err(reject(value, field, FieldProblem::FractionOutOfRange(x))),
    }
}

impl StagesSection {
    fn check(&self) -> Result<(), Rejection> {
        let fractions = self.fractions.get_ref();
        let ascends = fractions.windows(2).all(|pair| pair[0] < pair[1]);
        let is_positive = fractions.first().is_some_and(|first| *first > 0.0);
        if !ascends || !is_positive || fractions.last() != Some(&1.0) {
            let problem = FieldProblem::StagesNotAscending(fractions.clone());
            return Err(reject(&self.fractions, "stages.parts", problem));
        }
        let bake_time = time("stages.hold_s", &self.hold_s)?;
        let max_wait = time("stages.longest_s", &self.longest_s)?;
        if max_wait < bake_time {
            let problem = FieldProblem::WaitShorterThanBakeTime;
            return Err(reject(&self.longest_s, "stages.longest_s", problem));
        }
        if *self.down_at_once.get_ref() == 0 {
            let problem = FieldProblem::ZeroMaxUnavailable;
            return Err(reject(&self.down_at_once, "stages.down_at_once", problem));
        }
        Ok(())
    }
}

impl ChangeSection {
    fn check_generation(&self) -> Result<(), Rejection> {
        let generation = self.generation.get_ref();
        if *generation == self.from {
            let problem = FieldProblem::SameGeneration(generation.clone());
            return Err(reject(&self.generation, "change.generation", problem));
        }
        Ok(())
    }

    /// Requires a fetch limit if keys may move: every moved key is a miss at its new cache server, and without the limit
    /// the origin gets all of these misses at once.
    fn check_placement(&self, bounds: &BoundsSection) -> Result<(), Rejection> {
        match &self.placement {
            Some(placement) if *placement.get_ref() && bounds.fetches_per_s.is_none() => {
                let problem = FieldProblem::FetchBoundMissing;
                Err(reject(placement, "change.placement", problem))
            }
            _ => Ok(()),
        }
    }
}

impl BoundsSection {
    fn check_fetches(&self) -> Result<(), Rejection> {
        match &self.fetches_per_s {
            Some(rate) if rate.get_ref().is_nan() || *rate.get_ref() <= 0.0 => {
                let problem = FieldProblem::RateOutOfRange(*rate.get_ref());
                Err(reject(rate, "bounds.fetches_per_s", problem))
            }
            _ => Ok(()),
        }
    }
}

/// Checks that names are unique, commands are not empty, and there are at least two nodes to compare. `end` is the
/// length of the file in bytes; missing nodes are reported at this offset.
fn check_nodes(nodes: &[NodeSection], end: usize) -> Result<(), Rejection> {
    let mut names = BTreeSet::new();
    for node in nodes {
        let name = node.name.get_ref();
        if name.trim().is_empty() {
            return Err(reject(&node.name, "node.name", FieldProblem::EmptyName));
        }
        if !names.insert(name) {
            let problem = FieldProblem::DuplicateNode(name.clone());
            return Err(reject(&node.name, "node.name", problem));
        }
        for (field, command) in [
            ("node.change", &node.change),
            ("node.back", &node.back),
            ("node.restart", &node.restart),
        ] {
            if command.get_ref().is_empty() {
                return Err(reject(command, field, FieldProblem::EmptyCommand));
            }
        }
    }
    if names.len() < 2 {
        return Err(Rejection {
            offset: end,
            field: "node",
            problem: FieldProblem::TooFewNodes,
        });
    }
    Ok(())
}

impl PlanFile {
    /// Validates and converts all values. `length` is the length of the file in bytes.
    fn into_plan(self, length: usize) -> Result<Plan, Rejection> {
        self.stages.check()?;
        self.change.check_generation()?;
        self.bounds.check_fetches()?;
        self.change.check_placement(&self.bounds)?;
        check_nodes(&self.nodes, length)?;
        let (stages, bounds) = (&self.stages, &self.bounds);
        Ok(Plan {
            command_timeout: time("stages.command_s", &stages.command_s)?,
            sample_interval: time("stages.span_s", &stages.span_s)?,
            max_unavailable: *stages.down_at_once.get_ref(),
            min_harm: fraction("bounds.least_loss", &bounds.least_loss)?,
            false_stop_rate: fraction("bounds.false_stops", &bounds.false_stops)?,
            max_fleet_loss: fraction("bounds.fleet_loss", &bounds.fleet_loss)?,
            bake_time: time("stages.hold_s", &stages.hold_s)?,
            max_wait: time("stages.longest_s", &stages.longest_s)?,
            stage_fractions: stages.fractions.get_ref().clone(),
            max_fetches_per_s: bounds.fetches_per_s.as_ref().map(|f| *f.get_ref()),
            changes_placement: self.change.placement.is_some_and(|p| *p.get_ref()),
            name: self.name,
            seed: self.seed,
            new_generation: self.change.generation.into_inner(),
            old_generation: self.change.from,
            nodes: self.nodes.into_iter().map(Node::from).collect(),
        })
    }
}

impl Plan {
    /// Parses and validates the text of a plan file.
    ///
    /// Stage fractions ascend within (0, 1] to 1, times are above 0, and `bounds` are within (0, 1). There are at least
    /// two nodes with unique names and no empty command.
    ///
    /// # Errors
    ///
    /// [`PlanError::Form`] if the text does not parse, [`PlanError::Field`] if a value is out of range.
    pub fn read(text: &str) -> Result<Plan, PlanError> {
        let file: PlanFile = toml::from_str(text)?;
        file.into_plan(text.len()).map_err(|rejection| {
            let preceding = &text[..rejection.offset.min(text.len())];
            PlanError::Field {
                line: preceding.matches('\n').count() + 1,
                field: rejection.field,
                problem: rejection.problem,
            }
        })
    }
}
