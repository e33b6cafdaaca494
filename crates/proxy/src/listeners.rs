//! The sockets that the proxy listens on.

use crate::error::StartError;
use crate::inherited_listener::inherited_listener;
use smol::Async;
use std::net::{SocketAddr, TcpListener};

/// The library's 128 are soon filled while all clients connect at once; one over waits for a second.
const BACKLOG: i32 = 1024;

/// The clients' listening socket.
pub struct ClientListener {
    pub socket: TcpListener,
    /// Whether the platform holds the socket, so that other processes of this proxy accept on it too.
    pub is_inherited: bool,
}

/// The inherited listener, or a new one on this address.
pub fn client_listener(address: SocketAddr) -> Result<ClientListener, StartError> {
    let failed = |error| StartError::Bind { address, error };
    let inherited = inherited_listener()?;
    let is_inherited = inherited.is_some();
    let socket = match inherited {
        Some(socket) => socket,
        None => TcpListener::bind(address).map_err(failed)?,
    };
    socket2::SockRef::from(&socket).listen(BACKLOG).map_err(failed)?;
    Ok(ClientListener { socket, is_inherited })
}

/// A new listener on this address, if there is one.
pub fn bind(address: Option<SocketAddr>) -> Result<Option<Async<TcpListener>>, StartError> {
    let Some(address) = address else { return Ok(None) };
    let socket = TcpListener::bind(address).and_then(Async::new);
    socket.map(Some).map_err(|error| StartError::Bind { address, error })
}
