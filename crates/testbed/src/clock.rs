//! One clock for all of a run: microseconds since the load began. Finer than the proxy's own
//! unit of a tenth of a millisecond, as on loopback a relay adds less than one of those.

use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Microseconds: a moment of the run, or a length of time.
pub type Micros = u64;

/// A millisecond.
pub const MILLI: Micros = 1_000;
/// A second.
pub const SECOND: Micros = 1_000_000;

/// Whole microseconds of a stated number of seconds; nothing below zero.
pub fn micros(seconds: f64) -> Micros {
    (seconds.max(0.0) * 1e6).round() as Micros
}

/// In seconds, to be shown.
pub fn seconds(at: Micros) -> f64 {
    at as f64 / 1e6
}

/// The beginning of a run.
struct Zero {
    instant: Instant,
    unix_ms: u64,
}

/// Until the clock runs, it is looked at again after so long.
const LOOK_AGAIN: Micros = 5 * MILLI;

/// The clock, shared by all parts of a run.
#[derive(Clone, Default)]
pub struct Clock(Arc<OnceLock<Zero>>);

impl Clock {
    /// From now on time passes; before, it is zero.
    pub fn begin(&self) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        _ = self.0.set(Zero { instant: Instant::now(), unix_ms: unix.as_millis() as u64 });
    }

    /// The time of the run.
    pub fn now(&self) -> Micros {
        self.0.get().map_or(0, |zero| zero.instant.elapsed().as_micros() as Micros)
    }

    /// Unix time at zero, in milliseconds; 0 before the beginning.
    pub fn unix_start_ms(&self) -> u64 {
        self.0.get().map_or(0, |zero| zero.unix_ms)
    }

    /// The moment on the system's clock; before the beginning, as long from now.
    pub fn instant(&self, at: Micros) -> Instant {
        self.0.get().map_or_else(Instant::now, |zero| zero.instant) + Duration::from_micros(at)
    }

    /// Waits until that moment; before the beginning, as long from now, or until then.
    pub async fn sleep_until(&self, at: Micros) {
        let mut left = at;
        while self.0.get().is_none() && left > 0 {
            let step = left.min(LOOK_AGAIN);
            smol::Timer::after(Duration::from_micros(step)).await;
            left -= step;
        }
        if self.0.get().is_some() {
            smol::Timer::at(self.instant(at)).await;
        }
    }
}
