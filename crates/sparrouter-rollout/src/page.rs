//! HTML page of a rollout: plots of the observations, and a table of the decisions with their reasons.
mod plot;

use crate::controller::{Observation, PhaseName};
use crate::history::{self, HistoryLine};
use crate::plan::Plan;
use crate::record::{Entry, Outcome};
use plot::{BLUE, Curve, GREY, Level, Marker, Plot, Point, RED};
use std::path::Path;

const STYLE: &str = "body{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:1140px;color:#222}\
h2{margin:1.4em 0 .2em;font-size:17px}svg{max-width:100%;height:auto}td,th{padding:.15em .8em;text-align:left;\
border-bottom:1px solid #e4e4e0}.through{color:#1a7f37}.back,.left{color:#b00020;font-weight:bold}";

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

/// Returns the page as HTML. `entries` are the entries of the log; the history file is read from next to the log.
pub fn page(plan: &Plan, log: &Path, entries: &[Entry]) -> String {
    let page = Page::new(plan, history::read(log), entries);
    [
        page.head(),
        page.losses(),
        page.evidence(),
        page.nodes(),
        page.decisions(),
    ]
    .concat()
}

/// Data of the page.
struct Page<'a> {
    plan: &'a Plan,
    entries: &'a [Entry],
    lines: Vec<HistoryLine>,
    /// Time of the first line, in seconds since 1970; times on the page are relative to it.
    start: f64,
    /// Times at which stages started and the rollout was stopped.
    markers: Vec<Marker>,
}

/// The observation with the strongest evidence of harm since the last printed line.
struct StrongestEvidence<'a> {
    seconds: f64,
    observation: &'a Observation,
}

fn markers(lines: &[HistoryLine], start: f64) -> Vec<Marker> {
    let marker = |line: &HistoryLine| match line {
        HistoryLine::Printed { time, text }
            if text.starts_with("stage ") || text.starts_with("stopped") =>
        {
            let label = text.split([':', ';']).next().unwrap_or_default();
            Some(Marker {
                seconds: time - start,
                label: label.to_string(),
            })
        }
        _ => None,
    };
    lines.iter().filter_map(marker).collect()
}

fn table_row(seconds: f64, text: &str) -> String {
    let text = escape(text);
    format!("<tr><td>{seconds:.1} s</td><td>{text}</td></tr>")
}

