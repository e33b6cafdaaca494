//! One page of HTML that opens offline: the verdict on top, then charts over time with the faults as bands behind them.

pub use super::charts::ChartError;

use super::charts::{Band, Line, chart, line_for_each};
use super::verdict::verdict;
use crate::clock::seconds;
use crate::experiment::Fault;
use crate::measure::{TIME_STEP, TimeStep, over_time};
use crate::run::RunResult;
use plotters::style::full_palette::{BLUE_700, DEEPORANGE_600, GREEN_700, GREY_600, PURPLE_400, TEAL_600};
use std::fmt::Write;

/// Charts end so soon after the last request is due.
const SHOWN_AFTER_S: f64 = 1.0;
/// How wide a fault without a duration is drawn.
const MOMENT_S: f64 = 0.3;

const STYLE: &str = "body{font:15px/1.45 sans-serif;max-width:1000px;margin:24px auto;padding:0 16px;color:#222}\
    pre{background:#f4f4f1;padding:12px;overflow-x:auto;font-size:13px}.kept{color:#2e7d32}.broken{color:#c62828}\
    svg{max-width:100%;height:auto;border:1px solid #ddd;margin:8px 0}td{padding:2px 14px 2px 0}";

/// A chart's title and lines.
struct Chart {
    title: &'static str,
    lines: Vec<Line>,
}

/// The whole page.
pub fn page(result: &RunResult) -> Result<String, ChartError> {
    let steps = over_time(&result.experiment, &result.verdict, &result.samples);
    let end = result.experiment.seconds + SHOWN_AFTER_S;
    let steps = &steps[..((end / seconds(TIME_STEP)) as usize).min(steps.len())];
    let bands = bands(result, end);
    let mut html = head(result);
    if !bands.is_empty() {
        html += &table_of_bands(&bands);
    }
    for Chart { title, lines } in charts(result, steps) {
        html += &chart(title, &lines, &bands, end)?;
    }
    Ok(html + "</html>\n")
}

fn bands(result: &RunResult, end: f64) -> Vec<Band> {
    let to =
        |fault: &Fault| fault.duration.map_or(fault.at + MOMENT_S, |duration| (fault.at + duration).min(end));
    let band = |fault: &Fault| Band { from: fault.at, to: to(fault), name: fault.kind.to_string() };
    result.experiment.each_fault().map(band).collect()
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

fn head(result: &RunResult) -> String {
    let title = escaped(&result.experiment.title);
    let (class, summary) = if result.passed() {
        ("kept", "Rules kept, and every stated bound holds.")
    } else {
        ("broken", "Rules broken or bounds not held: see below.")
    };
    let verdict = escaped(&verdict(result));
    format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title><style>{STYLE}</style>\
         <h1>{title}</h1><p class=\"{class}\"><b>{summary}</b></p><pre>{verdict}</pre>"
    )
}

fn table_of_bands(bands: &[Band]) -> String {
    let mut html = "<p>Faults, as bands in the charts:</p><table>".to_string();
    for Band { from, to, name } in bands {
        // Writing to a string does not fail.
        _ = write!(html, "<tr><td>{from:.1} s</td><td>to {to:.1} s</td><td>{name}</td></tr>");
    }
    html + "</table>"
}

fn charts(result: &RunResult, steps: &[TimeStep]) -> Vec<Chart> {
    let servers = result.experiment.world.servers;
    let proxies = result.experiment.fleet.proxies;
    let attempts_per_request =
        |step: &TimeStep| step.attempts as f64 / (step.served + step.rejected + step.failed).max(1) as f64;
    vec![
        Chart { title: "Requests a second", lines: rates(steps) },
        Chart {
            title: "Time to the answer from when it was due, ms, of what was served",
            lines: vec![
                Line::new(steps, "p99", DEEPORANGE_600, |step| step.p99_ms),
                Line::new(steps, "p50", BLUE_700, |step| step.p50_ms),
            ],
        },
        Chart {
            title: "Attempts a request",
            lines: vec![Line::new(steps, "", TEAL_600, attempts_per_request)],
        },
        Chart {
            title: "In flight by server",
            lines: line_for_each(steps, "server", servers, |step, i| step.in_flight[i] as f64),
        },
        Chart {
            title: "CPU of each proxy, part of a core",
            lines: line_for_each(steps, "proxy", proxies, |step, i| step.cpu[i]),
        },
        Chart {
            title: "Memory of each proxy, MB",
            lines: line_for_each(steps, "proxy", proxies, |step, i| step.memory_mb[i]),
        },
    ]
}

fn rates(steps: &[TimeStep]) -> Vec<Line> {
    let per_second = |count: usize| count as f64 / seconds(TIME_STEP);
    vec![
        Line::new(steps, "first requests due", GREY_600, |step| per_second(step.first)),
        Line::new(steps, "of these in time", GREEN_700, |step| per_second(step.in_time)),
        Line::new(steps, "rejected", PURPLE_400, |step| per_second(step.rejected)),
        Line::new(steps, "failed", DEEPORANGE_600, |step| per_second(step.failed)),
    ]
}
