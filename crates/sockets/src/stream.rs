//! Reads and writes on a TCP stream.

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use smol::Async;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::TcpStream;

/// Size of the first read of a message, in bytes: one page, as most message heads fit into it.
const FIRST_READ_BYTES: usize = 4096;
/// Size of later reads of a message, in bytes: a quarter of the longest body on the platform.
pub const LATER_READ_BYTES: usize = 16 << 10;

/// Waits until the stream is readable, and appends the available bytes to the buffer, at most 4 or
/// 16 KiB. `Ok(0)` means the end of the stream. The buffer is unchanged if the future is dropped
/// before it completes.
pub async fn read_more(stream: &Async<TcpStream>, buf: &mut Vec<u8>) -> io::Result<usize> {
    let limit = if buf.len() < FIRST_READ_BYTES { FIRST_READ_BYTES } else { LATER_READ_BYTES };
    read_up_to(stream, buf, limit).await
}

/// Like [`read_more`], with the given limit in bytes.
pub async fn read_up_to(stream: &Async<TcpStream>, buf: &mut Vec<u8>, limit: usize) -> io::Result<usize> {
    loop {
        let filled = buf.len();
        buf.resize(filled + limit, 0);
        let result = stream.get_ref().read(&mut buf[filled..]);
        buf.truncate(filled + result.as_ref().copied().unwrap_or(0));
        match result {
            Err(error) if error.kind() == ErrorKind::WouldBlock => stream.readable().await?,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Writes all parts in order, with as few vectored writes as the socket allows.
pub async fn write_all(stream: &Async<TcpStream>, parts: &[&[u8]]) -> io::Result<()> {
    let mut slices = non_empty_slices(parts);
    let mut remaining = &mut slices[..];
    while !remaining.is_empty() {
        let written = write_some(stream, remaining).await?;
        IoSlice::advance_slices(&mut remaining, written);
    }
    Ok(())
}

/// The parts that are not empty, for a vectored write.
pub(crate) fn non_empty_slices<'a>(parts: &[&'a [u8]]) -> Vec<IoSlice<'a>> {
    parts.iter().filter(|part| !part.is_empty()).map(|part| IoSlice::new(part)).collect()
}

/// Writes as many bytes as the socket accepts at once, and waits until it accepts some.
pub(crate) async fn write_some(stream: &Async<TcpStream>, slices: &[IoSlice<'_>]) -> io::Result<usize> {
    match stream.write_with(|mut socket| socket.write_vectored(slices)).await? {
        0 => Err(ErrorKind::WriteZero.into()),
        written => Ok(written),
    }
}

/// Whether the connection is open and has nothing to read. False means that the peer has closed it,
/// or has sent data that it was not asked for; these bytes stay unread.
pub fn is_idle(stream: &Async<TcpStream>) -> bool {
    let mut byte = [0];
    matches!(stream.get_ref().peek(&mut byte), Err(error) if error.kind() == ErrorKind::WouldBlock)
}

/// What a connection shows of its peer without being read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// The peer may send more.
    Open,
    /// The peer has ended its sending side; unread bytes may lie before the end.
    Ended,
    /// The connection is broken, usually by a reset. Unread bytes may still be readable.
    Reset,
}

/// The state of the peer, whether or not unread bytes lie before the end of the stream.
pub fn peer_state(stream: &Async<TcpStream>) -> PeerState {
    let mut fds = [PollFd::new(stream.get_ref(), PollFlags::RDHUP)];
    let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
    if poll(&mut fds, Some(&at_once)).is_err() {
        return PeerState::Open;
    }
    let flags = fds[0].revents();
    if flags.intersects(PollFlags::HUP | PollFlags::ERR) {
        PeerState::Reset
    } else if flags.contains(PollFlags::RDHUP) {
        PeerState::Ended
    } else {
        PeerState::Open
    }
}
