//! The proxy's clock, and what it can't tell: when something came that it reads after a standstill.

use chalkwalk_balancer::Tenths;
use smol::Timer;
use std::cell::Cell;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time at the start, and from there on what has passed: it never goes back.
pub struct Clock {
    unix: Tenths,
    start: Instant,
    beat: Cell<Tenths>, // when all that had come was last known to be heard
}

/// Short beside any time limit, long beside what a turn of the executor takes.
const BEAT: Duration = Duration::from_millis(20);
/// Many turns of the executor.
const HEAR: Duration = Duration::from_millis(2);
/// Two beats and a half: 50 ms, as late as the rules allow an answer to be.
const STANDSTILL: Tenths = 500;

pub fn span(tenths: Tenths) -> Duration {
    Duration::from_micros(tenths.saturating_mul(100))
}

impl Default for Clock {
    fn default() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let unix = (unix.as_micros() / 100) as Tenths;
        Clock { unix, start: Instant::now(), beat: Cell::new(unix) }
    }
}

impl Clock {
    pub fn now(&self) -> Tenths {
        self.unix + (self.start.elapsed().as_micros() / 100) as Tenths
    }

    pub fn instant(&self, at: Tenths) -> Instant {
        self.start + span(at.saturating_sub(self.unix))
    }

    /// Notes again and again that all is heard; never ends.
    pub async fn keep_beat(&self) {
        loop {
            self.beat.set(self.now());
            Timer::after(BEAT).await;
            if self.came_after() == self.beat.get() {
                // Just after a standstill: timers may be told before what came meanwhile is read.
                Timer::after(HEAR).await;
            }
        }
    }

    /// Just after a standstill, waits for the moment in which what came meanwhile is read; else not at all.
    pub async fn hear(&self) {
        if self.now() > self.beat.get() + STANDSTILL {
            Timer::after(HEAR).await;
        }
    }

    /// What is heard now came after this: now, or before a standstill (a stopped process, a starved core).
    pub fn came_after(&self) -> Tenths {
        let (now, beat) = (self.now(), self.beat.get());
        if now > beat + STANDSTILL { beat } else { now }
    }
}
