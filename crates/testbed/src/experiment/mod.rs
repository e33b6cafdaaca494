//! An experiment: a fleet, a load, faults on a timeline, and the bounds that have to hold. It is
//! read from one TOML file. Unknown keys, values out of range and contradictions are errors; all
//! errors of values are reported at once, with their lines.
//!
//! The keys of the file are older than the names in the code and do not change: `serde(rename)`
//! maps them.

mod bounds;
mod check;
mod check_faults;
mod choices;
mod defaults;
mod environment;
mod error;
mod faults;
mod load;

pub use bounds::{Bounds, RuleTolerances};
pub use choices::{CacheMode, DedupGroup, ListSource, Protocol, Repeats};
pub use environment::{Fleet, World};
pub use error::{ExperimentError, Problem};
pub use faults::{Fault, FaultKind, Outage};
pub use load::{CancellationBurst, HotKeys, Load, LoadStep, RequestClass, Tenant};

use crate::clock::{Micros, SECOND, micros_from_seconds};
use check::Check;
use serde::Deserialize;
use toml::Spanned;

/// Number of servers of one zone that form a cell.
const SERVERS_PER_CELL: usize = 2;
/// Upper limit of the time by which a run is extended for retries, in seconds.
const MAX_RETRY_TIME_S: f64 = 6.0;

/// One experiment, with the fields of its file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Title that is shown above the results.
    pub title: String,
    /// Seed of all random draws: arrivals, keys, which requests a fault affects. The same seed
    /// gives the same arrivals.
    #[serde(default = "defaults::seed")]
    pub seed: u64,
    /// For how long requests arrive, in seconds. Requests that are open then still get their full
    /// time limit.
    pub seconds: f64,
    /// The servers, the origin and the endpoint list.
    #[serde(default)]
    pub world: World,
    /// The proxies.
    #[serde(default)]
    pub fleet: Fleet,
    /// The requests that arrive.
    pub load: Load,
    /// Tolerances of the rules that the oracle checks.
    #[serde(default)]
    pub rules: RuleTolerances,
    /// Limits of the run's figures that have to hold in addition to the rules.
    #[serde(default)]
    pub bounds: Bounds,
    /// The request classes.
    #[serde(rename = "namespace")]
    pub classes: Vec<RequestClass>,
    /// The injected faults.
    #[serde(rename = "trouble", default)]
    pub faults: Vec<Spanned<Fault>>,
}

/// The line, counted from 1, that contains the byte at an offset of the text.
fn line_of(text: &str, offset: usize) -> usize {
    let text_before = &text.as_bytes()[..offset.min(text.len())];
    text_before.iter().filter(|byte| **byte == b'\n').count() + 1
}

impl Experiment {
    /// Parses and checks the text of an experiment file.
    pub fn parse(text: &str) -> Result<Experiment, ExperimentError> {
        let experiment: Experiment = toml::from_str(text).map_err(|error: toml::de::Error| {
            let line = error.span().map_or(1, |span| line_of(text, span.start));
            ExperimentError::new(vec![Problem { line, text: error.message().replace('\n', " ") }])
        })?;
        let mut check = Check { text, problems: Vec::new() };
        experiment.check(&mut check);
        if check.problems.is_empty() { Ok(experiment) } else { Err(ExperimentError::new(check.problems)) }
    }

    /// The servers that a fault affects.
    pub fn target_servers(&self, fault: &Fault) -> Vec<usize> {
        match (&fault.servers, &fault.zone) {
            (Some(servers), _) => servers.clone(),
            (None, Some(zone)) => (0..self.world.servers).filter(|i| self.zone_of(*i) == zone).collect(),
            (None, None) => (0..self.world.servers).collect(),
        }
    }

    /// The faults, in the order of the file.
    pub fn faults_in_order(&self) -> impl Iterator<Item = &Fault> {
        self.faults.iter().map(Spanned::get_ref)
    }

    /// The zone of the `i`-th server or proxy: both are distributed over the zones in rotation.
    pub fn zone_of(&self, i: usize) -> &str {
        &self.world.zones[i % self.world.zones.len()]
    }

    /// The cell of a server: two servers of one zone form a cell. Cells are numbered from 1 over
    /// all zones.
    pub fn cell_of(&self, server: usize) -> u64 {
        let zones = self.world.zones.len();
        ((server / zones / SERVERS_PER_CELL) * zones + server % zones) as u64 + 1
    }

    /// The time when no request can be open any more: the last arrival plus the longest time limit
    /// and the time for retries.
    pub fn end_time(&self) -> Micros {
        let limit = self.classes.iter().map(|class| class.limit_ms).fold(0.0, f64::max) / 1e3;
        let retry_time = f64::from(self.load.retries) * (limit + self.fleet.max_retry_after_s.max(1.0));
        micros_from_seconds(self.seconds + limit + retry_time.min(MAX_RETRY_TIME_S)) + SECOND / 2
    }
}
