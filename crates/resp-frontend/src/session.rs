//! One client's connection as it has been set up, and the commands that are answered without a
//! server. No I/O: arguments in, bytes out.

mod auth;
mod client_command;
mod cluster_command;
mod cluster_node;
mod command_command;
mod reply_parts;
mod state;
#[cfg(test)]
mod tests;

use crate::arguments::Arguments;
use crate::command::CommandError;
use crate::settings::Settings;
use chalkwalk_resp::Writer;
use reply_parts::VERSION;

pub use state::Session;

impl Session {
    /// Answers a local command.
    pub fn execute(&mut self, arguments: &Arguments, settings: &Settings, out: &mut Writer) {
        out.resp3 = self.resp3;
        let name = arguments.keyword(0);
        match (name.as_str(), arguments.len()) {
            ("PING", 1) => out.simple_string("PONG"),
            ("PING" | "ECHO", 2) => out.bulk_string(arguments.get(1)),
            ("QUIT", _) => {
                self.closing = true;
                out.simple_string("OK");
            }
            ("HELLO", _) => self.hello(arguments, settings, out),
            ("AUTH", 2 | 3) => self.auth(arguments, settings, out),
            ("SELECT", 2) => select(arguments.get(1), out),
            // Which reads replicas may answer is set by the operator, by request class.
            ("READONLY" | "READWRITE", 1) => out.simple_string("OK"),
            // Slots migrate between servers, never between instances.
            ("ASKING", 1) => out.simple_string("OK"),
            ("CLIENT", _) => self.client_command(arguments, out),
            ("COMMAND", _) => command_command::reply(arguments, out),
            ("CLUSTER", _) => cluster_command::reply(arguments, settings, out),
            ("INFO", _) => info(out),
            _ => out.error(&CommandError::WrongArity(name.to_lowercase()).to_string()),
        }
    }
}

fn select(database: &[u8], out: &mut Writer) {
    if database == b"0" {
        out.simple_string("OK")
    } else {
        out.error("ERR SELECT is not allowed in cluster mode")
    }
}

fn info(out: &mut Writer) {
    let server = format!("# Server\r\nredis_version:{VERSION}\r\nredis_mode:cluster\r\n");
    let cluster = "# Cluster\r\ncluster_enabled:1\r\n";
    out.bulk_string(format!("{server}{cluster}").as_bytes());
}
