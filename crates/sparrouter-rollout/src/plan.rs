//! The plan file: what is changed at which nodes, in what steps, and what stops it. Every error names line and field.
use crate::{Nanos, SECOND};
use serde::Deserialize;
use std::collections::BTreeSet;
use thiserror::Error;
use toml::Spanned;

#[derive(Debug, Error)]
pub enum PlanError {
    /// Not TOML, an unknown or missing field, another kind of value: in the words of the reader, with its line.
    #[error("{0}")]
    Form(#[from] toml::de::Error),
    #[error("line {line}, {field}: {what}")]
    Field {
        line: usize,
        field: &'static str,
        what: String,
    },
}

/// A command of the operator's: a program and its arguments. It has to be safe to run again.
pub type Command = Vec<String>;

#[derive(Clone, Debug)]
pub struct Node {
    pub name: String,
    pub zone: String,
    /// Puts the change in force; with a new program or settings it ends the old process first.
    pub change: Command,
    /// Takes it back.
    pub back: Command,
    /// Starts the node anew as it is: the unchanged that are compared are as fresh as the changed.
    pub restart: Command,
    /// The file that its reports go to.
    pub report: String,
}

/// Parts of values between 0 and 1, times in nanoseconds.
#[derive(Clone, Debug)]
pub struct Plan {
    pub name: String,
    pub seed: u64,
    /// What a changed node says of itself, and an unchanged one.
    pub generation: String,
    pub from: String,
    /// Changed nodes may choose other cache servers for a key.
    pub placement: bool,
    /// Fetches a second of all nodes together that the origin can bear; none: not looked at.
    pub fetches_per_s: Option<f64>,
    /// Nested parts of the fleet, rising to the whole.
    pub parts: Vec<f64>,
    /// How long a stage is watched at least, and at most before it is taken back for want of evidence.
    pub hold: Nanos,
    pub longest: Nanos,
    /// How long a command may take, and a node after it until it reports as it should.
    pub command: Nanos,
    /// Between looks at the reports.
    pub span: Nanos,
    pub down_at_once: usize,
    /// Harm that is not worth stopping for, as a part of the billed value.
    pub least: f64,
    /// Part of the sound changes that may be stopped, however often one looks.
    pub false_stops: f64,
    /// Part of the billed value that the whole fleet may lose beside its own past.
    pub fleet: f64,
    pub nodes: Vec<Node>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    name: String,
    #[serde(default)]
    seed: u64,
    change: RawChange,
    stages: RawStages,
    #[serde(default)]
    bounds: RawBounds,
    node: Vec<RawNode>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawChange {
    generation: Spanned<String>,
    from: String,
    #[serde(default)]
    placement: Option<Spanned<bool>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawStages {
    parts: Spanned<Vec<f64>>,
    hold_s: Spanned<f64>,
    longest_s: Spanned<f64>,
    #[serde(default = "minute")]
    command_s: Spanned<f64>,
    #[serde(default = "one_second")]
    span_s: Spanned<f64>,
    #[serde(default = "one")]
    down_at_once: Spanned<usize>,
}

fn minute() -> Spanned<f64> {
    Spanned::new(0..0, 60.0)
}
fn one_second() -> Spanned<f64> {
    Spanned::new(0..0, 1.0)
}
fn one() -> Spanned<usize> {
    Spanned::new(0..0, 1)
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawBounds {
    least_loss: Spanned<f64>,
    false_stops: Spanned<f64>,
    fleet_loss: Spanned<f64>,
    fetches_per_s: Option<Spanned<f64>>,
}

impl Default for RawBounds {
    fn default() -> RawBounds {
        let at = |x| Spanned::new(0..0, x);
        RawBounds {
            least_loss: at(0.01),
            false_stops: at(0.01),
            fleet_loss: at(0.1),
            fetches_per_s: None,
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawNode {
    name: Spanned<String>,
    #[serde(default)]
    zone: String,
    change: Spanned<Command>,
    back: Spanned<Command>,
    restart: Spanned<Command>,
    report: String,
}

impl Plan {
    /// Ranges: parts rise within (0, 1] to 1; times over 0; bounds within (0, 1); at least two nodes, each
    /// named once, with no empty command.
    pub fn read(text: &str) -> Result<Plan, PlanError> {
        let raw: Raw = toml::from_str(text)?;
        let line = |at: usize| text[..at.min(text.len())].matches('\n').count() + 1;
        let bad = |at: usize, field, what: String| PlanError::Field {
            line: line(at),
            field,
            what,
        };
        let time = |field, s: &Spanned<f64>| match *s.get_ref() {
            x if x > 0.0 && x <= 1e6 => Ok((x * SECOND as f64) as Nanos),
            x => Err(bad(
                s.span().start,
                field,
                format!("{x} is not a time over 0 and up to 1000000 s"),
            )),
        };
        let part = |field, s: &Spanned<f64>| match *s.get_ref() {
            x if x > 0.0 && x < 1.0 => Ok(x),
            x => Err(bad(
                s.span().start,
                field,
                format!("{x} is not a part between 0 and 1"),
            )),
        };
        let (st, b) = (&raw.stages, &raw.bounds);
        let parts = st.parts.get_ref().clone();
        let rises =
            parts.windows(2).all(|w| w[0] < w[1]) && parts.first().is_some_and(|p| *p > 0.0);
        if !rises || parts.last() != Some(&1.0) {
            let what = format!("{parts:?} does not rise from over 0 to 1.0");
            return Err(bad(st.parts.span().start, "stages.parts", what));
        }
        let (hold, longest) = (
            time("stages.hold_s", &st.hold_s)?,
            time("stages.longest_s", &st.longest_s)?,
        );
        if longest < hold {
            let what = "less than hold_s: no stage could pass".to_string();
            return Err(bad(st.longest_s.span().start, "stages.longest_s", what));
        }
        if *st.down_at_once.get_ref() == 0 {
            let what = "0 nodes at once: nothing could be changed".to_string();
            return Err(bad(
                st.down_at_once.span().start,
                "stages.down_at_once",
                what,
            ));
        }
        let generation = raw.change.generation.get_ref().clone();
        if generation == raw.change.from {
            let what =
                format!("{generation} is what the unchanged say too: nobody could tell them apart");
            return Err(bad(
                raw.change.generation.span().start,
                "change.generation",
                what,
            ));
        }
        let fetches = b.fetches_per_s.as_ref();
        if let Some(f) = fetches.filter(|f| f.get_ref().is_nan() || *f.get_ref() <= 0.0) {
            let what = format!("{} is not a rate over 0", f.get_ref());
            return Err(bad(f.span().start, "bounds.fetches_per_s", what));
        }
        let placement = raw.change.placement.as_ref();
        if let Some(p) = placement.filter(|p| *p.get_ref() && fetches.is_none()) {
            // Every key that moves is a miss at its new place: old and new ask for it in two.
            let what =
                "needs bounds.fetches_per_s: what the origin can bear while keys move".to_string();
            return Err(bad(p.span().start, "change.placement", what));
        }
        let mut names = BTreeSet::new();
        for n in &raw.node {
            if !names.insert(n.name.get_ref()) {
                let what = format!("{} is named twice", n.name.get_ref());
                return Err(bad(n.name.span().start, "node.name", what));
            }
            for (field, c) in [
                ("node.change", &n.change),
                ("node.back", &n.back),
                ("node.restart", &n.restart),
            ] {
                if c.get_ref().is_empty() {
                    return Err(bad(c.span().start, field, "no program named".to_string()));
                }
            }
        }
        if names.len() < 2 {
            return Err(bad(
                text.len(),
                "node",
                "at least two are wanted, to compare".to_string(),
            ));
        }
        let node = |n: RawNode| Node {
            name: n.name.into_inner(),
            zone: n.zone,
            change: n.change.into_inner(),
            back: n.back.into_inner(),
            restart: n.restart.into_inner(),
            report: n.report,
        };
        Ok(Plan {
            command: time("stages.command_s", &st.command_s)?,
            span: time("stages.span_s", &st.span_s)?,
            down_at_once: *st.down_at_once.get_ref(),
            least: part("bounds.least_loss", &b.least_loss)?,
            false_stops: part("bounds.false_stops", &b.false_stops)?,
            fleet: part("bounds.fleet_loss", &b.fleet_loss)?,
            name: raw.name,
            seed: raw.seed,
            generation,
            from: raw.change.from,
            placement: placement.is_some_and(|p| *p.get_ref()),
            fetches_per_s: fetches.map(|f| *f.get_ref()),
            parts,
            hold,
            longest,
            nodes: raw.node.into_iter().map(node).collect(),
        })
    }
}
