//! `CLIENT`: the id and the name of the connection, and the details that client libraries report
//! about themselves.

use super::reply_parts::unknown_subcommand;
use super::state::Session;
use crate::arguments::Arguments;
use chalkwalk_resp::Writer;

/// Maximum length of a connection name. Cluster servers set no limit, but a name takes memory
/// while its connection is open.
const MAX_NAME_BYTES: usize = 128;

/// The error for a connection name that is too long or has characters that are not allowed, in the
/// wording that cluster servers use.
pub const INVALID_NAME: &str = "ERR Client names cannot contain spaces, newlines or special characters.";

impl Session {
    /// Sets the connection name and returns true, unless the name is too long or has characters
    /// that are not allowed.
    pub(super) fn try_set_name(&mut self, name: &[u8]) -> bool {
        let valid = name.len() <= MAX_NAME_BYTES && name.iter().all(u8::is_ascii_graphic);
        if valid {
            self.name = String::from_utf8_lossy(name).to_string();
        }
        valid
    }

    /// Executes `CLIENT subcommand ...`.
    pub(super) fn client_command(&mut self, arguments: &Arguments, out: &mut Writer) {
        let subcommand = arguments.keyword(1);
        match (subcommand.as_str(), arguments.len()) {
            ("ID", 2) => out.integer(self.id as i64),
            ("GETNAME", 2) => out.bulk_string(self.name.as_bytes()),
            ("SETNAME", 3) if self.try_set_name(arguments.get(2)) => out.simple_string("OK"),
            ("SETNAME", 3) => {
                out.error(INVALID_NAME);
            }
            // Client libraries report their names and versions, which are ignored.
            ("SETINFO", 4) => out.simple_string("OK"),
            ("INFO", 2) => out.bulk_string(self.client_info().as_bytes()),
            _ => unknown_subcommand("CLIENT", &subcommand, out),
        }
    }

    fn client_info(&self) -> String {
        let Session { id, peer, name, user, .. } = self;
        format!("id={id} addr={peer} name={name} user={user} resp={}\n", self.protocol_version())
    }
}
