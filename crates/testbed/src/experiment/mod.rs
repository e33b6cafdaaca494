//! An experiment: a fleet, a load, faults on a timeline, and the bounds that have to hold. Read from one TOML file; what is
//! unknown, out of range or contradictory is refused with its line, all of it at once.
//!
//! The keys of the file are older than the names here, and stay: `serde(rename)` has them.

mod bounds;
mod check;
mod check_faults;
mod choices;
mod defaults;
mod environment;
mod error;
mod faults;
mod load;

pub use bounds::{Bounds, Rules};
pub use choices::{CacheMode, DedupGroup, ListSource, Protocol, Repeats};
pub use environment::{Fleet, World};
pub use error::{ExperimentError, Problem};
pub use faults::{Fault, FaultKind, Outage};
pub use load::{CancellationBurst, HotKeys, Load, LoadStep, RequestClass, Tenant};

use crate::clock::{Micros, SECOND, micros};
use check::Check;
use serde::Deserialize;
use toml::Spanned;

/// Servers of one zone that make a cell.
const SERVERS_PER_CELL: usize = 2;
/// Retries are waited for at the end of a run for so long at the most, in seconds.
const MAX_RETRY_TIME_S: f64 = 6.0;

/// One experiment, as its file has it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Shown above its results.
    pub title: String,
    /// For all randomness: arrivals, keys, what fails. The same seed plays the same plan.
    #[serde(default = "defaults::seed")]
    pub seed: u64,
    /// How long requests arrive; what is open then still gets its time.
    pub seconds: f64,
    /// Servers, origin and list.
    #[serde(default)]
    pub world: World,
    /// The proxies.
    #[serde(default)]
    pub fleet: Fleet,
    /// What arrives.
    pub load: Load,
    /// What the judge tolerates.
    #[serde(default)]
    pub rules: Rules,
    /// What has to hold beside the rules.
    #[serde(default)]
    pub bounds: Bounds,
    /// Classes of requests.
    #[serde(rename = "namespace")]
    pub classes: Vec<RequestClass>,
    /// What is injected, and when.
    #[serde(rename = "trouble", default)]
    pub faults: Vec<Spanned<Fault>>,
}

/// The line, from 1, on which a byte of the text stands.
fn line_of(text: &str, at: usize) -> usize {
    let before = &text.as_bytes()[..at.min(text.len())];
    before.iter().filter(|byte| **byte == b'\n').count() + 1
}

impl Experiment {
    /// Reads and checks a file's text.
    pub fn read(text: &str) -> Result<Experiment, ExperimentError> {
        let experiment: Experiment = toml::from_str(text).map_err(|error: toml::de::Error| {
            let line = error.span().map_or(1, |span| line_of(text, span.start));
            ExperimentError::new(vec![Problem { line, text: error.message().replace('\n', " ") }])
        })?;
        let mut check = Check { text, problems: Vec::new() };
        experiment.check(&mut check);
        if check.problems.is_empty() { Ok(experiment) } else { Err(ExperimentError::new(check.problems)) }
    }

    /// The servers that a fault affects.
    pub fn targets(&self, fault: &Fault) -> Vec<usize> {
        match (&fault.servers, &fault.zone) {
            (Some(servers), _) => servers.clone(),
            (None, Some(zone)) => (0..self.world.servers).filter(|i| self.zone_of(*i) == zone).collect(),
            (None, None) => (0..self.world.servers).collect(),
        }
    }

    /// The faults in the order of the file.
    pub fn each_fault(&self) -> impl Iterator<Item = &Fault> {
        self.faults.iter().map(Spanned::get_ref)
    }

    /// The zone of a server, and of a proxy: both are dealt out in turn.
    pub fn zone_of(&self, i: usize) -> &str {
        &self.world.zones[i % self.world.zones.len()]
    }

    /// The cell of a server: two of one zone make one. Cells are numbered from 1, over all zones.
    pub fn cell_of(&self, server: usize) -> u64 {
        let zones = self.world.zones.len();
        ((server / zones / SERVERS_PER_CELL) * zones + server % zones) as u64 + 1
    }

    /// When nothing more can be open: the last arrival, the longest limit, and the retries after it.
    pub fn ends_at(&self) -> Micros {
        let limit = self.classes.iter().map(|class| class.limit_ms).fold(0.0, f64::max) / 1e3;
        let retry_time = f64::from(self.load.retries) * (limit + self.fleet.max_retry_after_s.max(1.0));
        micros(self.seconds + limit + retry_time.min(MAX_RETRY_TIME_S)) + SECOND / 2
    }
}
