//! The proxy's clock, with a heartbeat that detects when the process was stalled (stopped, or not
//! scheduled on a core). Input that is read right after a stall may have arrived at any time during
//! it, so its arrival is dated back to the last heartbeat.

use chalkwalk_time::{Span, Timestamp};
use smol::Timer;
use std::cell::Cell;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The clock of one process: Unix time at its start plus the time elapsed since, so that it never
/// goes back.
pub struct Clock {
    unix_at_start: Timestamp,
    start: Instant,
    /// The last time at which all input that had arrived was known to have been read.
    last_heartbeat: Cell<Timestamp>,
}

/// The time between two heartbeats: short compared with any time limit, long compared with one
/// iteration of the executor.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(20);
/// How long it takes to read the input that arrived during a stall: many iterations of the
/// executor.
const CATCH_UP_TIME: Duration = Duration::from_millis(2);
/// A heartbeat older than two and a half intervals means that the process was stalled. 50 ms is
/// also the maximum delay allowed for a response.
const STALL_THRESHOLD: Span = Span::from_millis(50);

impl Default for Clock {
    fn default() -> Clock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let unix_at_start = Timestamp::ZERO + Span::from(since_epoch);
        Clock { unix_at_start, start: Instant::now(), last_heartbeat: Cell::new(unix_at_start) }
    }
}

impl Clock {
    /// The present time.
    pub fn now(&self) -> Timestamp {
        self.unix_at_start + Span::from(self.start.elapsed())
    }

    /// Converts a timestamp to an instant for timers. Timestamps before the start map to the start.
    pub fn instant(&self, timestamp: Timestamp) -> Instant {
        self.start + Duration::from(timestamp.saturating_since(self.unix_at_start))
    }

    /// Records a heartbeat at each interval. Never returns.
    pub async fn run_heartbeat(&self) {
        loop {
            self.last_heartbeat.set(self.now());
            Timer::after(HEARTBEAT_INTERVAL).await;
            if self.earliest_arrival() == self.last_heartbeat.get() {
                // Right after a stall, timers may fire before the input that arrived during it is
                // read.
                Timer::after(CATCH_UP_TIME).await;
            }
        }
    }

    /// Right after a stall, waits until the input that arrived during it has been read; otherwise
    /// returns immediately.
    pub async fn catch_up(&self) {
        if self.now() > self.last_heartbeat.get() + STALL_THRESHOLD {
            Timer::after(CATCH_UP_TIME).await;
        }
    }

    /// The earliest time at which input that is read now can have arrived: now, or the last
    /// heartbeat before a stall.
    pub fn earliest_arrival(&self) -> Timestamp {
        let now = self.now();
        let last_heartbeat = self.last_heartbeat.get();
        if now > last_heartbeat + STALL_THRESHOLD { last_heartbeat } else { now }
    }
}
