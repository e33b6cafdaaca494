//! Compares runs of two or more commands: medians with minimum and maximum, and the ratios of the
//! first command's figures to each other command's in the same round.

use crate::measure::{DuringFaults, Figures, share};
use std::fmt::Write;

/// A row of the comparison: the name of a figure, and how it is read from a run's figures.
struct Row {
    name: &'static str,
    value_of: fn(&Figures) -> f64,
}

const ROWS: [Row; 9] = [
    Row { name: "in time", value_of: |figures| figures.in_time },
    Row { name: "worst 5 s", value_of: |figures| figures.worst_window },
    Row { name: "rejected", value_of: |figures| share(figures.rejected, figures.requests) },
    Row { name: "failed", value_of: |figures| share(figures.failed, figures.requests) },
    Row { name: "attempts/request", value_of: |figures| figures.attempts_per_request },
    Row { name: "CPU us/request", value_of: |figures| figures.cpu_us_per_request },
    Row { name: "memory MB", value_of: |figures| figures.memory_mb_peak },
    Row { name: "collapsed", value_of: |figures| figures.collapsed as f64 },
    Row { name: "rules broken", value_of: |figures| figures.breaches_in_all as f64 },
];

/// Rows that are shown if all faults of all runs end before the run does.
const FAULT_ROWS: [Row; 5] = [
    Row { name: "in time, faults", value_of: |figures| fault_figure(figures, |faults| faults.in_time) },
    Row {
        name: "requests/first",
        value_of: |figures| fault_figure(figures, |faults| faults.requests_per_first),
    },
    Row {
        name: "at servers",
        value_of: |figures| fault_figure(figures, |faults| faults.server_attempts_per_first),
    },
    Row {
        name: "at the origin",
        value_of: |figures| fault_figure(figures, |faults| faults.origin_attempts_per_first),
    },
    Row {
        name: "recovered, s",
        value_of: |figures| fault_figure(figures, |faults| faults.recovered_s.unwrap_or(f64::INFINITY)),
    },
];

fn fault_figure(figures: &Figures, value_of: fn(&DuringFaults) -> f64) -> f64 {
    figures.during_faults.as_ref().map_or(f64::NAN, value_of)
}

/// The comparison as text. `runs` has the figures of each command's runs, in the order of the
/// rounds. The results of writing are ignored, as writing to a string cannot fail.
pub fn comparison(commands: &[String], runs: &[Vec<Figures>]) -> String {
    let mut out = String::new();
    for (i, command) in commands.iter().enumerate() {
        _ = writeln!(out, "{}: {command}", command_letter(i));
    }
    _ = write!(out, "{:<16}", "");
    for i in 0..commands.len() {
        _ = write!(out, " {:>28}", command_letter(i));
    }
    _ = writeln!(out, " {:>24}", "A to each, round by round");
    let faults_end = runs.iter().flatten().all(|figures| figures.during_faults.is_some());
    for row in ROWS.iter().chain(FAULT_ROWS.iter().filter(|_| faults_end)) {
        write_row(&mut out, row, runs);
    }
    out
}

fn write_row(out: &mut String, row: &Row, runs: &[Vec<Figures>]) {
    let value_of = row.value_of;
    _ = write!(out, "{:<16}", row.name);
    for command_runs in runs {
        let Spread { min, median, max } = Spread::new(command_runs.iter().map(value_of).collect());
        _ = write!(out, " {:>28}", format!("{median:.4} ({min:.4}-{max:.4})"));
    }
    for other_runs in &runs[1..] {
        let pairs = runs[0].iter().zip(other_runs);
        let ratios = pairs.map(|(first, second)| value_of(first) / value_of(second));
        let ratios: Vec<f64> = ratios.filter(|ratio| ratio.is_finite()).collect();
        if ratios.is_empty() {
            _ = write!(out, " {:>24}", "-");
        } else {
            let Spread { min, median, max } = Spread::new(ratios);
            _ = write!(out, " {:>24}", format!("{median:.3} ({min:.3}-{max:.3})"));
        }
    }
    out.push('\n');
}

/// The letter that stands for a command in the table: A for the first.
fn command_letter(i: usize) -> char {
    (b'A' + i as u8) as char
}

/// Minimum, median and maximum of some values.
struct Spread {
    min: f64,
    median: f64,
    max: f64,
}

impl Spread {
    fn new(mut values: Vec<f64>) -> Spread {
        values.sort_by(f64::total_cmp);
        let value_at = |i: usize| values.get(i).copied().unwrap_or(f64::NAN);
        Spread {
            min: value_at(0),
            median: value_at(values.len() / 2),
            max: value_at(values.len().saturating_sub(1)),
        }
    }
}
