//! The page of a change: what was seen, span by span, and the reason for each decision. Its lines are kept beside the log;
//! they are worth no waiting and no stop, as nothing is decided by them.
use crate::conduct::{How, Seen};
use crate::plan::Plan;
use crate::record::Entry;
use plotters::prelude::*;
use serde::{Deserialize, Serialize};
use std::fmt::Write as _;
use std::fs::{File, OpenOptions};
use std::io::Write as _;
use std::path::{Path, PathBuf};

/// One line of the history; times are seconds since 1970.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Line {
    Said { at: f64, text: String },
    Seen { at: f64, seen: Seen },
    Ended { at: f64, how: How },
}

impl Line {
    fn at(&self) -> f64 {
        match self {
            Line::Said { at, .. } | Line::Seen { at, .. } | Line::Ended { at, .. } => *at,
        }
    }
}

pub fn unix() -> f64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.unwrap_or_default().as_secs_f64()
}

fn beside(log: &Path, what: &str) -> PathBuf {
    let mut name = log.as_os_str().to_owned();
    name.push(what);
    PathBuf::from(name)
}

pub struct History(Option<File>);

impl History {
    pub fn open(log: &Path) -> History {
        History(
            OpenOptions::new()
                .create(true)
                .append(true)
                .open(beside(log, ".history"))
                .ok(),
        )
    }
    pub fn add(&mut self, line: &Line) {
        if let (Some(file), Ok(mut text)) = (&mut self.0, serde_json::to_vec(line)) {
            text.push(b'\n');
            // Full or gone: the page will miss it.
            let _ = file.write_all(&text);
        }
    }
}

/// What can be read of it: a torn line is passed over.
fn history(log: &Path) -> Vec<Line> {
    let text = std::fs::read(beside(log, ".history")).unwrap_or_default();
    text.split(|b| *b == b'\n')
        .filter_map(|l| serde_json::from_slice(l).ok())
        .collect()
}

const INK: [RGBColor; 3] = [
    RGBColor(127, 127, 127),
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
];
type Drawn = Result<(), Box<dyn std::error::Error>>;
type Curve<'a> = (&'a str, Vec<(f64, f64)>, RGBColor);

