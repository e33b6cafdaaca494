//! The proxy's clock, and what it can't tell: when something came that it reads after a standstill.

use chalkwalk_time::{Span, Timestamp};
use smol::Timer;
use std::cell::Cell;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time at the start, and from there on what has passed: it never goes back.
pub struct Clock {
    unix: Timestamp,
    start: Instant,
    beat: Cell<Timestamp>, // when all that had come was last known to be heard
}

/// Short beside any time limit, long beside what a turn of the executor takes.
const BEAT: Duration = Duration::from_millis(20);
/// Many turns of the executor.
const HEAR: Duration = Duration::from_millis(2);
/// Two beats and a half: 50 ms, as late as the rules allow an answer to be.
const STANDSTILL: Span = Span::from_millis(50);

impl Default for Clock {
    fn default() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let unix = Timestamp::ZERO + Span::from(unix);
        Clock { unix, start: Instant::now(), beat: Cell::new(unix) }
    }
}

impl Clock {
    pub fn now(&self) -> Timestamp {
        self.unix + Span::from(self.start.elapsed())
    }

    pub fn instant(&self, at: Timestamp) -> Instant {
        self.start + Duration::from(at.saturating_since(self.unix))
    }

    /// Notes again and again that all is heard; never ends.
    pub async fn run_heartbeat(&self) {
        loop {
            self.beat.set(self.now());
            Timer::after(BEAT).await;
            if self.earliest_arrival() == self.beat.get() {
                // Just after a standstill: timers may be told before what came meanwhile is read.
                Timer::after(HEAR).await;
            }
        }
    }

    /// Just after a standstill, waits for the moment in which what came meanwhile is read; else not at all.
    pub async fn catch_up(&self) {
        if self.now() > self.beat.get() + STANDSTILL {
            Timer::after(HEAR).await;
        }
    }

    /// What is heard now came after this: now, or before a standstill (a stopped process, a starved core).
    pub fn earliest_arrival(&self) -> Timestamp {
        let (now, beat) = (self.now(), self.beat.get());
        if now > beat + STANDSTILL { beat } else { now }
    }
}
