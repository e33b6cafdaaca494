//! Bytes on sockets, waits that end, and room for long messages. It may use smol and the standard library; nothing of
//! a protocol, a request or a server ever enters it.

use smol::future::FutureExt;
use smol::{Async, Timer};
use std::cell::Cell;
use std::io::{self, IoSlice, Read, Write};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What comes of a wait that is given up at some moment; what is there by then counts.
pub async fn wait_until<T>(end: Instant, wait: impl Future<Output = T>) -> Option<T> {
    let over = async {
        Timer::at(end).await;
        None
    };
    async { Some(wait.await) }.or(over).await
}

pub async fn within<T>(limit: Duration, wait: impl Future<Output = T>) -> Option<T> {
    wait_until(Instant::now() + limit, wait).await
}

/// The most that is read at once, in bytes: a quarter of the longest body on the platform.
const MOST_READ: usize = 16 << 10;

/// Reads some more into the buffer; `Ok(0)` is the end. Dropped while it waits, it leaves the buffer as it was.
pub async fn read_more(stream: &Async<TcpStream>, buf: &mut Vec<u8>) -> io::Result<usize> {
    // A page at a time, as heads fit; what is longer already is read in longer parts.
    let most = if buf.len() < 4096 { 4096 } else { MOST_READ };
    read_up_to(stream, buf, most).await
}

/// The same, so many bytes at most.
pub async fn read_up_to(stream: &Async<TcpStream>, buf: &mut Vec<u8>, most: usize) -> io::Result<usize> {
    loop {
        let old = buf.len();
        buf.resize(old + most, 0);
        let got = stream.get_ref().read(&mut buf[old..]);
        buf.truncate(old + got.as_ref().copied().unwrap_or(0));
        match got {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => stream.readable().await?,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            got => return got,
        }
    }
}

/// Writes all parts, gathered.
pub async fn write_all(stream: &Async<TcpStream>, parts: &[&[u8]]) -> io::Result<()> {
    let mut slices: Vec<IoSlice> = parts.iter().filter(|p| !p.is_empty()).map(|p| IoSlice::new(p)).collect();
    let mut left = &mut slices[..];
    while !left.is_empty() {
        match stream.write_with(|mut s| s.write_vectored(left)).await? {
            0 => return Err(io::ErrorKind::WriteZero.into()),
            n => IoSlice::advance_slices(&mut left, n),
        }
    }
    Ok(())
}

/// Whether nothing has come on a connection that nothing should come on.
pub fn is_idle(stream: &Async<TcpStream>) -> bool {
    let mut one = [0];
    matches!(stream.get_ref().peek(&mut one), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

/// How many bytes all long messages may hold together, from their head until they are passed on.
#[derive(Clone)]
pub struct MemoryBudget(Rc<Cell<usize>>, usize);

/// A part of the room, given back when it goes.
pub struct MemoryReservation {
    room: MemoryBudget,
    bytes: usize,
}

impl MemoryBudget {
    pub fn new(bytes: usize) -> MemoryBudget {
        MemoryBudget(Rc::new(Cell::new(bytes)), bytes)
    }

    /// All of it, in bytes.
    pub fn capacity(&self) -> usize {
        self.1
    }

    /// Takes so many bytes, unless that is more than is left.
    pub fn try_reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        let left = self.0.get().checked_sub(bytes)?;
        self.0.set(left);
        Some(MemoryReservation { room: self.clone(), bytes })
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.room.0.set(self.room.0.get() + self.bytes);
    }
}
