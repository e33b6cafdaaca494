//! What a connection has agreed on so far.

use crate::settings::Settings;

/// The state of one client's connection.
#[derive(Debug, Default)]
pub struct Session {
    /// The connection's number, which clients see as their id.
    pub id: u64,
    /// The client's address.
    pub peer: String,
    /// The name that the client gave its connection.
    pub name: String,
    /// The user that it authenticated as; empty where nobody has to.
    pub user: String,
    /// Whether it may send any command.
    pub authenticated: bool,
    /// Whether it is answered in RESP3.
    pub resp3: bool,
    /// Whether the connection ends with the next reply.
    pub closing: bool,
}

impl Session {
    /// The state of a new connection.
    pub fn new(id: u64, peer: String, settings: &Settings) -> Session {
        Session { id, peer, authenticated: settings.users.is_empty(), ..Session::default() }
    }

    /// Whether a command may be sent now: before authentication only few may.
    pub fn may_run(&self, name: &str) -> bool {
        self.authenticated || matches!(name, "AUTH" | "HELLO" | "QUIT")
    }
}
