//! The verdict and the figures as lines of text.

use crate::measure::{ClassFigures, DuringFaults, Figures, share};
use crate::run::RunResult;
use std::fmt::Write;

/// Breaches shown in full.
const SHOWN: usize = 10;

fn parts(out: &mut String, what: &str, parts: &[ClassFigures]) {
    if parts.is_empty() {
        return;
    }
    _ = writeln!(
        out,
        "  {what:<18} {:>9} {:>8} {:>9} {:>9} {:>9}",
        "first", "in time", "p50 ms", "p99 ms", "p99.9 ms"
    );
    for p in parts {
        _ = writeln!(
            out,
            "  {:<18} {:>9} {:>7.2}% {:>9.2} {:>9.2} {:>9.2}",
            p.name,
            p.first_requests,
            100.0 * p.in_time,
            p.p50_ms,
            p.p99_ms,
            p.p99_9_ms
        );
    }
}

pub fn figures(out: &mut String, f: &Figures) {
    let part = |n: usize| 100.0 * share(n, f.requests);
    _ = writeln!(out, "{}  (seed {}, {} proxies)", f.title, f.seed, f.proxies);
    _ = writeln!(
        out,
        "  in time {:.2}% of {} first lookups, {:.2}% in the worst 5 s",
        100.0 * f.in_time,
        f.first_requests,
        100.0 * f.worst_window
    );
    _ = writeln!(
        out,
        "  {} lookups: resolved {:.2}%, deferred {:.2}%, abandoned {:.2}%\n  turned down {}, left {}, killed {}, not taken {}, unanswered {}",
        f.requests,
        part(f.served),
        part(f.rejected),
        part(f.failed),
        f.invalid,
        f.cancelled,
        f.killed,
        f.not_accepted,
        f.unanswered
    );
    _ = writeln!(
        out,
        "  {:.3} shots a lookup, {:.1}% of them at the origin, {:.1}% across zones; busiest cache {:.1}%",
        f.attempts_per_request,
        100.0 * share(f.origin_attempts, f.attempts),
        100.0 * share(f.cross_zone_attempts, f.attempts),
        100.0 * f.busiest_share
    );
    _ = writeln!(
        out,
        "  {:.1} us of CPU a lookup, {:.1} MB at most; the lab was {:.2} ms late at its 99th percentile",
        f.cpu_us_per_request, f.memory_mb_peak, f.send_delay_p99_ms
    );
    if let Some(t) = &f.fault {
        let back = t.recovered_s.map_or("not by the end".to_string(), |s| format!("after {s:.0} s"));
        _ = writeln!(
            out,
            "  while in trouble {:.2}% in time; to a first lookup {:.3} lookups, {:.3} shots at caches, {:.3} at the origin; as before {back}",
            100.0 * t.in_time,
            t.requests_per_first,
            t.server_attempts_per_first,
            t.origin_attempts_per_first
        );
    }
    if f.drains.notified > 0 {
        let d = &f.drains;
        _ = writeln!(
            out,
            "  {} times a proxy was told that a cache is off; its last shot there came after {:.1} ms (p50), {:.1} ms (p99), {:.1} ms (longest)",
            d.notified, d.p50_ms, d.p99_ms, d.max_ms
        );
    }
    if let Some(r) = &f.redirections {
        _ = writeln!(
            out,
            "  {:.4} redirections a lookup, {:.5} for the {} that came once the map had settled",
            r.per_request, r.settled_per_request, r.settled_requests
        );
    }
    if let Some(e) = &f.etcd {
        _ = writeln!(
            out,
            "  etcd was asked {:.1} times a second; {} watches were lost, and back after {:.0} ms (p50), {:.0} ms (p99), {:.0} ms (longest)",
            e.calls_per_second, e.watches_lost, e.recovery_p50_ms, e.recovery_p99_ms, e.recovery_max_ms
        );
    }
    parts(out, "namespace", &f.by_class);
    parts(out, "tenant", &f.by_tenant);
}

