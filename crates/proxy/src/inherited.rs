//! The clients' listening socket where the platform holds it, and every process of the proxy inherits it.

use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use std::net::TcpListener;

/// Names the descriptor.
const NAMED_BY: &str = "ROUTER_FD";

/// The listener that was inherited, if one is named. It is had by asking the system for a second descriptor of it: to call a
/// bare number an owned descriptor would take unsafe code.
pub fn listener() -> Result<Option<TcpListener>, String> {
    let Some(said) = std::env::var(NAMED_BY).ok().filter(|said| !said.is_empty()) else {
        return Ok(None);
    };
    let number = said.parse::<i32>().ok().filter(|n| *n >= 0);
    let number = number.ok_or(format!("{NAMED_BY}: expected a descriptor's number, got \"{said}\""))?;
    let own = pidfd_open(getpid(), PidfdFlags::empty());
    let inherited = own.and_then(|own| pidfd_getfd(own, number, PidfdGetfdFlags::empty()));
    let listener = inherited.map(TcpListener::from).map_err(|e| format!("{NAMED_BY}={said}: {e}"))?;
    let listens = socket2::SockRef::from(&listener).is_listener().unwrap_or(false);
    if listens { Ok(Some(listener)) } else { Err(format!("{NAMED_BY}={said}: no listening socket")) }
}
