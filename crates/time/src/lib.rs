//! Instants and spans of time, counted in ticks of a tenth of a millisecond.
//!
//! Decisions are pure: the time is passed in, by the engine's clock or by a simulator's. A tick is short enough that no limit
//! of a deployment is lost to rounding, and a `u64` of ticks lasts for longer than any process. Both types are stored and sent
//! as their bare number of ticks. The crate does no I/O and reads no clock.

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
