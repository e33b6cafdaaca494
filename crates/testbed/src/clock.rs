//! One clock for all of a run: microseconds since the load began. Finer than the proxy's tenths of a millisecond, as
//! on loopback a relay adds less than one of those.

use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub type Micros = u64;

pub const MILLI: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

/// Whole microseconds of a stated number of seconds; nothing below zero.
pub fn micros(seconds: f64) -> Micros {
    (seconds.max(0.0) * 1e6).round() as Micros
}

pub fn seconds(at: Micros) -> f64 {
    at as f64 / 1e6
}

#[derive(Clone, Default)]
pub struct Clock(Arc<OnceLock<(Instant, u64)>>);

impl Clock {
    /// From now on time passes; before, it is zero.
    pub fn begin(&self) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        _ = self.0.set((Instant::now(), unix.as_millis() as u64));
    }

    pub fn now(&self) -> Micros {
        self.0.get().map_or(0, |(zero, _)| zero.elapsed().as_micros() as Micros)
    }

    /// Unix time at zero, in milliseconds; 0 before the beginning.
    pub fn unix_start_ms(&self) -> u64 {
        self.0.get().map_or(0, |(_, unix)| *unix)
    }

    /// The moment on the system's clock; before the beginning, as long from now.
    pub fn instant(&self, at: Micros) -> Instant {
        self.0.get().map_or_else(Instant::now, |(zero, _)| *zero) + Duration::from_micros(at)
    }

    /// Waits until that moment; before the beginning, as long from now, or until then.
    pub async fn sleep_until(&self, at: Micros) {
        let mut left = at;
        while self.0.get().is_none() && left > 0 {
            let step = left.min(5 * MILLI);
            smol::Timer::after(Duration::from_micros(step)).await;
            left -= step;
        }
        if self.0.get().is_some() {
            smol::Timer::at(self.instant(at)).await;
        }
    }
}
