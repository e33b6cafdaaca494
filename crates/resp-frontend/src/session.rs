//! The state of one client's connection, and the commands that are answered without a server. No
//! I/O: commands are passed in, and replies are written to a buffer.

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
    /// Executes a local command and writes its reply.
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
            ("SELECT", 2) => write_select_reply(arguments.get(1), out),
            // These commands have no effect: the operator sets by namespace whether replicas may
            // answer reads.
            ("READONLY" | "READWRITE", 1) => out.simple_string("OK"),
            // `ASKING` has no effect: slots migrate between servers, never between proxy instances.
            ("ASKING", 1) => out.simple_string("OK"),
            ("CLIENT", _) => self.client_command(arguments, out),
            ("COMMAND", _) => command_command::reply(arguments, out),
            ("CLUSTER", _) => cluster_command::reply(arguments, settings, out),
            ("INFO", _) => write_info(out),
            _ => out.error(&CommandError::WrongArity(name.to_lowercase()).to_string()),
        }
    }
}

fn write_select_reply(database: &[u8], out: &mut Writer) {
    if database == b"0" {
        out.simple_string("OK")
    } else {
        out.error("ERR SELECT is not allowed in cluster mode")
    }
}

fn write_info(out: &mut Writer) {
    let server = format!("# Server\r\nredis_version:{VERSION}\r\nredis_mode:cluster\r\n");
    let cluster = "# Cluster\r\ncluster_enabled:1\r\n";
    out.bulk_string(format!("{server}{cluster}").as_bytes());
}
