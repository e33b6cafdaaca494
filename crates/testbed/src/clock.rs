//! The clock of a run, in microseconds since the load started. The proxy's own time unit, a tenth
//! of a millisecond, is too coarse: on loopback a proxy that only relays requests adds less
//! latency than one such unit.

use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A time in microseconds: a point in the run, or a duration.
pub type Micros = u64;

/// One millisecond.
pub const MILLISECOND: Micros = 1_000;
/// One second.
pub const SECOND: Micros = 1_000_000;

/// Converts seconds to whole microseconds; negative values become 0.
pub fn micros_from_seconds(seconds: f64) -> Micros {
    (seconds.max(0.0) * 1e6).round() as Micros
}

/// Converts microseconds to seconds, for display.
pub fn seconds_from_micros(at: Micros) -> f64 {
    at as f64 / 1e6
}

/// The time at which a run starts.
struct StartTime {
    instant: Instant,
    unix_ms: u64,
}

/// Interval at which a sleeper checks whether the clock has been started.
const START_POLL_INTERVAL: Micros = 5 * MILLISECOND;

/// A clock that all parts of a run share. Clones refer to the same clock.
#[derive(Clone, Default)]
pub struct Clock(Arc<OnceLock<StartTime>>);

impl Clock {
    /// Starts the clock. Until then, [`Clock::now`] returns 0.
    pub fn start(&self) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        _ = self.0.set(StartTime { instant: Instant::now(), unix_ms: unix.as_millis() as u64 });
    }

    /// The current time of the run; 0 before the clock is started.
    pub fn now(&self) -> Micros {
        self.0.get().map_or(0, |start| start.instant.elapsed().as_micros() as Micros)
    }

    /// Unix time of the start in milliseconds; 0 before the clock is started.
    pub fn unix_start_ms(&self) -> u64 {
        self.0.get().map_or(0, |start| start.unix_ms)
    }

    /// Converts a time of the run to the system's monotonic clock. Before the clock is started,
    /// `at` counts from now.
    pub fn instant(&self, at: Micros) -> Instant {
        self.0.get().map_or_else(Instant::now, |start| start.instant) + Duration::from_micros(at)
    }

    /// Waits until a time of the run. Before the clock is started, `at` counts from now; if the
    /// clock is started during the wait, `at` counts from the start.
    pub async fn sleep_until(&self, at: Micros) {
        let mut remaining = at;
        while self.0.get().is_none() && remaining > 0 {
            let step = remaining.min(START_POLL_INTERVAL);
            smol::Timer::after(Duration::from_micros(step)).await;
            remaining -= step;
        }
        if self.0.get().is_some() {
            smol::Timer::at(self.instant(at)).await;
        }
    }
}
