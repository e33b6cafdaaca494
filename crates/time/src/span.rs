//! A length of time.

use crate::{MICROSECONDS_PER_TICK, TICKS_PER_MILLISECOND, TICKS_PER_SECOND};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::iter::Sum;
use std::ops::{Add, AddAssign, Div, Mul, Sub, SubAssign};
use std::time::Duration;

/// A length of time in ticks of a tenth of a millisecond.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Serialize)]
#[serde(transparent)]
pub struct Span(u64);

impl Span {
    /// No time at all.
    pub const ZERO: Span = Span(0);
    /// One tick, the shortest span that is not zero.
    pub const TICK: Span = Span(1);
    /// The longest span: longer than any process runs.
    pub const MAX: Span = Span(u64::MAX);

    /// A span of the given number of ticks.
    pub const fn from_ticks(ticks: u64) -> Span {
        Span(ticks)
    }

    /// A span of the given number of milliseconds.
    pub const fn from_millis(milliseconds: u64) -> Span {
        Span(milliseconds * TICKS_PER_MILLISECOND)
    }

    /// A span of the given number of seconds.
    pub const fn from_secs(seconds: u64) -> Span {
        Span(seconds * TICKS_PER_SECOND)
    }

    /// The number of ticks.
    pub const fn ticks(self) -> u64 {
        self.0
    }

    /// The span in milliseconds, with one decimal place.
    pub fn as_millis_f64(self) -> f64 {
        self.0 as f64 / TICKS_PER_MILLISECOND as f64
    }

    /// The whole milliseconds of the span.
    pub const fn as_millis(self) -> u64 {
        self.0 / TICKS_PER_MILLISECOND
    }

    /// Whether the span is zero.
    pub const fn is_zero(self) -> bool {
        self.0 == 0
    }

    /// Whether the span is at most as long as the other, usable in constants.
    pub const fn is_at_most(self, other: Span) -> bool {
        self.0 <= other.0
    }

    /// The sum, usable in constants.
    pub const fn plus(self, other: Span) -> Span {
        Span(self.0 + other.0)
    }

    /// The difference, usable in constants.
    pub const fn minus(self, other: Span) -> Span {
        Span(self.0 - other.0)
    }

    /// The product, usable in constants.
    pub const fn times(self, factor: u64) -> Span {
        Span(self.0 * factor)
    }

    /// The difference, or zero if the other span is longer.
    pub const fn saturating_sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

/// Printed as the plain number of ticks, as it is stored.
impl fmt::Debug for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl From<Duration> for Span {
    fn from(duration: Duration) -> Span {
        Span(duration.as_micros() as u64 / MICROSECONDS_PER_TICK)
    }
}

impl From<Span> for Duration {
    fn from(span: Span) -> Duration {
        Duration::from_micros(span.0.saturating_mul(MICROSECONDS_PER_TICK))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0 + other.0)
    }
}

impl AddAssign for Span {
    fn add_assign(&mut self, other: Span) {
        self.0 += other.0;
    }
}

impl Sub for Span {
    type Output = Span;
    fn sub(self, other: Span) -> Span {
        Span(self.0 - other.0)
    }
}

impl SubAssign for Span {
    fn sub_assign(&mut self, other: Span) {
        self.0 -= other.0;
    }
}

impl Mul<u64> for Span {
    type Output = Span;
    fn mul(self, factor: u64) -> Span {
        Span(self.0 * factor)
    }
}

impl Mul<Span> for u64 {
    type Output = Span;
    fn mul(self, span: Span) -> Span {
        Span(self * span.0)
    }
}

impl Div<u64> for Span {
    type Output = Span;
    fn div(self, divisor: u64) -> Span {
        Span(self.0 / divisor)
    }
}

/// How many times the other span fits into this one.
impl Div for Span {
    type Output = u64;
    fn div(self, other: Span) -> u64 {
        self.0 / other.0
    }
}

impl Sum for Span {
    fn sum<I: Iterator<Item = Span>>(spans: I) -> Span {
        spans.fold(Span::ZERO, Add::add)
    }
}
