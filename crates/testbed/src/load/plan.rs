//! The plan: when each first request arrives, and what it requests. Drawn from the seed alone.

use crate::clock::{Micros, micros};
use crate::experiment::{Experiment, HotKeys, LoadStep};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// Keeps the plan's random numbers apart from those of the stand-ins, which have the seed itself.
const PLAN_SEED: u64 = 0x10ad;

/// A first request.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When it arrives.
    pub at: Micros,
    /// Its request class, by number.
    pub class: usize,
    /// Its key.
    pub key: u64,
    /// Its tenant, by number.
    pub tenant: usize,
    /// Its client, by number.
    pub client: usize,
    /// After how long its client cancels, where it does.
    pub cancels_after: Option<Micros>,
    /// Whether its client honors `Retry-After`.
    pub honors_retry_after: bool,
}

/// Which one of several shares a number from 0 to 1 falls into, by their sums.
struct Shares(Vec<f64>);

impl Shares {
    fn new(parts: impl Iterator<Item = f64>) -> Shares {
        let running_sum = |sum: &mut f64, part: f64| {
            *sum += part;
            Some(*sum)
        };
        Shares(parts.scan(0.0, running_sum).collect())
    }

    fn pick(&self, luck: f64) -> usize {
        let at = luck * self.0.last().copied().unwrap_or(1.0);
        self.0.partition_point(|sum| *sum <= at).min(self.0.len().saturating_sub(1))
    }
}

/// Arrivals in order of time, one after the other.
pub struct ArrivalPlan<'a> {
    experiment: &'a Experiment,
    random: ChaCha8Rng,
    classes: Shares,
    keys: Shares,
    tenants: Shares,
    /// The last arrival, in seconds.
    at: f64,
}

impl<'a> ArrivalPlan<'a> {
    /// The plan of an experiment.
    pub fn new(experiment: &'a Experiment) -> ArrivalPlan<'a> {
        let load = &experiment.load;
        ArrivalPlan {
            random: ChaCha8Rng::seed_from_u64(experiment.seed ^ PLAN_SEED),
            classes: Shares::new(experiment.classes.iter().map(|class| class.share)),
            keys: Shares::new((1..=load.keys).map(|rank| (rank as f64).powf(-load.skew))),
            tenants: Shares::new(load.tenants.iter().map(|tenant| tenant.share)),
            at: 0.0,
            experiment,
        }
    }

    fn rate(&self) -> f64 {
        let load = &self.experiment.load;
        let is_on = |step: &&LoadStep| (step.at..step.at + step.duration).contains(&self.at);
        let factors = load.load_steps.iter().filter(is_on).map(|step| step.factor);
        load.rate * factors.product::<f64>()
    }

    fn draw(&mut self) -> f64 {
        self.random.random()
    }

    fn draw_key(&mut self) -> u64 {
        let load = &self.experiment.load;
        let luck = self.draw();
        let mut key = self.keys.pick(luck) as u64;
        let at = self.at;
        let is_on = |hot: &&HotKeys| (hot.at..hot.at + hot.duration).contains(&at);
        for hot in load.hot_keys.iter().filter(is_on) {
            if self.draw() < hot.share {
                // Keys that nobody requested before: a new title on a reading list.
                key = load.keys as u64 + self.random.random_range(0..hot.keys as u64);
            }
        }
        key
    }

    /// After how many seconds the client cancels, by itself or with others.
    fn draw_cancellation(&mut self, limit: f64) -> Option<f64> {
        let load = &self.experiment.load;
        let cancels = self.draw() < load.cancel_share;
        let by_itself = cancels.then(|| limit * self.draw());
        let at = self.at;
        let mut with_others = None;
        for burst in load.cancellation_bursts.iter().filter(|burst| (at..at + limit).contains(&burst.at)) {
            if self.draw() < burst.share {
                with_others = Some(burst.at - at);
                break;
            }
        }
        by_itself.into_iter().chain(with_others).reduce(f64::min)
    }
}

impl Iterator for ArrivalPlan<'_> {
    type Item = Arrival;

    /// The order of the draws is the plan: the same seed has to give the same one.
    fn next(&mut self) -> Option<Arrival> {
        // Poisson: the time to the next is exponential, at the rate of now.
        self.at += -(1.0 - self.draw()).ln() / self.rate();
        if self.at >= self.experiment.seconds {
            return None;
        }
        let load = &self.experiment.load;
        let luck = self.draw();
        let class = self.classes.pick(luck);
        let key = self.draw_key();
        let cancels_after = self.draw_cancellation(self.experiment.classes[class].limit_ms / 1e3);
        let luck = self.draw();
        Some(Arrival {
            at: micros(self.at),
            class,
            key,
            tenant: self.tenants.pick(luck),
            client: self.random.random_range(0..load.clients),
            cancels_after: cancels_after.map(micros),
            honors_retry_after: self.draw() < load.honor_retry_after,
        })
    }
}

/// The id of the n-th request of a run: all differ, and none looks like the one before.
pub fn request_id(seed: u64, n: u64) -> u64 {
    // An odd factor maps the numbers one to one: 2^64 by the golden ratio.
    n.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ seed.rotate_left(32)
}
