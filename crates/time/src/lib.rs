//! Timestamps and time spans, counted in ticks of a tenth of a millisecond.
//!
//! Code that makes decisions reads no clock: its callers pass in the time of the engine's clock or
//! of a simulator's. A tick is short enough that rounding loses no configured limit, and a `u64` of
//! ticks outlasts any process. Both types are stored and sent as their plain number of ticks. The
//! crate does no I/O and reads no clock.

mod span;
mod timestamp;

pub use span::Span;
pub use timestamp::Timestamp;

/// Ticks in a millisecond.
pub const TICKS_PER_MILLISECOND: u64 = 10;
/// Ticks in a second.
pub const TICKS_PER_SECOND: u64 = 1_000 * TICKS_PER_MILLISECOND;
/// Microseconds in a tick.
const MICROSECONDS_PER_TICK: u64 = 100;