/// Curves over seconds; a drawing error leaves an empty picture.
fn plot(
    title: &str,
    curves: &[Curve],
    level: Option<(f64, &str)>,
    marks: &[(f64, String)],
) -> String {
    let mut text = String::new();
    let all = || curves.iter().flat_map(|c| &c.1);
    let end = all().map(|p| p.0).fold(1.0, f64::max);
    let top = all()
        .map(|p| p.1)
        .chain(level.map(|l| l.0))
        .fold(0.01, f64::max)
        * 1.1;
    {
        let area = SVGBackend::with_string(&mut text, (1100, 260)).into_drawing_area();
        let draw = || -> Drawn {
            area.fill(&WHITE)?;
            let mut chart = ChartBuilder::on(&area)
                .margin(8)
                .x_label_area_size(34)
                .y_label_area_size(62)
                .build_cartesian_2d(0.0..end, 0.0..top)?;
            let mut mesh = chart.configure_mesh();
            mesh.light_line_style(TRANSPARENT)
                .x_desc("seconds from the start")
                .y_desc(title)
                .draw()?;
            for (at, word) in marks {
                chart.draw_series([PathElement::new([(*at, 0.0), (*at, top)], BLACK.mix(0.35))])?;
                chart.draw_series([Text::new(word.clone(), (*at, top), ("sans-serif", 13))])?;
            }
            if let Some((at, word)) = level {
                chart.draw_series([PathElement::new([(0.0, at), (end, at)], BLACK.mix(0.6))])?;
                chart.draw_series([Text::new(word.to_string(), (0.0, at), ("sans-serif", 13))])?;
            }
            for (name, points, ink) in curves {
                let ink = *ink;
                chart
                    .draw_series(LineSeries::new(points.iter().copied(), ink.stroke_width(2)))?
                    .label(*name)
                    .legend(move |(x, y)| {
                        PathElement::new([(x, y), (x + 18, y)], ink.stroke_width(2))
                    });
            }
            if curves.len() > 1 {
                chart
                    .configure_series_labels()
                    .position(SeriesLabelPosition::UpperLeft)
                    .background_style(WHITE.mix(0.8))
                    .draw()?;
            }
            Ok(())
        };
        let drawn = draw();
        if drawn.is_err() {
            let _ = area.fill(&WHITE);
        }
        let _ = area.present();
    }
    text
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

const STYLE: &str = "body{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:1140px;color:#222}\
h2{margin:1.4em 0 .2em;font-size:17px}svg{max-width:100%;height:auto}td,th{padding:.15em .8em;text-align:left;\
border-bottom:1px solid #e4e4e0}.through{color:#1a7f37}.back,.left{color:#b00020;font-weight:bold}";

/// The whole page as text.
pub fn page(plan: &Plan, log: &Path, entries: &[Entry]) -> String {
    let lines = history(log);
    let start = lines.first().map_or(0.0, Line::at);
    let seen: Vec<(f64, &Seen)> = lines
        .iter()
        .filter_map(|l| match l {
            Line::Seen { at, seen } => Some((at - start, seen)),
            _ => None,
        })
        .collect();
    let curve = |f: &dyn Fn(&Seen) -> Option<f64>| -> Vec<(f64, f64)> {
        seen.iter()
            .filter_map(|(at, s)| f(s).map(|y| (*at, y)))
            .collect()
    };
    let mut marks = Vec::new();
    for l in &lines {
        if let Line::Said { at, text } = l
            && (text.starts_with("stage ") || text.starts_with("stopped"))
        {
            marks.push((
                at - start,
                text.split([':', ';'])
                    .next()
                    .unwrap_or_default()
                    .to_string(),
            ));
        }
    }
    let mut out = String::from("<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">");
    let name = escape(&plan.name);
    let _ = write!(
        out,
        "<title>{name}</title><style>{STYLE}</style><h1>{name}</h1>"
    );
    let _ = write!(
        out,
        "<p>{} nodes, {} → {}.</p>",
        plan.nodes.len(),
        escape(&plan.from),
        escape(&plan.generation)
    );
    let (class, how) = match entries.last() {
        Some(Entry::Done { how: How::Through }) => {
            ("through", "Every node is changed.".to_string())
        }
        Some(Entry::Done {
            how: How::Back(why),
        }) => ("back", format!("Taken back: {why}")),
        Some(Entry::Done {
            how: How::Left(why),
        }) => ("left", format!("Left for a person: {why}")),
        _ => ("", "Not ended.".to_string()),
    };
    let _ = write!(out, "<p class=\"{class}\">{}</p>", escape(&how));
    let past = entries.iter().find_map(|e| match e {
        Entry::Past { past } => Some(past.lost),
        _ => None,
    });
    let bound = past.map(|p| (100.0 * (p + plan.fleet), "bound of the whole fleet"));
    let percent = |x: Option<f64>| x.map(|x| 100.0 * x);
    let losses = [
        ("all", curve(&|s| percent(s.all)), INK[0]),
        ("unchanged", curve(&|s| percent(s.unchanged)), INK[1]),
        ("changed", curve(&|s| percent(s.changed)), INK[2]),
    ];
    let _ = write!(
        out,
        "<h2>Billed value lost, %</h2>{}",
        plot("%", &losses, bound, &marks)
    );
    let worth = [(
        "worst measure",
        curve(&|s| (s.phase == "watching").then_some(s.reached)),
        INK[2],
    )];
    let title = "Evidence of harm: 1 stops the change";
    let _ = write!(
        out,
        "<h2>{title}</h2>{}",
        plot("part of the bound", &worth, Some((1.0, "stop")), &marks)
    );
    let nodes = [
        ("changed", curve(&|s| Some(s.new as f64)), INK[2]),
        ("down or silent", curve(&|s| Some(s.down as f64)), INK[0]),
    ];
    let _ = write!(
        out,
        "<h2>Nodes</h2>{}",
        plot(
            "nodes",
            &nodes,
            Some((plan.down_at_once as f64, "down at once")),
            &marks
        )
    );
    out.push_str("<h2>What was done, and why</h2><table>");
    let mut worst: Option<(f64, &Seen)> = None;
    for l in &lines {
        match l {
            Line::Seen { at, seen }
                if seen.phase == "watching"
                    && worst.is_none_or(|(_, w)| w.reached < seen.reached) =>
            {
                worst = Some((at - start, seen));
            }
            Line::Said { at, text } => {
                if let Some((at, w)) = worst.take().filter(|(_, w)| !w.measure.is_empty()) {
                    let row = format!(
                        "nearest to a stop: {} at {:.2} of the bound",
                        w.measure, w.reached
                    );
                    let _ = write!(out, "<tr><td>{at:.1} s</td><td>{}</td></tr>", escape(&row));
                }
                let _ = write!(
                    out,
                    "<tr><td>{:.1} s</td><td>{}</td></tr>",
                    at - start,
                    escape(text)
                );
            }
            _ => {}
        }
    }
    if let Some((at, w)) = worst.filter(|(_, w)| !w.measure.is_empty()) {
        let row = format!(
            "nearest to a stop: {} at {:.2} of the bound",
            w.measure, w.reached
        );
        let _ = write!(out, "<tr><td>{at:.1} s</td><td>{}</td></tr>", escape(&row));
    }
    if let Some(Line::Ended { at, .. }) =
        lines.iter().rev().find(|l| matches!(l, Line::Ended { .. }))
    {
        let _ = write!(
            out,
            "<tr><td>{:.1} s</td><td>{}</td></tr>",
            at - start,
            escape(&how)
        );
    }
    out.push_str("</table></html>");
    out
}
