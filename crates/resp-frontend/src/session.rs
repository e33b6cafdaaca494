//! The state of one client's connection, and the commands that are answered without a server. No I/O: arguments in, bytes out.

mod auth;
mod client_command;
mod cluster_command;
mod cluster_node;
mod command_command;
#[cfg(test)]
mod tests;

use crate::arguments::Arguments;
use crate::command::{CommandError, shown};
use crate::settings::Settings;
use chalkwalk_resp::Writer;

/// The server version that clients see: drivers infer features from it, and the dialect has no other name for "at least 7".
const VERSION: &str = "7.0.0";

/// What a connection has agreed on so far.
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

    /// Answers a local command.
    pub fn execute(&mut self, arguments: &Arguments, settings: &Settings, out: &mut Writer) {
        out.resp3 = self.resp3;
        let name = arguments.keyword(0);
        match (name.as_str(), arguments.len()) {
            ("PING", 1) => out.simple("PONG"),
            ("PING" | "ECHO", 2) => out.bulk(arguments.get(1)),
            ("QUIT", _) => {
                self.closing = true;
                out.simple("OK");
            }
            ("HELLO", _) => self.hello(arguments, settings, out),
            ("AUTH", 2 | 3) => self.auth(arguments, settings, out),
            ("SELECT", 2) => select(arguments.get(1), out),
            // Which reads replicas may answer is set by the operator, by request class.
            ("READONLY" | "READWRITE", 1) => out.simple("OK"),
            // Slots migrate between servers, never between instances.
            ("ASKING", 1) => out.simple("OK"),
            ("CLIENT", _) => self.client_command(arguments, out),
            ("COMMAND", _) => command_command::reply(arguments, out),
            ("CLUSTER", _) => cluster_command::reply(arguments, settings, out),
            ("INFO", _) => info(out),
            _ => out.error(&CommandError::WrongArity(name.to_lowercase()).to_string()),
        }
    }
}

fn select(database: &[u8], out: &mut Writer) {
    if database == b"0" { out.simple("OK") } else { out.error("ERR SELECT is not allowed in cluster mode") }
}

fn info(out: &mut Writer) {
    let server = format!("# Server\r\nredis_version:{VERSION}\r\nredis_mode:cluster\r\n");
    let cluster = "# Cluster\r\ncluster_enabled:1\r\n";
    out.bulk(format!("{server}{cluster}").as_bytes());
}

/// The dialect's error for a subcommand that is unknown or has the wrong number of arguments.
fn unknown_subcommand(command: &str, subcommand: &str, out: &mut Writer) {
    out.error(&format!("ERR unknown subcommand '{}'. Try {command} HELP.", shown(subcommand)));
}

/// Writes a key and its value, both as bulk strings.
fn text_field(name: &str, value: &str, out: &mut Writer) {
    out.bulk(name.as_bytes());
    out.bulk(value.as_bytes());
}

/// Writes a key and its value, a number.
fn number_field(name: &str, value: i64, out: &mut Writer) {
    out.bulk(name.as_bytes());
    out.number(value);
}
