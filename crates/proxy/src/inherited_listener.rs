//! The clients' listening socket, if the platform holds it and every process of the proxy inherits
//! it.

use crate::error::StartError;
use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use std::net::TcpListener;

/// The environment variable with the number of the inherited file descriptor.
const FD_VARIABLE: &str = "ROUTER_FD";

/// Returns the inherited listener, if the environment names one. The listener owns a second
/// descriptor of the socket, which the kernel returns: turning the number of the inherited
/// descriptor into an owned descriptor would require unsafe code.
pub fn inherited_listener() -> Result<Option<TcpListener>, StartError> {
    let Some(value) = std::env::var(FD_VARIABLE).ok().filter(|value| !value.is_empty()) else {
        return Ok(None);
    };
    let Some(descriptor) = value.parse::<i32>().ok().filter(|number| *number >= 0) else {
        return Err(StartError::InvalidDescriptor { variable: FD_VARIABLE, value });
    };
    let process = pidfd_open(getpid(), PidfdFlags::empty());
    let socket = process.and_then(|process| pidfd_getfd(process, descriptor, PidfdGetfdFlags::empty()));
    let listener = match socket {
        Ok(socket) => TcpListener::from(socket),
        Err(error) => return Err(StartError::Inherit { variable: FD_VARIABLE, value, error: error.into() }),
    };
    if !socket2::SockRef::from(&listener).is_listener().unwrap_or(false) {
        return Err(StartError::NotListening { variable: FD_VARIABLE, value });
    }
    Ok(Some(listener))
}
