//! Plots over one time axis, as SVG text. Faults are bands behind the curves.
use crate::ledger::figures::{Quantiles, TimeSlice};
use crate::play::{Run, Sample};
use plotters::coord::ranged1d::{AsRangedCoord, Ranged, ValueFormatter};
use plotters::prelude::*;

const SIZE: (u32, u32) = (1100, 260);
const INK: [RGBColor; 8] = [
    RGBColor(31, 119, 180),
    RGBColor(255, 127, 14),
    RGBColor(44, 160, 44),
    RGBColor(214, 39, 40),
    RGBColor(148, 103, 189),
    RGBColor(140, 86, 75),
    RGBColor(227, 119, 194),
    RGBColor(127, 127, 127),
];

/// Name, and points of time in seconds and value.
pub type Curve = (String, Vec<(f64, f64)>);
/// CPU, memory, descriptors.
type Use = (f64, f64, usize);
type Drawn = Result<(), Box<dyn std::error::Error>>;

/// A plot with its heading.
pub struct Plot {
    /// Its title.
    pub title: &'static str,
    /// The picture.
    pub svg: String,
}

/// A drawing error leaves an empty picture: a report must not fail for it.
fn svg(
    size: (u32, u32),
    draw: impl FnOnce(&DrawingArea<SVGBackend, plotters::coord::Shift>) -> Drawn,
) -> String {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, size).into_drawing_area();
        let drawn = area
            .fill(&WHITE)
            .map_err(Into::into)
            .and_then(|()| draw(&area));
        if drawn.is_err() {
            let _ = area.fill(&WHITE);
        }
        let _ = area.present();
    }
    text
}

/// What all nodes let in of one limit, second by second, as parts of it.
pub fn limit(run: &Run, curves: &[Curve]) -> String {
    let top = curves
        .iter()
        .flat_map(|c| &c.1)
        .map(|p| p.1)
        .fold(1.2, f64::max);
    lines(run, 0.0..top, "parts of the limit", curves, Some(1.0))
}

/// The end of the time axis, in seconds from the first arrival.
fn end_s(run: &Run) -> f64 {
    let last = run.tally.pieces.last();
    last.map_or(1.0, |slice| slice.at_s + run.tally.piece_s)
        .max(run.tally.seconds)
}

fn lines<Y>(run: &Run, y: Y, unit: &str, curves: &[Curve], level: Option<f64>) -> String
where
    Y: AsRangedCoord<Value = f64> + Clone,
    Y::CoordDescType: ValueFormatter<f64> + Ranged<ValueType = f64>,
{
    let end = end_s(run);
    svg(SIZE, |area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(62)
            .build_cartesian_2d(0.0..end, y)?;
        let top = chart.as_coord_spec().y_spec().range();
        for band in &run.bands {
            let area = Rectangle::new(
                [(band.from_s, top.start), (band.to_s.min(end), top.end)],
                shade().filled(),
            );
            chart.draw_series([area])?;
        }
        chart
            .configure_mesh()
            .light_line_style(WHITE)
            .x_desc("s")
            .y_desc(unit)
            .draw()?;
        for (n, (name, points)) in curves.iter().enumerate() {
            let ink = INK[n % INK.len()];
            chart
                .draw_series(LineSeries::new(points.iter().copied(), ink.stroke_width(2)))?
                .label(name.clone())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], ink.stroke_width(2)));
        }
        if let Some(level) = level {
            chart
                .draw_series(LineSeries::new(
                    [(0.0, level), (end, level)],
                    BLACK.stroke_width(1),
                ))?
                .label("capacity")
                .legend(|(x, y)| PathElement::new([(x, y), (x + 14, y)], BLACK));
        }
        if !curves.is_empty() {
            let style = chart
                .configure_series_labels()
                .background_style(WHITE.mix(0.8))
                .label_font(("sans-serif", 12))
                .position(SeriesLabelPosition::UpperRight)
                .border_style(BLACK.mix(0.2))
                .draw();
            style?;
        }
        Ok(())
    })
}

fn shade() -> RGBAColor {
    RGBColor(255, 214, 120).mix(0.35)
}

fn top(curves: &[Curve], least: f64) -> f64 {
    curves
        .iter()
        .flat_map(|c| &c.1)
        .map(|p| p.1)
        .fold(least, f64::max)
        * 1.08
}

fn per_s(run: &Run, name: &str, of: impl Fn(&TimeSlice) -> u64) -> Curve {
    let points = run
        .tally
        .pieces
        .iter()
        .map(|p| (p.at_s, of(p) as f64 / run.tally.piece_s));
    (name.into(), points.collect())
}

fn linear(run: &Run, unit: &str, curves: &[Curve], level: Option<f64>) -> String {
    let most = top(curves, level.unwrap_or(0.0).max(1.0));
    lines(run, 0.0..most, unit, curves, level)
}

