//! Where attempts went, and what the proxies used.

use super::share;
use crate::experiment::Experiment;
use crate::fleet::Sample;
use crate::oracle::{Attempt, Verdict};

/// Attempts by where they went.
pub(super) struct Traffic {
    pub attempts: usize,
    pub at_origin: usize,
    /// At another zone than the proxy's; the origin counts to the first.
    pub cross_zone: usize,
    /// Of those at servers, the share that the busiest got.
    pub busiest_share: f64,
}

impl Traffic {
    /// Counts a run's attempts.
    pub fn measure(experiment: &Experiment, verdict: &Verdict) -> Traffic {
        let origin = experiment.world.servers;
        let zones = experiment.world.zones.len();
        let attempts: Vec<&Attempt> = verdict.records.iter().flat_map(|record| &record.attempts).collect();
        let mut by_server = vec![0; origin + 1];
        for attempt in &attempts {
            by_server[usize::from(attempt.server)] += 1;
        }
        let crosses_zones = |attempt: &&&Attempt| {
            let server = usize::from(attempt.server);
            let zone = if server == origin { 0 } else { server % zones };
            zone != usize::from(attempt.proxy) % zones
        };
        let at_servers = &by_server[..origin];
        Traffic {
            attempts: attempts.len(),
            at_origin: by_server[origin],
            cross_zone: attempts.iter().filter(crosses_zones).count(),
            busiest_share: share(at_servers.iter().copied().max().unwrap_or(0), at_servers.iter().sum()),
        }
    }
}

/// CPU time of all proxies from the beginning of the load on.
pub(super) fn cpu_us(proxies: usize, samples: &[Sample]) -> u64 {
    let used = |proxy: usize| {
        let own = || samples.iter().filter(move |sample| sample.proxy == proxy);
        let before = own().find(|sample| sample.at > 0).map_or(0, |sample| sample.cpu_us);
        own().next_back().map_or(0, |sample| sample.cpu_us).saturating_sub(before)
    };
    (0..proxies).map(used).sum()
}

/// The most memory that any proxy had.
pub(super) fn peak_memory_mb(samples: &[Sample]) -> f64 {
    samples.iter().map(|sample| sample.memory_kb).max().unwrap_or(0) as f64 / 1024.0
}