pub fn verdict(played: &RunResult) -> String {
    let mut out = String::new();
    figures(&mut out, &played.figures);
    let verdict = &played.verdict;
    if verdict.breaches.is_empty() {
        _ = writeln!(out, "  rules kept; {} caches pushed over", verdict.collapsed);
    } else {
        _ = writeln!(
            out,
            "  RULES BROKEN, {} times; {} caches pushed over",
            verdict.breaches.len() + verdict.uncounted,
            verdict.collapsed
        );
    }
    for breach in verdict.breaches.iter().take(SHOWN) {
        _ = writeln!(out, "    {breach}");
    }
    for bound in &played.out_of_bounds {
        _ = writeln!(out, "  OUT OF BOUNDS: {bound}");
    }
    out
}

/// Runs of two or more commands beside each other, medians with the least and the most.
pub fn comparison(names: &[String], runs: &[Vec<Figures>]) -> String {
    let mut out = String::new();
    type Pick = fn(&Figures) -> f64;
    let fault_rows: [(&str, Pick); 5] = [
        ("in time, trouble", |f| during_faults(f, |t| t.in_time)),
        ("lookups to first", |f| during_faults(f, |t| t.requests_per_first)),
        ("at caches", |f| during_faults(f, |t| t.server_attempts_per_first)),
        ("at the origin", |f| during_faults(f, |t| t.origin_attempts_per_first)),
        ("as before, s", |f| during_faults(f, |t| t.recovered_s.unwrap_or(f64::INFINITY))),
    ];
    let rows: [(&str, Pick); 9] = [
        ("in time", |f| f.in_time),
        ("worst 5 s", |f| f.worst_window),
        ("deferred", |f| share(f.rejected, f.requests)),
        ("abandoned", |f| share(f.failed, f.requests)),
        ("shots a lookup", |f| f.attempts_per_request),
        ("CPU us a lookup", |f| f.cpu_us_per_request),
        ("memory MB", |f| f.memory_mb_peak),
        ("caches fallen", |f| f.collapsed as f64),
        ("rules broken", |f| f.breaches_in_all as f64),
    ];
    for (i, name) in names.iter().enumerate() {
        _ = writeln!(out, "{}: {name}", letter(i));
    }
    _ = write!(out, "{:<16}", "");
    for i in 0..names.len() {
        _ = write!(out, " {:>28}", letter(i));
    }
    _ = writeln!(out, " {:>24}", "A to each, round by round");
    let notified = runs.iter().flatten().all(|f| f.fault.is_some());
    for (name, pick) in rows.into_iter().chain(fault_rows.into_iter().filter(|_| notified)) {
        _ = write!(out, "{name:<16}");
        for own in runs {
            let (low, mid, high) = spread(own.iter().map(pick).collect());
            _ = write!(out, " {:>28}", format!("{mid:.4} ({low:.4}-{high:.4})"));
        }
        for other in &runs[1..] {
            let ratios = runs[0].iter().zip(other).map(|(a, b)| pick(a) / pick(b)).filter(|r| r.is_finite());
            let ratios: Vec<f64> = ratios.collect();
            if ratios.is_empty() {
                _ = write!(out, " {:>24}", "-");
            } else {
                let (low, mid, high) = spread(ratios);
                _ = write!(out, " {:>24}", format!("{mid:.3} ({low:.3}-{high:.3})"));
            }
        }
        out.push('\n');
    }
    out
}

fn during_faults(f: &Figures, pick: fn(&DuringFaults) -> f64) -> f64 {
    f.fault.as_ref().map_or(f64::NAN, pick)
}

fn letter(i: usize) -> char {
    (b'A' + i as u8) as char
}

/// Least, median and most.
fn spread(mut of: Vec<f64>) -> (f64, f64, f64) {
    of.sort_by(f64::total_cmp);
    let at = |i: usize| of.get(i).copied().unwrap_or(f64::NAN);
    (at(0), at(of.len() / 2), at(of.len().saturating_sub(1)))
}