impl<'a> Page<'a> {
    fn new(plan: &'a Plan, lines: Vec<HistoryLine>, entries: &'a [Entry]) -> Page<'a> {
        let start = lines.first().map_or(0.0, HistoryLine::time);
        Page {
            plan,
            entries,
            markers: markers(&lines, start),
            start,
            lines,
        }
    }

    /// Returns the CSS class and the text of the rollout's outcome.
    fn outcome(&self) -> (&'static str, String) {
        match self.entries.last() {
            Some(Entry::Finished { outcome }) => match outcome {
                Outcome::Completed => ("through", "Every node is changed.".to_string()),
                Outcome::RolledBack(reason) => ("back", format!("Rolled back: {reason}")),
                Outcome::LeftToOperator(reason) => {
                    ("left", format!("Left to the operator: {reason}"))
                }
            },
            _ => ("", "Not ended.".to_string()),
        }
    }

    fn head(&self) -> String {
        let name = escape(&self.plan.name);
        let (class, outcome) = self.outcome();
        format!(
            "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">\
            <title>{name}</title><style>{STYLE}</style><h1>{name}</h1>\
            <p>{} nodes, {} → {}.</p><p class=\"{class}\">{}</p>",
            self.plan.nodes.len(),
            escape(&self.plan.old_generation),
            escape(&self.plan.new_generation),
            escape(&outcome)
        )
    }

    /// Returns one value of the observations over time; observations without the value are skipped.
    fn points(&self, value: impl Fn(&Observation) -> Option<f64>) -> Vec<Point> {
        let point = |line: &HistoryLine| match line {
            HistoryLine::Observed { time, observation } => {
                value(observation).map(|value| (time - self.start, value))
            }
            _ => None,
        };
        self.lines.iter().filter_map(point).collect()
    }

    fn section(
        &self,
        title: &str,
        axis: &'static str,
        curves: &[Curve],
        level: Option<Level>,
    ) -> String {
        let plot = Plot {
            title: axis,
            curves,
            level,
            markers: &self.markers,
        };
        format!("<h2>{title}</h2>{}", plot.to_svg())
    }

    fn losses(&self) -> String {
        let baseline_loss = self.entries.iter().find_map(|entry| match entry {
            Entry::Baseline { baseline } => Some(baseline.lost),
            _ => None,
        });
        let bound = baseline_loss.map(|loss| Level {
            value: 100.0 * (loss + self.plan.max_fleet_loss),
            label: "maximum loss of the whole fleet",
        });
        let percent = |fraction: Option<f64>| fraction.map(|x| 100.0 * x);
        let curves = [
            Curve {
                name: "all",
                points: self.points(|o| percent(o.fleet_loss)),
                color: GREY,
            },
            Curve {
                name: "unchanged",
                points: self.points(|o| percent(o.unchanged_loss)),
                color: BLUE,
            },
            Curve {
                name: "changed",
                points: self.points(|o| percent(o.changed_loss)),
                color: RED,
            },
        ];
        self.section("Billed value lost, %", "%", &curves, bound)
    }

    fn evidence(&self) -> String {
        let watched = |o: &Observation| (o.phase == PhaseName::Baking).then_some(o.evidence);
        let curves = [Curve {
            name: "worst measure",
            points: self.points(watched),
            color: RED,
        }];
        let level = Level {
            value: 1.0,
            label: "stop",
        };
        let title = "Evidence of harm: 1 stops the change";
        self.section(title, "part of the bound", &curves, Some(level))
    }

    fn nodes(&self) -> String {
        let curves = [
            Curve {
                name: "changed",
                points: self.points(|o| Some(o.changed_nodes as f64)),
                color: RED,
            },
            Curve {
                name: "unavailable",
                points: self.points(|o| Some(o.unavailable_nodes as f64)),
                color: GREY,
            },
        ];
        let level = Level {
            value: self.plan.max_unavailable as f64,
            label: "maximum unavailable",
        };
        self.section("Nodes", "nodes", &curves, Some(level))
    }

    /// Returns the table of printed lines; before each line stands the strongest evidence of harm since the previous one.
    fn decisions(&self) -> String {
        let mut rows = String::from("<h2>Decisions</h2><table>");
        let mut strongest: Option<StrongestEvidence> = None;
        for line in &self.lines {
            match line {
                HistoryLine::Observed { time, observation } => {
                    let evidence = strongest.as_ref().map(|n| n.observation.evidence);
                    let is_stronger =
                        evidence.is_none_or(|evidence| evidence < observation.evidence);
                    if observation.phase == PhaseName::Baking && is_stronger {
                        strongest = Some(StrongestEvidence {
                            seconds: time - self.start,
                            observation,
                        });
                    }
                }
                HistoryLine::Printed { time, text } => {
                    rows.extend(strongest.take().and_then(|strongest| strongest.row()));
                    rows.push_str(&table_row(time - self.start, text));
                }
                HistoryLine::Finished { .. } => {}
            }
        }
        rows.extend(strongest.and_then(|strongest| strongest.row()));
        rows.extend(self.last_row());
        rows.push_str("</table></html>");
        rows
    }

    fn last_row(&self) -> Option<String> {
        let is_end = |line: &&HistoryLine| matches!(line, HistoryLine::Finished { .. });
        let end = self.lines.iter().rev().find(is_end)?;
        let (_, outcome) = self.outcome();
        Some(table_row(end.time() - self.start, &outcome))
    }
}

impl StrongestEvidence<'_> {
    fn row(&self) -> Option<String> {
        let Observation {
            measure, evidence, ..
        } = self.observation;
        let text = format!(
            "strongest evidence of harm: {measure} at {evidence:.2} of the required evidence"
        );
        (!measure.is_empty()).then(|| table_row(self.seconds, &text))
    }
}
