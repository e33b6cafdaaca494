//! The state of one client's connection.

use crate::settings::Settings;

/// The state of one client's connection.
#[derive(Debug, Default)]
pub struct Session {
    /// The id of the connection, which `CLIENT ID` reports.
    pub id: u64,
    /// The client's address, as text.
    pub peer: String,
    /// The name that the client gave its connection.
    pub name: String,
    /// The user as which the client authenticated; empty before, or if no authentication is needed.
    pub user: String,
    /// Whether the client may send any command.
    pub authenticated: bool,
    /// Whether replies to the client are encoded in RESP3.
    pub resp3: bool,
    /// Whether the connection ends after the next reply.
    pub closing: bool,
}

impl Session {
    /// Creates the state of a new connection.
    pub fn new(id: u64, peer: String, settings: &Settings) -> Session {
        Session { id, peer, authenticated: settings.users.is_empty(), ..Session::default() }
    }

    /// Whether the client may run a command now. Before authentication only a few commands are
    /// allowed.
    pub fn may_run(&self, name: &str) -> bool {
        self.authenticated || matches!(name, "AUTH" | "HELLO" | "QUIT")
    }
}
