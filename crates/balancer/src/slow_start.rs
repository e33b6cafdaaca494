//! Decides what a server may get during its slow start: a share of its keys that grows with its
//! age, the same keys at every proxy, and only as many attempts as it has tokens. Protects a server
//! that has just started, and the origin that its misses go to.
//!
//! Inputs: when the server started, and the answers of this and other servers. A server earns
//! tokens by its own answers and misses, and by answers of other servers: 5/4 of what the mean
//! server answers, reduced according to its own progress, so that it is not overloaded when far
//! more is requested than the fleet can serve.

use crate::settings::Settings;
use crate::snapshot::stored;
use chalkwalk_time::Timestamp;

/// The progress of a server that has finished its slow start, in thousandths.
const COMPLETE: u64 = 1000;
/// One attempt, in thousandths of a token.
const ONE_ATTEMPT: u64 = 1000;
/// The minimum number of attempts per second that a server gets from all proxies together, in
/// thousandths. Even in the worst case, a server in slow start can serve twice that.
const FLEET_TOKEN_FLOOR: u64 = 4 * ONE_ATTEMPT;
/// The smallest number of proxies among which the floor of a server is divided.
const MIN_PROXY_COUNT: u64 = 4;

/// How far a server is through its slow start, in thousandths.
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

    /// Whether a key, given a hash of it, is in the share that the server serves.
    pub fn includes(self, hash: u64) -> bool {
        hash % 1000 < self.0
    }

    /// The tokens that an answer of another server earns this one, with `ready` servers in service.
    fn earned_by_others(self, ready: u64) -> u64 {
        self.0 * 5 / 4 / ready
    }
}

/// The tokens that a server without a whole token gets from this proxy per second even if it earns
/// none, in thousandths of an attempt. Without them, a fleet in which all servers are in slow start
/// would get no attempts that earn tokens.
pub(crate) fn token_floor(settings: &Settings) -> u64 {
    FLEET_TOKEN_FLOOR / settings.proxies.max(MIN_PROXY_COUNT)
}

/// The attempts that a server in slow start may still get.
#[derive(Default)]
pub(crate) struct SlowStart {
    /// In thousandths of an attempt.
    tokens: u64,
}

stored! { SlowStart { tokens } }

impl SlowStart {
    /// Resets the tokens for a new process of the server. The random draw lets only some of many
    /// proxies begin with a whole token; otherwise all of them would send an attempt at the same
    /// time.
    pub fn restart(&mut self, floor: u64, draw: u64) {
        self.tokens = floor + draw;
    }

    /// The upper bound, exclusive, of the random draw at a restart.
    pub const DRAW_END: u64 = ONE_ATTEMPT;

    pub fn has_token(&self) -> bool {
        self.tokens >= ONE_ATTEMPT
    }

    pub fn spend(&mut self) {
        self.tokens = self.tokens.saturating_sub(ONE_ATTEMPT);
    }

    /// Adds the token floor if no whole token is left; called once a second.
    pub fn refill(&mut self, floor: u64) {
        if !self.has_token() {
            self.tokens += floor;
        }
    }

    /// Earns tokens for an answer of this server (`by_this_server`) or of another one.
    pub fn earn(&mut self, by_this_server: bool, progress: Progress, ready: u64, floor: u64) {
        let earned = if by_this_server { ONE_ATTEMPT } else { progress.earned_by_others(ready) };
        self.tokens = (self.tokens + earned).min(ONE_ATTEMPT + 2 * floor);
    }
}
