//! `CLIENT`: the connection's id and name, and what libraries report of themselves.

use super::reply_parts::unknown_subcommand;
use super::state::Session;
use crate::arguments::Arguments;
use chalkwalk_resp::Writer;

/// The longest name that a client may give its connection. The dialect sets no limit; a name is
/// held as long as its connection.
const MAX_NAME: usize = 128;

/// The dialect's error for a name that is too long or has characters that names may not have.
pub const INVALID_NAME: &str = "ERR Client names cannot contain spaces, newlines or special characters.";

impl Session {
    /// Sets the connection's name, unless it is too long or has characters that the dialect does
    /// not allow.
    pub(super) fn set_name(&mut self, name: &[u8]) -> bool {
        let valid = name.len() <= MAX_NAME && name.iter().all(u8::is_ascii_graphic);
        if valid {
            self.name = String::from_utf8_lossy(name).to_string();
        }
        valid
    }

    /// `CLIENT subcommand ...`
    pub(super) fn client_command(&mut self, arguments: &Arguments, out: &mut Writer) {
        let subcommand = arguments.keyword(1);
        match (subcommand.as_str(), arguments.len()) {
            ("ID", 2) => out.integer(self.id as i64),
            ("GETNAME", 2) => out.bulk_string(self.name.as_bytes()),
            ("SETNAME", 3) if self.set_name(arguments.get(2)) => out.simple_string("OK"),
            ("SETNAME", 3) => {
                out.error(INVALID_NAME);
            }
            // Libraries report their names and versions, which nothing here depends on.
            ("SETINFO", 4) => out.simple_string("OK"),
            ("INFO", 2) => out.bulk_string(self.info_line().as_bytes()),
            _ => unknown_subcommand("CLIENT", &subcommand, out),
        }
    }

    fn info_line(&self) -> String {
        let Session { id, peer, name, user, .. } = self;
        format!("id={id} addr={peer} name={name} user={user} resp={}\n", self.protocol_version())
    }
}
