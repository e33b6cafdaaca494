//! Decides what a server may get in its slow start: a share of its keys that grows with its age, the same at every proxy, and
//! within tokens, one an attempt. Guards a server that comes back, and the origin behind its misses.
//!
//! Inputs: when the server started, and the answers of it and of others. Tokens are earned by its own answers and misses,
//! and by answers of others: as much as the mean server answers, cut by its progress, so that it is not pushed over when far more
//! is requested than the fleet can do.

use crate::settings::Settings;
use crate::snapshot::stored;
use chalkwalk_time::Timestamp;

/// A server that is past its slow start, in thousandths.
const COMPLETE: u64 = 1000;
/// One attempt, in thousandths of a token.
const ONE_ATTEMPT: u64 = 1000;
/// Attempts that a server gets in a second from all proxies together at the least, as at their worst servers in slow start bear
/// twice that.
const FLEET_TOKEN_FLOOR: u64 = 4 * ONE_ATTEMPT;
const MIN_PROXY_COUNT: u64 = 4;

/// How far a server is through its slow start.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) struct Progress(u64);

impl Progress {
    pub fn new(settings: &Settings, started_at: Timestamp, now: Timestamp) -> Progress {
        let age = now.saturating_since(started_at);
        if started_at.is_zero() || age >= settings.slow_start_time {
            return Progress(COMPLETE);
        }
        let share = settings.slow_start_share
            + (1.0 - settings.slow_start_share) * age.ticks() as f64
                / settings.slow_start_time.ticks() as f64;
        Progress((1000.0 * share) as u64)
    }

    pub fn is_done(self) -> bool {
        self.0 == COMPLETE
    }

    /// Whether a key, by a hash of it, is in the share that the server stands for.
    pub fn includes(self, hash: u64) -> bool {
        hash % 1000 < self.0
    }

    /// What an answer of another server earns it, beside so many ready servers.
    fn earned_by_others(self, ready: u64) -> u64 {
        self.0 * 5 / 4 / ready
    }
}

/// Thousandths of an attempt that a server may have from this proxy in a second whatever it has earned, or a fleet that is all
/// in slow start would stay so.
pub(crate) fn token_floor(settings: &Settings) -> u64 {
    FLEET_TOKEN_FLOOR / settings.proxies.max(MIN_PROXY_COUNT)
}

/// The attempts that a server may still be sent while it is in slow start.
#[derive(Default)]
pub(crate) struct SlowStart {
    /// Thousandths of an attempt.
    tokens: u64,
}

stored! { SlowStart { tokens } }

impl SlowStart {
    /// A new process. Some of many proxies begin with an attempt, by a draw of one, or all would send theirs together.
    pub fn restart(&mut self, floor: u64, draw: u64) {
        self.tokens = floor + draw;
    }

    /// The end of the draw at a start.
    pub const DRAW_END: u64 = ONE_ATTEMPT;

    pub fn has_token(&self) -> bool {
        self.tokens >= ONE_ATTEMPT
    }

    pub fn spend(&mut self) {
        self.tokens = self.tokens.saturating_sub(ONE_ATTEMPT);
    }

    /// A second has passed.
    pub fn refill(&mut self, floor: u64) {
        if !self.has_token() {
            self.tokens += floor;
        }
    }

    /// An answer came, its own or another's.
    pub fn earn(&mut self, own: bool, progress: Progress, ready: u64, floor: u64) {
        let earned = if own { ONE_ATTEMPT } else { progress.earned_by_others(ready) };
        self.tokens = (self.tokens + earned).min(ONE_ATTEMPT + 2 * floor);
    }
}
