//! The balancer's random number generator. It is seeded, so that the same calls lead to the same
//! decisions: the order and the number of draws are part of what a capture replays.

use crate::hash::mix;
use crate::snapshot::stored;
use chalkwalk_time::Span;

/// A multiply-with-carry generator, after Marsaglia.
#[derive(Default)]
pub(crate) struct Random {
    state: u64,
}

stored! { Random { state } }

impl Random {
    pub fn seeded(seed: u64) -> Random {
        Random { state: mix(seed) | 1 }
    }

    /// A number that differs between processes. It does not use up a draw.
    pub fn salt(&self) -> u64 {
        mix(self.state)
    }

    /// A uniform draw below `end`.
    pub fn below(&mut self, end: u64) -> u64 {
        self.state = (self.state & 0xffff_ffff) * 4_294_957_665 + (self.state >> 32);
        ((self.state & 0xffff_ffff) * end.max(1)) >> 32
    }

    /// A uniform draw of a span below `end`.
    pub fn span_below(&mut self, end: Span) -> Span {
        Span::from_ticks(self.below(end.ticks()))
    }
}
