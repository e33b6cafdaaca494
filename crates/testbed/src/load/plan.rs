//! The plan: when each first request arrives, and what it asks for. Drawn from the seed alone.

use crate::clock::{Micros, micros};
use crate::experiment::Experiment;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    pub at: Micros,
    pub class: usize,
    pub key: u64,
    pub tenant: usize,
    pub client: usize,
    /// How long its client stays, where it leaves early.
    pub cancels_after: Option<Micros>,
    /// Whether its client heeds advice on when to return.
    pub honors_retry_after: bool,
}

/// Which one of several shares a number from 0 to 1 falls into.
struct Shares(Vec<f64>);

impl Shares {
    fn new(parts: impl Iterator<Item = f64>) -> Shares {
        let mut sum = 0.0;
        Shares(
            parts
                .map(|part| {
                    sum += part;
                    sum
                })
                .collect(),
        )
    }

    fn pick(&self, luck: f64) -> usize {
        let at = luck * self.0.last().copied().unwrap_or(1.0);
        self.0.partition_point(|sum| *sum <= at).min(self.0.len().saturating_sub(1))
    }
}

/// Arrivals in order of time, one after the other.
pub struct ArrivalPlan<'a> {
    experiment: &'a Experiment,
    chance: ChaCha8Rng,
    classes: Shares,
    keys: Shares,
    tenants: Shares,
    at: f64,
}

impl<'a> ArrivalPlan<'a> {
    pub fn new(experiment: &'a Experiment) -> ArrivalPlan<'a> {
        let load = &experiment.load;
        ArrivalPlan {
            chance: ChaCha8Rng::seed_from_u64(experiment.seed ^ 0x10ad),
            classes: Shares::new(experiment.classes.iter().map(|n| n.share)),
            keys: Shares::new((1..=load.keys).map(|rank| (rank as f64).powf(-load.skew))),
            tenants: Shares::new(load.tenants.iter().map(|t| t.share)),
            at: 0.0,
            experiment,
        }
    }

    fn rate(&self) -> f64 {
        let load = &self.experiment.load;
        let on = load.load_steps.iter().filter(|s| (s.at..s.at + s.duration).contains(&self.at));
        load.rate * on.map(|s| s.factor).product::<f64>()
    }
}

impl Iterator for ArrivalPlan<'_> {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        // Poisson: the time to the next is exponential, at the rate of now.
        self.at += -(1.0 - self.chance.random::<f64>()).ln() / self.rate();
        if self.at >= self.experiment.seconds {
            return None;
        }
        let load = &self.experiment.load;
        let class = self.classes.pick(self.chance.random());
        let mut key = self.keys.pick(self.chance.random()) as u64;
        for hot_keys in load.hot_keys.iter().filter(|h| (h.at..h.at + h.duration).contains(&self.at)) {
            if self.chance.random::<f64>() < hot_keys.share {
                // Keys that nobody asked for before: a new book on a reading list.
                key = load.keys as u64 + self.chance.random_range(0..hot_keys.keys as u64);
            }
        }
        let leaves = self.chance.random::<f64>() < load.cancel_share;
        let limit = self.experiment.classes[class].limit_ms / 1e3;
        let early = leaves.then(|| limit * self.chance.random::<f64>());
        let waits = |at: f64| (self.at..self.at + limit).contains(&at);
        let burst =
            load.bursts.iter().filter(|g| waits(g.at)).find(|g| self.chance.random::<f64>() < g.share);
        let cancels_after = early.into_iter().chain(burst.map(|burst| burst.at - self.at)).reduce(f64::min);
        Some(Arrival {
            at: micros(self.at),
            class,
            key,
            tenant: self.tenants.pick(self.chance.random()),
            client: self.chance.random_range(0..load.clients),
            cancels_after: cancels_after.map(micros),
            honors_retry_after: self.chance.random::<f64>() < load.honor_retry_after,
        })
    }
}

/// The id of the n-th request of a run: all differ, and none looks like the one before.
pub fn request_id(seed: u64, n: u64) -> u64 {
    // An odd factor maps the numbers one to one.
    n.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ seed.rotate_left(32)
}
