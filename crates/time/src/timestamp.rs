//! A point in time.

use crate::Span;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, AddAssign, Sub};

/// A point in time, in ticks of a tenth of a millisecond since an origin that the clock defines:
/// Unix time for the proxy, the start of the simulated day for a simulator.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Serialize)]
#[serde(transparent)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The origin. In a field, it means that the field has not been set.
    pub const ZERO: Timestamp = Timestamp(0);
    /// The latest timestamp; later than any actual time.
    pub const MAX: Timestamp = Timestamp(u64::MAX);

    /// The timestamp the given number of ticks after the origin.
    pub const fn from_ticks(ticks: u64) -> Timestamp {
        Timestamp(ticks)
    }

    /// The number of ticks since the origin.
    pub const fn ticks(self) -> u64 {
        self.0
    }

    /// Whether this is the origin, which marks a field that has not been set.
    pub const fn is_zero(self) -> bool {
        self.0 == 0
    }

    /// The time since `earlier`, or zero if `earlier` is in fact later.
    pub const fn saturating_since(self, earlier: Timestamp) -> Span {
        Span::from_ticks(self.0.saturating_sub(earlier.0))
    }

    /// The time since `earlier`, or `None` if `earlier` is in fact later.
    pub fn checked_since(self, earlier: Timestamp) -> Option<Span> {
        self.0.checked_sub(earlier.0).map(Span::from_ticks)
    }

    /// The number of whole periods since the origin.
    pub const fn whole_periods(self, period: Span) -> u64 {
        self.0 / period.ticks()
    }

    /// The time since the start of the present period, where periods count from the origin.
    pub const fn elapsed_in_period(self, period: Span) -> Span {
        Span::from_ticks(self.0 % period.ticks())
    }

    /// The timestamp plus a span, or [`Timestamp::MAX`] on overflow.
    pub const fn saturating_add(self, span: Span) -> Timestamp {
        Timestamp(self.0.saturating_add(span.ticks()))
    }
}

/// Printed as the plain number of ticks, as it is stored.
impl fmt::Debug for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl Add<Span> for Timestamp {
    type Output = Timestamp;
    fn add(self, span: Span) -> Timestamp {
        Timestamp(self.0 + span.ticks())
    }
}

impl AddAssign<Span> for Timestamp {
    fn add_assign(&mut self, span: Span) {
        self.0 += span.ticks();
    }
}

impl Sub<Span> for Timestamp {
    type Output = Timestamp;
    fn sub(self, span: Span) -> Timestamp {
        Timestamp(self.0 - span.ticks())
    }
}

impl Sub for Timestamp {
    type Output = Span;
    fn sub(self, earlier: Timestamp) -> Span {
        Span::from_ticks(self.0 - earlier.0)
    }
}
