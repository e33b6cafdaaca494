//! Runs of two or more commands beside each other: medians with the least and the most, and ratios round by round.

use crate::measure::{DuringFaults, Figures, share};
use std::fmt::Write;

/// A row of the comparison: a figure and its name.
struct Row {
    name: &'static str,
    pick: fn(&Figures) -> f64,
}

const ROWS: [Row; 9] = [
    Row { name: "in time", pick: |figures| figures.in_time },
    Row { name: "worst 5 s", pick: |figures| figures.worst_window },
    Row { name: "rejected", pick: |figures| share(figures.rejected, figures.requests) },
    Row { name: "failed", pick: |figures| share(figures.failed, figures.requests) },
    Row { name: "attempts/request", pick: |figures| figures.attempts_per_request },
    Row { name: "CPU us/request", pick: |figures| figures.cpu_us_per_request },
    Row { name: "memory MB", pick: |figures| figures.memory_mb_peak },
    Row { name: "collapsed", pick: |figures| figures.collapsed as f64 },
    Row { name: "rules broken", pick: |figures| figures.breaches_in_all as f64 },
];

/// Shown where faults have an end in all runs.
const FAULT_ROWS: [Row; 5] = [
    Row { name: "in time, faults", pick: |figures| during(figures, |during| during.in_time) },
    Row { name: "requests/first", pick: |figures| during(figures, |during| during.requests_per_first) },
    Row { name: "at servers", pick: |figures| during(figures, |during| during.server_attempts_per_first) },
    Row { name: "at the origin", pick: |figures| during(figures, |during| during.origin_attempts_per_first) },
    Row {
        name: "recovered, s",
        pick: |figures| during(figures, |during| during.recovered_s.unwrap_or(f64::INFINITY)),
    },
];

fn during(figures: &Figures, pick: fn(&DuringFaults) -> f64) -> f64 {
    figures.during_faults.as_ref().map_or(f64::NAN, pick)
}

/// The comparison; `runs` are those of each command, round by round. Writing to a string does not fail.
pub fn comparison(commands: &[String], runs: &[Vec<Figures>]) -> String {
    let mut out = String::new();
    for (i, command) in commands.iter().enumerate() {
        _ = writeln!(out, "{}: {command}", letter(i));
    }
    _ = write!(out, "{:<16}", "");
    for i in 0..commands.len() {
        _ = write!(out, " {:>28}", letter(i));
    }
    _ = writeln!(out, " {:>24}", "A to each, round by round");
    let faults_end = runs.iter().flatten().all(|figures| figures.during_faults.is_some());
    for row in ROWS.iter().chain(FAULT_ROWS.iter().filter(|_| faults_end)) {
        write_row(&mut out, row, runs);
    }
    out
}

fn write_row(out: &mut String, row: &Row, runs: &[Vec<Figures>]) {
    let pick = row.pick;
    _ = write!(out, "{:<16}", row.name);
    for own in runs {
        let Spread { least, median, most } = Spread::new(own.iter().map(pick).collect());
        _ = write!(out, " {:>28}", format!("{median:.4} ({least:.4}-{most:.4})"));
    }
    for other in &runs[1..] {
        let pairs = runs[0].iter().zip(other);
        let ratios = pairs.map(|(first, second)| pick(first) / pick(second));
        let ratios: Vec<f64> = ratios.filter(|ratio| ratio.is_finite()).collect();
        if ratios.is_empty() {
            _ = write!(out, " {:>24}", "-");
        } else {
            let Spread { least, median, most } = Spread::new(ratios);
            _ = write!(out, " {:>24}", format!("{median:.3} ({least:.3}-{most:.3})"));
        }
    }
    out.push('\n');
}

fn letter(i: usize) -> char {
    (b'A' + i as u8) as char
}

/// Least, median and most of some values.
struct Spread {
    least: f64,
    median: f64,
    most: f64,
}

impl Spread {
    fn new(mut values: Vec<f64>) -> Spread {
        values.sort_by(f64::total_cmp);
        let at = |i: usize| values.get(i).copied().unwrap_or(f64::NAN);
        Spread { least: at(0), median: at(values.len() / 2), most: at(values.len().saturating_sub(1)) }
    }
}
