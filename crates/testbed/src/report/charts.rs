//! Draws charts over time as SVG, with faults as coloured bands behind the lines.

use crate::clock::seconds_from_micros;
use crate::measure::{TIME_STEP, TimeStep};
use plotters::coord::Shift;
use plotters::prelude::*;
use plotters::style::full_palette::{
    AMBER_100, BLUE_700, DEEPORANGE_600, GREEN_700, GREY_600, PURPLE_400, TEAL_600,
};

/// Width and height of a chart, in pixels.
const CHART_SIZE: (u32, u32) = (960, 240);
/// The maximum number of lines in a chart, as more cannot be told apart: those with the highest
/// values are drawn.
const MAX_LINES: usize = 24;
/// With more lines than this, the chart shows no names of lines.
const MAX_NAMED_LINES: usize = 8;
/// The value axis ends at the highest value times this factor.
const HEADROOM_FACTOR: f64 = 1.08;
/// The minimum end of the value axis: a chart whose values are all zero needs a range above zero.
const MIN_TOP_VALUE: f64 = 1e-9;

/// A chart that could not be drawn, and the reason.
#[derive(Debug, thiserror::Error)]
#[error("cannot draw the chart {title:?}: {reason}")]
pub struct ChartError {
    title: String,
    reason: String,
}

/// One line of a chart.
pub(super) struct Line {
    pub name: String,
    pub colour: RGBColor,
    /// One value for each time step.
    pub values: Vec<f64>,
}

/// The time during which a fault was active, in seconds since the start of the load.
pub(super) struct Band {
    pub start_s: f64,
    pub end_s: f64,
    pub name: String,
}

impl Line {
    /// A line through one figure of each step.
    pub fn new(
        steps: &[TimeStep],
        name: &str,
        colour: RGBColor,
        value_of: impl Fn(&TimeStep) -> f64,
    ) -> Line {
        Line { name: name.to_string(), colour, values: steps.iter().map(value_of).collect() }
    }

    fn max_value(&self) -> f64 {
        self.values.iter().copied().fold(0.0, f64::max)
    }
}

/// One line for each of `count` servers or proxies. Above `MAX_LINES`, only those with the highest
/// values are kept, in descending order.
pub(super) fn line_for_each(
    steps: &[TimeStep],
    name: &str,
    count: usize,
    value_of: impl Fn(&TimeStep, usize) -> f64,
) -> Vec<Line> {
    let palette = [BLUE_700, GREEN_700, DEEPORANGE_600, PURPLE_400, TEAL_600, GREY_600];
    let line = |i: usize| {
        let name = if count <= MAX_NAMED_LINES { format!("{name} {i}") } else { String::new() };
        Line::new(steps, &name, palette[i % palette.len()], |step| value_of(step, i))
    };
    let mut lines: Vec<Line> = (0..count).map(line).collect();
    if lines.len() > MAX_LINES {
        lines.sort_by(|one, other| other.max_value().total_cmp(&one.max_value()));
        lines.truncate(MAX_LINES);
    }
    lines
}

/// Draws a chart and returns it as SVG; the time axis ends at `end_s` seconds.
pub(super) fn chart(title: &str, lines: &[Line], bands: &[Band], end_s: f64) -> Result<String, ChartError> {
    let mut svg = String::new();
    let area = SVGBackend::with_string(&mut svg, CHART_SIZE).into_drawing_area();
    let drawn = draw(&area, title, lines, bands, end_s);
    drop(area);
    match drawn {
        Ok(()) => Ok(svg),
        Err(error) => Err(ChartError { title: title.to_string(), reason: error.to_string() }),
    }
}

type DrawError<'a> = DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>;

fn draw<'a>(
    area: &DrawingArea<SVGBackend<'a>, Shift>,
    title: &str,
    lines: &[Line],
    bands: &[Band],
    end_s: f64,
) -> Result<(), DrawError<'a>> {
    let top = lines.iter().map(Line::max_value).fold(0.0, f64::max).max(MIN_TOP_VALUE) * HEADROOM_FACTOR;
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 15))
        .margin(6)
        .x_label_area_size(22)
        .y_label_area_size(54)
        .build_cartesian_2d(0.0..end_s, 0.0..top)?;
    let band =
        |band: &Band| Rectangle::new([(band.start_s, 0.0), (band.end_s, top)], AMBER_100.mix(0.45).filled());
    chart.draw_series(bands.iter().map(band))?;
    chart.configure_mesh().light_line_style(TRANSPARENT).x_labels(20).y_labels(6).draw()?;
    for line in lines {
        let step_middle_s = |i: usize| seconds_from_micros(TIME_STEP) * (i as f64 + 0.5);
        let points = line.values.iter().enumerate().map(|(i, value)| (step_middle_s(i), *value));
        let drawn = chart.draw_series(LineSeries::new(points, line.colour.stroke_width(2)))?;
        if !line.name.is_empty() {
            let colour = line.colour;
            drawn
                .label(line.name.as_str())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], colour));
        }
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .background_style(WHITE.mix(0.8))
        .draw()?;
    area.present()
}
