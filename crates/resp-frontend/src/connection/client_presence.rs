//! Whether the client of a connection is still there, as far as its connection shows without being
//! read. Unread commands may lie before the end of the stream.
//!
//! A reset tells that the client has gone. The end of the stream alone does not: a client may have
//! closed only its sending side and wait for its replies. A reply tells the two apart, as the
//! machine of a client that has gone answers it with a reset. Once the stream has ended, further
//! commands therefore begin only while a recent reply was accepted.

use chalkwalk_sockets::{PeerState, peer_state};
use smol::{Async, Timer};
use std::cell::Cell;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval at which a connection with open requests is checked. No attempt may begin later than
/// 100 ms after its client has left.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long a sign of the client holds: together with [`CHECK_INTERVAL`] it is 100 ms.
const SIGN_VALIDITY: Duration = Duration::from_millis(50);
/// Time after the write of a reply until a reset in return would have arrived.
const RESET_DELAY: Duration = Duration::from_millis(5);

/// The client at the other end of a connection.
pub struct ClientPresence {
    stream: Rc<Async<TcpStream>>,
    /// When the end of the stream was noticed.
    ended_at: Cell<Option<Instant>>,
    /// When the first reply was written that has not been confirmed.
    unconfirmed_write_at: Cell<Option<Instant>>,
    /// When the last confirmed reply was written.
    confirmed_at: Cell<Option<Instant>>,
}

/// What a check has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sign {
    Present,
    Gone,
    Unknown,
}

impl ClientPresence {
    /// The client of a new connection.
    pub fn new(stream: &Rc<Async<TcpStream>>) -> Rc<ClientPresence> {
        Rc::new(ClientPresence {
            stream: stream.clone(),
            ended_at: Cell::default(),
            unconfirmed_write_at: Cell::default(),
            confirmed_at: Cell::default(),
        })
    }

    /// Whether the client has reset the connection.
    pub fn has_reset(&self) -> bool {
        peer_state(&self.stream) == PeerState::Reset
    }

    /// Records that replies were written.
    pub fn record_write(&self) {
        if self.unconfirmed_write_at.get().is_none() {
            self.unconfirmed_write_at.set(Some(Instant::now()));
        }
    }

    /// Returns once the client has reset the connection. It is checked for while a reply is awaited;
    /// an idle connection is read, which shows the reset.
    pub async fn wait_until_reset(&self) {
        while self.check(false) != Sign::Gone {
            Timer::after(CHECK_INTERVAL).await;
        }
    }

    /// Waits until a further command may begin. Never returns if the client has gone.
    /// `has_open_requests` is whether replies are still to be written.
    pub async fn wait_until_present(&self, has_open_requests: impl Fn() -> bool) {
        loop {
            match self.check(has_open_requests()) {
                Sign::Present => return,
                Sign::Gone => std::future::pending().await,
                Sign::Unknown => Timer::after(RESET_DELAY).await,
            };
        }
    }

    fn check(&self, has_open_requests: bool) -> Sign {
        match peer_state(&self.stream) {
            PeerState::Reset => Sign::Gone,
            PeerState::Open => Sign::Present,
            PeerState::Ended => self.check_ended(has_open_requests, Instant::now()),
        }
    }

    fn check_ended(&self, has_open_requests: bool, now: Instant) -> Sign {
        let ended_at = self.ended_at.get().unwrap_or(now);
        self.ended_at.set(Some(ended_at));
        if let Some(written_at) = self.unconfirmed_write_at.get()
            && now >= written_at + RESET_DELAY
        {
            self.confirmed_at.set(Some(written_at));
            self.unconfirmed_write_at.set(None);
        }
        let is_recent = |at: Instant| now < at + SIGN_VALIDITY;
        let awaits_confirmation = has_open_requests || self.unconfirmed_write_at.get().is_some();
        if is_recent(ended_at) || self.confirmed_at.get().is_some_and(is_recent) || !awaits_confirmation {
            Sign::Present
        } else {
            Sign::Unknown
        }
    }
}
