//! Plots curves over time as SVG.
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;
use std::error::Error;

pub(super) const GREY: RGBColor = RGBColor(127, 127, 127);
pub(super) const BLUE: RGBColor = RGBColor(31, 119, 180);
pub(super) const RED: RGBColor = RGBColor(214, 39, 40);
const SIZE: (u32, u32) = (1100, 260);
const FONT: (&str, i32) = ("sans-serif", 13);

/// A point of a curve: seconds since the start, and the value.
pub(super) type Point = (f64, f64);

pub(super) struct Curve {
    pub name: &'static str,
    pub points: Vec<Point>,
    pub color: RGBColor,
}

/// A horizontal line with a label.
pub(super) struct Level {
    pub value: f64,
    pub label: &'static str,
}

/// A vertical line with a label.
pub(super) struct Marker {
    pub seconds: f64,
    pub label: String,
}

pub(super) struct Plot<'a> {
    pub title: &'static str,
    pub curves: &'a [Curve],
    pub level: Option<Level>,
    pub markers: &'a [Marker],
}

type Drawn = Result<(), Box<dyn Error>>;
type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

impl Plot<'_> {
    /// Returns the SVG element; an empty image if drawing fails.
    pub fn to_svg(&self) -> String {
        let mut svg = String::new();
        {
            let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
            if self.draw(&area).is_err() {
                let _ = area.fill(&WHITE);
            }
            let _ = area.present();
        }
        svg
    }

    /// Returns the end of the time axis and the top of the value axis.
    fn ranges(&self) -> Point {
        let points = || self.curves.iter().flat_map(|curve| &curve.points);
        let end = points().map(|point| point.0).fold(1.0, f64::max);
        let level = self.level.iter().map(|level| level.value);
        let values = points().map(|point| point.1).chain(level);
        (end, values.fold(0.01, f64::max) * 1.1)
    }

    fn draw(&self, area: &DrawingArea<SVGBackend, plotters::coord::Shift>) -> Drawn {
        let (end, top) = self.ranges();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(62)
            .build_cartesian_2d(0.0..end, 0.0..top)?;
        chart
            .configure_mesh()
            .light_line_style(TRANSPARENT)
            .x_desc("seconds from the start")
            .y_desc(self.title)
            .draw()?;
        for marker in self.markers {
            let bottom = (marker.seconds, 0.0);
            let top_end = (marker.seconds, top);
            draw_line(&mut chart, [bottom, top_end], 0.35, top_end, &marker.label)?;
        }
        if let Some(level) = &self.level {
            let (left, right) = ((0.0, level.value), (end, level.value));
            draw_line(&mut chart, [left, right], 0.6, left, level.label)?;
        }
        for curve in self.curves {
            draw_curve(&mut chart, curve)?;
        }
        if self.curves.len() > 1 {
            chart
                .configure_series_labels()
                .position(SeriesLabelPosition::UpperLeft)
                .background_style(WHITE.mix(0.8))
                .draw()?;
        }
        Ok(())
    }
}

/// Draws a straight line with a label.
fn draw_line(
    chart: &mut Chart,
    ends: [Point; 2],
    opacity: f64,
    label_position: Point,
    label: &str,
) -> Drawn {
    chart.draw_series([PathElement::new(ends, BLACK.mix(opacity))])?;
    chart.draw_series([Text::new(label.to_string(), label_position, FONT)])?;
    Ok(())
}

fn draw_curve(chart: &mut Chart, curve: &Curve) -> Drawn {
    let style = curve.color.stroke_width(2);
    chart
        .draw_series(LineSeries::new(curve.points.iter().copied(), style))?
        .label(curve.name)
        .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], style));
    Ok(())
}
