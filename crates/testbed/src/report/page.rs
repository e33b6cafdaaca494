//! A self-contained HTML page: the verdict at the top, then charts over time with faults as bands.

pub use super::charts::ChartError;

use super::charts::{Band, Line, chart, line_for_each};
use super::verdict::verdict;
use crate::clock::seconds_from_micros;
use crate::experiment::Fault;
use crate::measure::{TIME_STEP, TimeStep, over_time};
use crate::run::RunResult;
use plotters::style::full_palette::{BLUE_700, DEEPORANGE_600, GREEN_700, GREY_600, PURPLE_400, TEAL_600};
use std::fmt::Write;

/// Charts end this long after the last request is due.
const TIME_AFTER_LAST_REQUEST_S: f64 = 1.0;
/// The length of the band of a fault that has no duration.
const POINT_BAND_S: f64 = 0.3;

const STYLE: &str = "body{font:15px/1.45 sans-serif;max-width:1000px;margin:24px auto;padding:0 16px;color:#222}\
    pre{background:#f4f4f1;padding:12px;overflow-x:auto;font-size:13px}.kept{color:#2e7d32}.broken{color:#c62828}\
    svg{max-width:100%;height:auto;border:1px solid #ddd;margin:8px 0}td{padding:2px 14px 2px 0}";

/// A chart's title and lines.
struct Chart {
    title: &'static str,
    lines: Vec<Line>,
}

/// Renders the page of a run.
pub fn page(result: &RunResult) -> Result<String, ChartError> {
    let steps = over_time(&result.experiment, &result.verdict, &result.samples);
    let end_s = result.experiment.seconds + TIME_AFTER_LAST_REQUEST_S;
    let steps = &steps[..((end_s / seconds_from_micros(TIME_STEP)) as usize).min(steps.len())];
    let bands = bands(result, end_s);
    let mut html = head(result);
    if !bands.is_empty() {
        html += &table_of_bands(&bands);
    }
    for Chart { title, lines } in charts(result, steps) {
        html += &chart(title, &lines, &bands, end_s)?;
    }
    Ok(html + "</html>\n")
}

fn bands(result: &RunResult, end: f64) -> Vec<Band> {
    let band_end =
        |fault: &Fault| fault.duration.map_or(fault.at + POINT_BAND_S, |length| (fault.at + length).min(end));
    let band =
        |fault: &Fault| Band { start_s: fault.at, end_s: band_end(fault), name: fault.kind.to_string() };
    result.experiment.faults_in_order().map(band).collect()
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

fn head(result: &RunResult) -> String {
    let title = escape_html(&result.experiment.title);
    let (class, summary) = if result.passed() {
        ("kept", "No rule was broken, and every stated bound holds.")
    } else {
        ("broken", "Rules were broken or stated bounds do not hold: see below.")
    };
    let verdict = escape_html(&verdict(result));
    format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title><style>{STYLE}</style>\
         <h1>{title}</h1><p class=\"{class}\"><b>{summary}</b></p><pre>{verdict}</pre>"
    )
}

fn table_of_bands(bands: &[Band]) -> String {
    let mut html = "<p>Faults, shown as bands in the charts:</p><table>".to_string();
    for Band { start_s, end_s, name } in bands {
        // Writing to a string cannot fail.
        _ = write!(html, "<tr><td>{start_s:.1} s</td><td>to {end_s:.1} s</td><td>{name}</td></tr>");
    }
    html + "</table>"
}

fn charts(result: &RunResult, steps: &[TimeStep]) -> Vec<Chart> {
    let servers = result.experiment.world.servers;
    let proxies = result.experiment.fleet.proxies;
    let attempts_per_request =
        |step: &TimeStep| step.attempts as f64 / (step.served + step.rejected + step.failed).max(1) as f64;
    vec![
        Chart { title: "Requests per second", lines: rates(steps) },
        Chart {
            title: "Latency of served requests from the time they were due, ms",
            lines: vec![
                Line::new(steps, "p99", DEEPORANGE_600, |step| step.p99_ms),
                Line::new(steps, "p50", BLUE_700, |step| step.p50_ms),
            ],
        },
        Chart {
            title: "Attempts per request",
            lines: vec![Line::new(steps, "", TEAL_600, attempts_per_request)],
        },
        Chart {
            title: "Attempts in flight, by server",
            lines: line_for_each(steps, "server", servers, |step, i| step.in_flight[i] as f64),
        },
        Chart {
            title: "CPU use of each proxy, cores",
            lines: line_for_each(steps, "proxy", proxies, |step, i| step.cpu[i]),
        },
        Chart {
            title: "Memory of each proxy, MB",
            lines: line_for_each(steps, "proxy", proxies, |step, i| step.memory_mb[i]),
        },
    ]
}

fn rates(steps: &[TimeStep]) -> Vec<Line> {
    let per_second = |count: usize| count as f64 / seconds_from_micros(TIME_STEP);
    vec![
        Line::new(steps, "first requests due", GREY_600, |step| per_second(step.first_requests)),
        Line::new(steps, "first requests in time", GREEN_700, |step| per_second(step.in_time)),
        Line::new(steps, "rejected", PURPLE_400, |step| per_second(step.rejected)),
        Line::new(steps, "failed", DEEPORANGE_600, |step| per_second(step.failed)),
    ]
}
