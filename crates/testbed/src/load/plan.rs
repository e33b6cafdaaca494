//! The plan of arrivals: when each first request arrives, and what it requests. It depends only on
//! the experiment and its seed.

use crate::clock::{Micros, micros_from_seconds};
use crate::experiment::{Experiment, HotKeys, LoadStep};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// Makes the plan's random numbers independent of those of the simulated services, which use the
/// seed itself.
const PLAN_SEED_MASK: u64 = 0x10ad;

/// A first request and its client's behavior.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When the request arrives.
    pub at: Micros,
    /// Index of the request class.
    pub class: usize,
    /// Number of the key.
    pub key: u64,
    /// Index of the tenant.
    pub tenant: usize,
    /// Index of the client.
    pub client: usize,
    /// Time after which the client cancels the request, if it does.
    pub cancels_after: Option<Micros>,
    /// Whether the client honors `Retry-After`.
    pub honors_retry_after: bool,
}

/// A discrete distribution, as cumulative sums of its weights. A number from 0 to 1 selects an
/// index.
struct Shares(Vec<f64>);

impl Shares {
    fn new(shares: impl Iterator<Item = f64>) -> Shares {
        let running_sum = |sum: &mut f64, share: f64| {
            *sum += share;
            Some(*sum)
        };
        Shares(shares.scan(0.0, running_sum).collect())
    }

    fn pick(&self, fraction: f64) -> usize {
        let at = fraction * self.0.last().copied().unwrap_or(1.0);
        self.0.partition_point(|sum| *sum <= at).min(self.0.len().saturating_sub(1))
    }
}

/// An iterator over the arrivals of an experiment, in order of time.
pub struct ArrivalPlan<'a> {
    experiment: &'a Experiment,
    random: ChaCha8Rng,
    classes: Shares,
    keys: Shares,
    tenants: Shares,
    /// The time of the last arrival, in seconds.
    at: f64,
}

impl<'a> ArrivalPlan<'a> {
    /// Creates the plan of an experiment.
    pub fn new(experiment: &'a Experiment) -> ArrivalPlan<'a> {
        let load = &experiment.load;
        ArrivalPlan {
            random: ChaCha8Rng::seed_from_u64(experiment.seed ^ PLAN_SEED_MASK),
            classes: Shares::new(experiment.classes.iter().map(|class| class.share)),
            keys: Shares::new((1..=load.keys).map(|rank| (rank as f64).powf(-load.skew))),
            tenants: Shares::new(load.tenants.iter().map(|tenant| tenant.share)),
            at: 0.0,
            experiment,
        }
    }

    fn rate(&self) -> f64 {
        let load = &self.experiment.load;
        let is_active = |step: &&LoadStep| (step.at..step.at + step.duration).contains(&self.at);
        let factors = load.load_steps.iter().filter(is_active).map(|step| step.factor);
        load.rate * factors.product::<f64>()
    }

    fn draw(&mut self) -> f64 {
        self.random.random()
    }

    fn draw_key(&mut self) -> u64 {
        let load = &self.experiment.load;
        let fraction = self.draw();
        let mut key = self.keys.pick(fraction) as u64;
        let at = self.at;
        let is_active = |hot: &&HotKeys| (hot.at..hot.at + hot.duration).contains(&at);
        for hot in load.hot_keys.iter().filter(is_active) {
            if self.draw() < hot.share {
                // Hot keys lie beyond the usual ones: no one requested them before, as with newly
                // published content.
                key = load.keys as u64 + self.random.random_range(0..hot.keys as u64);
            }
        }
        key
    }

    /// Draws after how many seconds the client cancels, by itself or in a burst together with
    /// others.
    fn draw_cancellation(&mut self, limit: f64) -> Option<f64> {
        let load = &self.experiment.load;
        let cancels = self.draw() < load.cancel_share;
        let individual = cancels.then(|| limit * self.draw());
        let at = self.at;
        let mut in_burst = None;
        for burst in load.cancellation_bursts.iter().filter(|burst| (at..at + limit).contains(&burst.at)) {
            if self.draw() < burst.share {
                in_burst = Some(burst.at - at);
                break;
            }
        }
        individual.into_iter().chain(in_burst).reduce(f64::min)
    }
}

impl Iterator for ArrivalPlan<'_> {
    type Item = Arrival;

    /// The order of the random draws determines the plan: the same seed has to give the same plan.
    fn next(&mut self) -> Option<Arrival> {
        // A Poisson process: the time to the next arrival is exponentially distributed, at the
        // current rate.
        self.at += -(1.0 - self.draw()).ln() / self.rate();
        if self.at >= self.experiment.seconds {
            return None;
        }
        let load = &self.experiment.load;
        let fraction = self.draw();
        let class = self.classes.pick(fraction);
        let key = self.draw_key();
        let cancels_after = self.draw_cancellation(self.experiment.classes[class].limit_ms / 1e3);
        let fraction = self.draw();
        Some(Arrival {
            at: micros_from_seconds(self.at),
            class,
            key,
            tenant: self.tenants.pick(fraction),
            client: self.random.random_range(0..load.clients),
            cancels_after: cancels_after.map(micros_from_seconds),
            honors_retry_after: self.draw() < load.honor_retry_after,
        })
    }
}

/// The id of the n-th request of a run. All ids of a run differ, and successive ids are dissimilar.
pub fn request_id(seed: u64, n: u64) -> u64 {
    // Multiplying by an odd number modulo 2^64 is a bijection; this one is 2^64 divided by the
    // golden ratio.
    n.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ seed.rotate_left(32)
}
