//! What this proxy knows about one server or the origin, with one part for each decision. This
//! module makes no decisions.

use crate::concurrency_limit::ConcurrencyLimit;
use crate::key_share::KeyShare;
use crate::liveness::Liveness;
use crate::outlier::{Ejection, FailureScore};
use crate::recent_latency::RecentLatency;
use crate::settings::Settings;
use crate::slow_start::{Progress, SlowStart, token_floor};
use crate::snapshot::stored;
use crate::types::{EndpointStatus, LearnedServer};
use chalkwalk_time::Timestamp;

#[derive(Default)]
pub(crate) struct Server {
    pub id: String,
    pub zone: usize,
    pub cell: u64,
    pub key_share: KeyShare,
    pub status: EndpointStatus,
    pub started_at: Timestamp,
    pub liveness: Liveness,
    pub failures: FailureScore,
    /// A connection to the server is open, as far as attempts show.
    pub connected: bool,
    pub ejection: Ejection,
    pub recent_latency: RecentLatency,
    pub concurrency: ConcurrencyLimit,
    pub slow_start: SlowStart,
}

stored! {
    Server {
        id, zone, cell, key_share, status, started_at, liveness, failures, connected, ejection,
        recent_latency, concurrency, slow_start,
    }
}

impl Server {
    pub fn new(id: &str) -> Server {
        Server {
            id: id.into(),
            key_share: KeyShare::full(),
            concurrency: ConcurrencyLimit::initial(),
            ..Server::default()
        }
    }

    /// Resets the state for a new process under the same id: the failures of the old process no
    /// longer count, and slow start begins.
    pub fn restart(&mut self, started_at: Timestamp, token_floor: u64, draw: u64) {
        self.started_at = started_at;
        self.slow_start.restart(token_floor, draw);
        self.failures.reset();
        self.ejection.reset();
        self.key_share.reset();
    }

    /// Lets the state decay and recover; called once a second.
    pub fn recover(&mut self, settings: &Settings) {
        self.slow_start.refill(token_floor(settings));
        self.key_share.recover();
        self.recent_latency.decay();
        self.ejection.decay(self.failures.is_ejected());
    }

    pub fn slow_start_progress(&self, settings: &Settings, now: Timestamp) -> Progress {
        Progress::new(settings, self.started_at, now)
    }

    /// What was learned about the server, if it differs from the initial values.
    pub fn learned(&self) -> Option<LearnedServer> {
        let differs = !self.key_share.is_full() || !self.concurrency.is_initial();
        (self.status == EndpointStatus::Ready && differs).then(|| LearnedServer {
            id: self.id.clone(),
            started_at: self.started_at,
            max_weight_hundredths: self.key_share.weight(),
            key_share: self.key_share.share(),
            concurrency_limit: self.concurrency.limit(),
        })
    }

    /// Restores what another process learned about the server, unless the server has restarted
    /// since.
    pub fn restore_learned(&mut self, learned: &LearnedServer, settings: &Settings) {
        if learned.started_at == self.started_at {
            self.key_share.restore(learned.key_share, learned.max_weight_hundredths, settings.fixed_weights);
            self.concurrency.restore(learned.concurrency_limit);
        }
    }
}
