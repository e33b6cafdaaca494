//! The verdict and the figures of a run as lines of text.

use crate::measure::{ClassFigures, DuringFaults, Figures, share};
use crate::run::RunResult;
use std::fmt::Write;

/// The maximum number of breaches that are shown.
const MAX_SHOWN_BREACHES: usize = 10;

/// Writes one line of text. The result is ignored, as writing to a string cannot fail.
macro_rules! line {
    ($out:expr, $($text:tt)*) => {
        _ = writeln!($out, $($text)*)
    };
}

/// The figures of a run, then the broken rules and the bounds that do not hold.
pub fn verdict(result: &RunResult) -> String {
    let mut out = String::new();
    figures(&mut out, &result.figures);
    let verdict = &result.verdict;
    if verdict.breaches.is_empty() {
        line!(out, "  rules kept; {} servers collapsed", verdict.collapsed);
    } else {
        let breaches = verdict.breaches.len() + verdict.unlisted_breaches;
        line!(out, "  RULES BROKEN, {breaches} times; {} servers collapsed", verdict.collapsed);
    }
    for breach in verdict.breaches.iter().take(MAX_SHOWN_BREACHES) {
        line!(out, "    {breach}");
    }
    for bound in &result.violated_bounds {
        line!(out, "  OUT OF BOUNDS: {bound}");
    }
    out
}

fn figures(out: &mut String, figures: &Figures) {
    line!(out, "{}  (seed {}, {} proxies)", figures.title, figures.seed, figures.proxies);
    outcomes(out, figures);
    costs(out, figures);
    if let Some(fault_figures) = &figures.during_faults {
        during_faults(out, fault_figures);
    }
    drains(out, figures);
    sources(out, figures);
    table(out, "request class", &figures.by_class);
    table(out, "tenant", &figures.by_tenant);
}

fn outcomes(out: &mut String, figures: &Figures) {
    let percent = |count: usize| 100.0 * share(count, figures.requests);
    line!(
        out,
        "  in time {:.2}% of {} first requests, {:.2}% in the worst 5 s",
        100.0 * figures.in_time,
        figures.first_requests,
        100.0 * figures.worst_window
    );
    line!(
        out,
        "  {} requests: served {:.2}%, rejected {:.2}%, failed {:.2}%",
        figures.requests,
        percent(figures.served),
        percent(figures.rejected),
        percent(figures.failed)
    );
    line!(
        out,
        "  invalid {}, cancelled {}, killed {}, not accepted {}, unanswered {}",
        figures.invalid,
        figures.cancelled,
        figures.killed,
        figures.not_accepted,
        figures.unanswered
    );
}

fn costs(out: &mut String, figures: &Figures) {
    line!(
        out,
        "  {:.3} attempts per request, {:.1}% of them at the origin, {:.1}% across zones; busiest \
         server {:.1}%",
        figures.attempts_per_request,
        100.0 * share(figures.origin_attempts, figures.attempts),
        100.0 * share(figures.cross_zone_attempts, figures.attempts),
        100.0 * figures.busiest_share
    );
    line!(
        out,
        "  {:.1} us of CPU per request, {:.1} MB peak memory; the testbed's 99th percentile send \
         delay was {:.2} ms",
        figures.cpu_us_per_request,
        figures.memory_mb_peak,
        figures.send_delay_p99_ms
    );
}

fn during_faults(out: &mut String, fault_figures: &DuringFaults) {
    let recovered =
        fault_figures.recovered_s.map_or("not by the end".to_string(), |s| format!("after {s:.0} s"));
    line!(
        out,
        "  during faults {:.2}% in time; per first request {:.3} requests, {:.3} attempts at \
         servers, {:.3} at the origin; recovered {recovered}",
        100.0 * fault_figures.in_time,
        fault_figures.requests_per_first,
        fault_figures.server_attempts_per_first,
        fault_figures.origin_attempts_per_first
    );
}

fn drains(out: &mut String, figures: &Figures) {
    let drains = &figures.drains;
    if drains.notified > 0 {
        line!(
            out,
            "  {} times a proxy was notified that a server is off; its last attempt there came \
             after {:.1} ms (p50), {:.1} ms (p99), {:.1} ms (max)",
            drains.notified,
            drains.p50_ms,
            drains.p99_ms,
            drains.max_ms
        );
    }
}

/// Figures that exist only for some protocols and some sources of the endpoint list.
fn sources(out: &mut String, figures: &Figures) {
    if let Some(redirections) = &figures.redirections {
        line!(
            out,
            "  {:.4} redirections per request, {:.5} for the {} requests after the slot maps had settled",
            redirections.per_request,
            redirections.settled_per_request,
            redirections.settled_requests
        );
    }
    if let Some(etcd) = &figures.etcd {
        line!(
            out,
            "  etcd was called {:.1} times per second; {} watches were lost, and established again \
             after {:.0} ms (p50), {:.0} ms (p99), {:.0} ms (max)",
            etcd.calls_per_second,
            etcd.watches_lost,
            etcd.recovery_p50_ms,
            etcd.recovery_p99_ms,
            etcd.recovery_max_ms
        );
    }
}

fn table(out: &mut String, group_kind: &str, rows: &[ClassFigures]) {
    if rows.is_empty() {
        return;
    }
    line!(
        out,
        "  {group_kind:<18} {:>9} {:>8} {:>9} {:>9} {:>9}",
        "first",
        "in time",
        "p50 ms",
        "p99 ms",
        "p99.9 ms"
    );
    for row in rows {
        line!(
            out,
            "  {:<18} {:>9} {:>7.2}% {:>9.2} {:>9.2} {:>9.2}",
            row.name,
            row.first_requests,
            100.0 * row.in_time,
            row.p50_ms,
            row.p99_ms,
            row.p99_9_ms
        );
    }
}
