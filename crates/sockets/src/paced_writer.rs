//! Writes to a peer that may read slowly, and gives up on one that reads below a minimum rate.
//!
//! A writer sees a peer's progress only through the kernel, and late: a socket with a large send
//! buffer is reported writable once a third of it is free, and the peer's kernel opens its receive
//! window in steps of up to an eighth of its receive buffer. A peer that reads steadily may thus
//! accept nothing for many seconds. Hence no single wait is limited to a fixed time: the time that
//! the writer has waited in all is held against the bytes that were accepted.

use crate::stream::{non_empty_slices, write_some};
use crate::wait::with_timeout;
use smol::Async;
use std::fmt;
use std::io::{self, IoSlice};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Minimum rate at which a peer must read. It is half of 64 kB per second, so that a peer that
/// reads at 64 kB per second is served with a margin of a factor of two.
const MIN_READ_BYTES_PER_SECOND: u64 = 32_000;
/// Maximum time that a peer may let the writer wait without accepting a byte, however much it has
/// accepted before. At 64 kB per second a receive buffer of 10 MB opens its window in this time.
const MAX_ALLOWANCE: Duration = Duration::from_secs(20);

/// Why a write failed.
#[derive(Debug)]
pub enum WriteError {
    /// The peer reads below the minimum rate.
    PeerTooSlow,
    /// The connection is broken.
    Connection(io::Error),
}

impl fmt::Display for WriteError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WriteError::PeerTooSlow => formatter.write_str("the peer reads too slowly"),
            WriteError::Connection(error) => write!(formatter, "the connection is broken: {error}"),
        }
    }
}

impl std::error::Error for WriteError {}

/// How long a peer may still keep a writer waiting. Waiting uses it up, and bytes that the peer
/// accepts restore it at the minimum rate.
#[derive(Clone, Copy, Debug)]
pub struct WriteAllowance {
    remaining: Duration,
}

impl WriteAllowance {
    /// The allowance of a peer that has accepted nothing yet.
    pub fn new(initial: Duration) -> WriteAllowance {
        WriteAllowance { remaining: initial }
    }

    /// How long the peer may keep the writer waiting until it accepts the next bytes.
    pub fn remaining(&self) -> Duration {
        self.remaining
    }

    /// Records that the peer accepted bytes after the writer had waited.
    pub fn record(&mut self, waited: Duration, accepted_bytes: usize) {
        let time_at_min_rate =
            Duration::from_millis(1000 * accepted_bytes as u64 / MIN_READ_BYTES_PER_SECOND);
        self.remaining = (self.remaining.saturating_sub(waited) + time_at_min_rate).min(MAX_ALLOWANCE);
    }
}

/// Writes to one peer, in as many calls as the caller likes.
pub struct PacedWriter<'a> {
    stream: &'a Async<TcpStream>,
    allowance: WriteAllowance,
    written_bytes: u64,
}

impl<'a> PacedWriter<'a> {
    /// Creates a writer to a peer that has accepted nothing yet. `initial` is how long the writer
    /// waits for a peer that accepts nothing at all.
    pub fn new(stream: &'a Async<TcpStream>, initial: Duration) -> PacedWriter<'a> {
        PacedWriter { stream, allowance: WriteAllowance::new(initial), written_bytes: 0 }
    }

    /// The bytes that the socket has accepted so far.
    pub fn written_bytes(&self) -> u64 {
        self.written_bytes
    }

    /// Writes all parts in order. Fails if the peer falls below the minimum rate.
    pub async fn write_all(&mut self, parts: &[&[u8]]) -> Result<(), WriteError> {
        let mut slices = non_empty_slices(parts);
        let mut remaining = &mut slices[..];
        while !remaining.is_empty() {
            let written = self.write_some(remaining).await?;
            IoSlice::advance_slices(&mut remaining, written);
        }
        Ok(())
    }

    async fn write_some(&mut self, slices: &[IoSlice<'_>]) -> Result<usize, WriteError> {
        let started_at = Instant::now();
        let written = with_timeout(self.allowance.remaining(), write_some(self.stream, slices))
            .await
            .ok_or(WriteError::PeerTooSlow)?
            .map_err(WriteError::Connection)?;
        self.allowance.record(started_at.elapsed(), written);
        self.written_bytes += written as u64;
        Ok(written)
    }
}
