//! Where the attempts went, and what CPU time and memory the proxies used.

use super::share;
use crate::experiment::Experiment;
use crate::fleet::Sample;
use crate::oracle::{Attempt, Verdict};

/// Numbers of attempts by destination.
pub(super) struct Traffic {
    pub attempts: usize,
    pub origin_attempts: usize,
    /// Attempts in another zone than the proxy's; the origin counts as part of the first zone.
    pub cross_zone_attempts: usize,
    /// Share of the attempts at servers that went to the busiest server.
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
            origin_attempts: by_server[origin],
            cross_zone_attempts: attempts.iter().filter(crosses_zones).count(),
            busiest_share: share(at_servers.iter().copied().max().unwrap_or(0), at_servers.iter().sum()),
        }
    }
}

/// CPU time of all proxies since the start of the load, in microseconds.
pub(super) fn cpu_us(proxies: usize, samples: &[Sample]) -> u64 {
    let used = |proxy: usize| {
        let proxy_samples = || samples.iter().filter(move |sample| sample.proxy == proxy);
        let before_load = proxy_samples().find(|sample| sample.at > 0).map_or(0, |sample| sample.cpu_us);
        proxy_samples().next_back().map_or(0, |sample| sample.cpu_us).saturating_sub(before_load)
    };
    (0..proxies).map(used).sum()
}

/// Peak memory of the proxy that used the most, in megabytes.
pub(super) fn peak_memory_mb(samples: &[Sample]) -> f64 {
    samples.iter().map(|sample| sample.memory_kb).max().unwrap_or(0) as f64 / 1024.0
}
