//! Charts over time as SVG, with the faults as bands behind the lines.

use crate::clock::seconds;
use crate::measure::{TIME_STEP, TimeStep};
use plotters::coord::Shift;
use plotters::prelude::*;
use plotters::style::full_palette::{
    AMBER_100, BLUE_700, DEEPORANGE_600, GREEN_700, GREY_600, PURPLE_400, TEAL_600,
};

const SIZE: (u32, u32) = (960, 240);
/// More lines than that cannot be distinguished: the highest are drawn.
const MAX_LINES: usize = 24;
/// More lines than that have no names in the chart.
const MAX_NAMED_LINES: usize = 8;
/// Above the highest value.
const HEADROOM: f64 = 1.08;
/// A chart of nothing but zeros still needs a height.
const MIN_HEIGHT: f64 = 1e-9;

/// A chart could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("chart {title}: {reason}")]
pub struct ChartError {
    title: String,
    reason: String,
}

/// One line of a chart.
pub(super) struct Line {
    pub name: String,
    pub colour: RGBColor,
    /// At each step.
    pub values: Vec<f64>,
}

/// When a fault was on, in seconds.
pub(super) struct Band {
    pub from: f64,
    pub to: f64,
    pub name: String,
}

impl Line {
    /// A line of one figure of each step.
    pub fn new(steps: &[TimeStep], name: &str, colour: RGBColor, pick: impl Fn(&TimeStep) -> f64) -> Line {
        Line { name: name.to_string(), colour, values: steps.iter().map(pick).collect() }
    }

    fn highest(&self) -> f64 {
        self.values.iter().copied().fold(0.0, f64::max)
    }
}

/// A line for each of many, the highest first where there are too many.
pub(super) fn line_for_each(
    steps: &[TimeStep],
    name: &str,
    count: usize,
    pick: impl Fn(&TimeStep, usize) -> f64,
) -> Vec<Line> {
    let palette = [BLUE_700, GREEN_700, DEEPORANGE_600, PURPLE_400, TEAL_600, GREY_600];
    let line = |i: usize| {
        let name = if count <= MAX_NAMED_LINES { format!("{name} {i}") } else { String::new() };
        Line::new(steps, &name, palette[i % palette.len()], |step| pick(step, i))
    };
    let mut lines: Vec<Line> = (0..count).map(line).collect();
    if lines.len() > MAX_LINES {
        lines.sort_by(|one, other| other.highest().total_cmp(&one.highest()));
        lines.truncate(MAX_LINES);
    }
    lines
}

/// A chart as SVG.
pub(super) fn chart(title: &str, lines: &[Line], bands: &[Band], end: f64) -> Result<String, ChartError> {
    let mut svg = String::new();
    let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
    let drawn = draw(&area, title, lines, bands, end);
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
    end: f64,
) -> Result<(), DrawError<'a>> {
    let top = lines.iter().map(Line::highest).fold(0.0, f64::max).max(MIN_HEIGHT) * HEADROOM;
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 15))
        .margin(6)
        .x_label_area_size(22)
        .y_label_area_size(54)
        .build_cartesian_2d(0.0..end, 0.0..top)?;
    let band = |band: &Band| Rectangle::new([(band.from, 0.0), (band.to, top)], AMBER_100.mix(0.45).filled());
    chart.draw_series(bands.iter().map(band))?;
    chart.configure_mesh().light_line_style(TRANSPARENT).x_labels(20).y_labels(6).draw()?;
    for line in lines {
        let middle = |i: usize| seconds(TIME_STEP) * (i as f64 + 0.5);
        let points = line.values.iter().enumerate().map(|(i, value)| (middle(i), *value));
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
