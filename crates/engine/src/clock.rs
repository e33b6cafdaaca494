//! The proxy's clock, and a heartbeat that notices when the process stood still (was stopped, or
//! got no core). What is read right after a standstill may have arrived at any moment during it, so
//! arrivals are then dated back to the last heartbeat.

use chalkwalk_time::{Span, Timestamp};
use smol::Timer;
use std::cell::Cell;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The time of one process: Unix time at its start plus what has elapsed since, so that it never
/// goes back.
pub struct Clock {
    unix_at_start: Timestamp,
    start: Instant,
    /// The last moment at which all input that had arrived was known to be read.
    last_heartbeat: Cell<Timestamp>,
}

/// Short beside any time limit, long beside one turn of the executor.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(20);
/// How long reading what arrived during a standstill takes: many turns of the executor.
const CATCH_UP_TIME: Duration = Duration::from_millis(2);
/// A heartbeat older than this means that the process stood still: two and a half intervals. It is
/// 50 ms, which is as late as a response may be.
const STANDSTILL: Span = Span::from_millis(50);

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

    /// The same moment as an instant that timers wait for; moments before the start are the start.
    pub fn instant(&self, at: Timestamp) -> Instant {
        self.start + Duration::from(at.saturating_since(self.unix_at_start))
    }

    /// Records a heartbeat at each interval; never ends.
    pub async fn run_heartbeat(&self) {
        loop {
            self.last_heartbeat.set(self.now());
            Timer::after(HEARTBEAT_INTERVAL).await;
            if self.earliest_arrival() == self.last_heartbeat.get() {
                // Just after a standstill timers may fire before what arrived during it is read.
                Timer::after(CATCH_UP_TIME).await;
            }
        }
    }

    /// Just after a standstill, waits until what arrived during it is read; otherwise returns at
    /// once.
    pub async fn catch_up(&self) {
        if self.now() > self.last_heartbeat.get() + STANDSTILL {
            Timer::after(CATCH_UP_TIME).await;
        }
    }

    /// The earliest moment at which input that is read now can have arrived: now, or the last
    /// heartbeat before a standstill.
    pub fn earliest_arrival(&self) -> Timestamp {
        let now = self.now();
        let last_heartbeat = self.last_heartbeat.get();
        if now > last_heartbeat + STANDSTILL { last_heartbeat } else { now }
    }
}
