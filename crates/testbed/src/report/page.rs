//! One page of HTML that opens offline: the verdict on top, then charts over time with the faults as bands behind them.

use crate::clock::seconds;
use crate::measure::{TIME_STEP, TimeStep, over_time};
use crate::report::table;
use crate::run::RunResult;
use plotters::prelude::*;
use plotters::style::full_palette::{
    AMBER_100, BLUE_700, DEEPORANGE_600, GREEN_700, GREY_600, PURPLE_400, TEAL_600,
};
use std::fmt::Write;

const SIZE: (u32, u32) = (960, 240);
/// More lines than that can't be told apart: the highest are drawn.
const MOST_LINES: usize = 24;

/// One line of a chart: its name, its colour, and its value at each step.
type Line = (String, RGBColor, Vec<f64>);

struct Band {
    from: f64,
    to: f64,
    name: String,
}

/// Charts end soon after the last request is due.
fn shown(played: &RunResult) -> f64 {
    played.experiment.seconds + 1.0
}

fn bands(played: &RunResult) -> Vec<Band> {
    let end = shown(played);
    let faults = played.experiment.faults.iter().map(|t| t.get_ref());
    faults
        .map(|t| Band {
            from: t.at,
            to: t.duration.map_or(t.at + 0.3, |lasts| (t.at + lasts).min(end)),
            name: t.kind.to_string(),
        })
        .collect()
}

fn chart(title: &str, lines: &[Line], bands: &[Band], end: f64) -> Result<String, String> {
    let mut svg = String::new();
    let top = lines.iter().flat_map(|l| l.2.iter().copied()).fold(0.0, f64::max).max(1e-9) * 1.08;
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let error = |e: &dyn std::fmt::Display| format!("chart {title}: {e}");
        area.fill(&WHITE).map_err(|e| error(&e))?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 15))
            .margin(6)
            .x_label_area_size(22)
            .y_label_area_size(54)
            .build_cartesian_2d(0.0..end, 0.0..top)
            .map_err(|e| error(&e))?;
        let spans =
            bands.iter().map(|b| Rectangle::new([(b.from, 0.0), (b.to, top)], AMBER_100.mix(0.45).filled()));
        chart.draw_series(spans).map_err(|e| error(&e))?;
        chart
            .configure_mesh()
            .light_line_style(TRANSPARENT)
            .x_labels(20)
            .y_labels(6)
            .draw()
            .map_err(|e| error(&e))?;
        for (name, colour, values) in lines {
            let points = values.iter().enumerate().map(|(i, v)| (seconds(TIME_STEP) * (i as f64 + 0.5), *v));
            let drawn =
                chart.draw_series(LineSeries::new(points, colour.stroke_width(2))).map_err(|e| error(&e))?;
            if !name.is_empty() {
                let colour = *colour;
                drawn
                    .label(name.as_str())
                    .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], colour));
            }
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperRight)
            .background_style(WHITE.mix(0.8))
            .draw()
            .map_err(|e| error(&e))?;
        area.present().map_err(|e| error(&e))?;
    }
    Ok(svg)
}

fn line(steps: &[TimeStep], name: &str, colour: RGBColor, pick: impl Fn(&TimeStep) -> f64) -> Line {
    (name.to_string(), colour, steps.iter().map(pick).collect())
}

/// A line for each of many, the highest first where there are too many.
fn many(steps: &[TimeStep], name: &str, count: usize, pick: impl Fn(&TimeStep, usize) -> f64) -> Vec<Line> {
    let palette = [BLUE_700, GREEN_700, DEEPORANGE_600, PURPLE_400, TEAL_600, GREY_600];
    let mut lines: Vec<Line> = (0..count)
        .map(|i| {
            let label = if count <= 8 { format!("{name} {i}") } else { String::new() };
            (label, palette[i % palette.len()], steps.iter().map(|s| pick(s, i)).collect())
        })
        .collect();
    if lines.len() > MOST_LINES {
        let most = |l: &Line| l.2.iter().copied().fold(0.0, f64::max);
        lines.sort_by(|a, b| most(b).total_cmp(&most(a)));
        lines.truncate(MOST_LINES);
    }
    lines
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

const STYLE: &str = "body{font:15px/1.45 sans-serif;max-width:1000px;margin:24px auto;padding:0 16px;color:#222}\
    pre{background:#f4f4f1;padding:12px;overflow-x:auto;font-size:13px}.kept{color:#2e7d32}.broken{color:#c62828}\
    svg{max-width:100%;height:auto;border:1px solid #ddd;margin:8px 0}td{padding:2px 14px 2px 0}";

/// The whole page.
pub fn page(played: &RunResult) -> Result<String, String> {
    let steps = over_time(&played.experiment, &played.verdict, &played.samples);
    let (bands, end) = (bands(played), shown(played));
    let steps = &steps[..((end / seconds(TIME_STEP)) as usize).min(steps.len())];
    let per_second = |n: usize| n as f64 / seconds(TIME_STEP);
    let (servers, proxies) = (played.experiment.world.servers, played.experiment.fleet.proxies);
    let charts = [
        (
            "Lookups a second",
            vec![
                line(steps, "first lookups due", GREY_600, |s| per_second(s.first)),
                line(steps, "of these in time", GREEN_700, |s| per_second(s.in_time)),
                line(steps, "deferred", PURPLE_400, |s| per_second(s.rejected)),
                line(steps, "failed", DEEPORANGE_600, |s| per_second(s.failed)),
            ],
        ),
        (
            "Time to the answer from when it was due, ms, of what was resolved",
            vec![
                line(steps, "p99", DEEPORANGE_600, |s| s.p99_ms),
                line(steps, "p50", BLUE_700, |s| s.p50_ms),
            ],
        ),
        (
            "Shots a lookup",
            vec![line(steps, "", TEAL_600, |s| {
                s.attempts as f64 / (s.served + s.rejected + s.failed).max(1) as f64
            })],
        ),
        (
            "In flight by cache (the last is the origin)",
            many(steps, "cache", servers, |s, i| s.in_flight[i] as f64),
        ),
        ("CPU of each proxy, part of a core", many(steps, "proxy", proxies, |s, i| s.cpu[i])),
        ("Memory of each proxy, MB", many(steps, "proxy", proxies, |s, i| s.memory_mb[i])),
    ];
    let passed = played.passed();
    let mut html = format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title><style>{STYLE}</style>\
         <h1>{title}</h1><p class=\"{}\"><b>{}</b></p><pre>{}</pre>",
        if passed { "kept" } else { "broken" },
        if passed {
            "Rules kept, and every stated bound holds."
        } else {
            "Rules broken or bounds not held: see below."
        },
        escaped(&table::verdict(played)),
        title = escaped(&played.experiment.title),
    );
    if !bands.is_empty() {
        html += "<p>Troubles, as bands in the charts:</p><table>";
        for b in &bands {
            _ = write!(html, "<tr><td>{:.1} s</td><td>to {:.1} s</td><td>{}</td></tr>", b.from, b.to, b.name);
        }
        html += "</table>";
    }
    for (title, lines) in &charts {
        html += &chart(title, lines, &bands, end)?;
    }
    Ok(html + "</html>\n")
}