fn answers(run: &Run) -> String {
    let curves = vec![
        per_s(run, "in objective", |p| p.counts.in_objective),
        per_s(run, "past objective", |p| p.counts.past_objective),
        per_s(run, "throttled", |p| p.counts.throttled),
        per_s(run, "errored", |p| p.counts.errored),
        per_s(run, "unanswered", |p| p.counts.unanswered),
        per_s(run, "asked", |p| p.counts.asked),
    ];
    linear(run, "a second", &curves, None)
}

fn latency(run: &Run) -> String {
    let curve = |name: &str, of: fn(&Quantiles) -> f64| -> Curve {
        let some = run.tally.pieces.iter().filter(|p| p.latency_ms.max > 0.0);
        (
            name.into(),
            some.map(|p| (p.at_s, of(&p.latency_ms).max(0.01)))
                .collect(),
        )
    };
    let curves = [
        curve("p50", |q| q.p50),
        curve("p99", |q| q.p99),
        curve("p99.9", |q| q.p999),
        curve("max", |q| q.max),
    ];
    let most = top(&curves, 1.0);
    let least = curves
        .iter()
        .flat_map(|c| &c.1)
        .map(|p| p.1)
        .fold(most, f64::min)
        / 1.3;
    lines(run, (least..most * 1.5).log_scale(), "ms", &curves, None)
}

/// A row for each cache server: grey while down, blue while cold, amber while it drains, green to red the more it has in hand.
fn caches(run: &Run) -> String {
    let rows = run.samples.first().map_or(0, |s| s.caches.len());
    let most = run
        .samples
        .iter()
        .flat_map(|s| &s.caches)
        .map(|c| c.1)
        .max()
        .unwrap_or(1)
        .max(1) as f64;
    let end = run
        .samples
        .last()
        .map_or(1.0, |s| s.at_s)
        .max(run.tally.seconds);
    svg((SIZE.0, 70 + 12 * rows as u32), |area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(62)
            .build_cartesian_2d(0.0..end, 0.0..rows as f64)?;
        let mesh = &mut chart.configure_mesh();
        mesh.disable_mesh()
            .x_desc("s")
            .y_desc("cache server")
            .y_label_formatter(&|y| format!("{y:.0}"))
            .draw()?;
        for pair in run.samples.windows(2) {
            for (n, (state, in_hand, _)) in pair[0].caches.iter().enumerate() {
                let load = (*in_hand as f64 / most).min(1.0);
                let color = match state {
                    0 => RGBColor(190, 190, 190),
                    1 => RGBColor(60, (200.0 - 120.0 * load) as u8, 255),
                    3 => RGBColor(235, (205.0 - 110.0 * load) as u8, 40),
                    _ => RGBColor(
                        (70.0 + 180.0 * load) as u8,
                        (180.0 - 110.0 * load) as u8,
                        60,
                    ),
                };
                let corners = [
                    (pair[0].at_s, n as f64 + 0.08),
                    (pair[1].at_s, n as f64 + 0.92),
                ];
                chart.draw_series([Rectangle::new(corners, color.filled())])?;
            }
        }
        Ok(())
    })
}

/// By node, what `of` says of two samples four apart: procfs counts CPU in ticks of 10 ms.
fn by_node(run: &Run, of: impl Fn(&Use, &Use, f64) -> f64) -> Vec<Curve> {
    let nodes = run.samples.first().map_or(0, |s| s.nodes.len());
    let curve = |n: usize| -> Curve {
        let pairs = run.samples.windows(5);
        let point = |p: &[Sample]| {
            (
                p[4].at_s,
                of(&p[0].nodes[n], &p[4].nodes[n], p[4].at_s - p[0].at_s),
            )
        };
        (format!("n{n}"), pairs.map(point).collect())
    };
    (0..nodes).map(curve).collect()
}

/// The plots of a report, in their order.
pub fn all(run: &Run) -> Vec<Plot> {
    let cpu = by_node(run, |a, b, s| 100.0 * (b.0 - a.0).max(0.0) / s.max(0.01));
    let memory = by_node(run, |_, b, _| b.1);
    let descriptors = by_node(run, |_, b, _| b.2 as f64);
    let fetches = vec![per_s(run, "at the origin", |p| p.fetches)];
    let connected = vec![per_s(run, "opened", |p| p.connected)];
    let plot = |title, svg| Plot { title, svg };
    vec![
        plot("Arrivals and answers by kind", answers(run)),
        plot("Latency from when an invocation was due", latency(run)),
        plot(
            "Cache servers (grey: down, blue: cold, amber: draining, green to red: in hand)",
            caches(run),
        ),
        plot(
            "Fetches and writes at the origin",
            linear(run, "a second", &fetches, Some(run.scenario.origin.per_s)),
        ),
        plot(
            "Connections opened to cache servers and the origin",
            linear(run, "a second", &connected, None),
        ),
        plot("CPU of each node", linear(run, "% of a core", &cpu, None)),
        plot("Memory of each node", linear(run, "MB", &memory, None)),
        plot(
            "Descriptors of each node",
            linear(run, "open", &descriptors, None),
        ),
    ]
}
