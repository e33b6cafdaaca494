//! The sockets that the proxy listens on.

use crate::error::StartError;
use crate::inherited_listener::inherited_listener;
use smol::Async;
use std::net::{SocketAddr, TcpListener};

/// The length of the accept queue, in connections. The standard library's 128 entries fill up when
/// all clients connect at once, and a connection beyond them is delayed by a second.
const LISTEN_BACKLOG: i32 = 1024;

/// The clients' listening socket.
pub struct ClientListener {
    pub socket: TcpListener,
    /// Whether the platform holds the socket, so that other processes of this proxy accept on it
    /// too.
    pub is_inherited: bool,
}

/// Returns the inherited listener, or binds a new one to this address.
pub fn client_listener(address: SocketAddr) -> Result<ClientListener, StartError> {
    let bind_error = |error| StartError::Bind { address, error };
    let inherited = inherited_listener()?;
    let is_inherited = inherited.is_some();
    let socket = match inherited {
        Some(socket) => socket,
        None => TcpListener::bind(address).map_err(bind_error)?,
    };
    socket2::SockRef::from(&socket).listen(LISTEN_BACKLOG).map_err(bind_error)?;
    Ok(ClientListener { socket, is_inherited })
}

/// Binds a new listener to the address, if one is given.
pub fn bind(address: Option<SocketAddr>) -> Result<Option<Async<TcpListener>>, StartError> {
    let Some(address) = address else { return Ok(None) };
    let socket = TcpListener::bind(address).and_then(Async::new);
    socket.map(Some).map_err(|error| StartError::Bind { address, error })
}
