//! What several replies consist of.

use crate::command::shown;
use chalkwalk_resp::Writer;

/// The server version that clients see: drivers infer features from it, and the dialect has no
/// other name for "at least 7".
pub const VERSION: &str = "7.0.0";

/// The dialect's error for a subcommand that is unknown or has the wrong number of arguments.
pub fn unknown_subcommand(command: &str, subcommand: &str, out: &mut Writer) {
    out.error(&format!("ERR unknown subcommand '{}'. Try {command} HELP.", shown(subcommand)));
}

/// Writes a key and its value, both as bulk strings.
pub fn text_field(name: &str, value: &str, out: &mut Writer) {
    out.bulk_string(name.as_bytes());
    out.bulk_string(value.as_bytes());
}

/// Writes a key and its value, a number.
pub fn number_field(name: &str, value: i64, out: &mut Writer) {
    out.bulk_string(name.as_bytes());
    out.integer(value);
}
