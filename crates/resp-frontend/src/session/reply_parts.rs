//! The parts that several replies have in common.

use crate::command::printable_name;
use chalkwalk_resp::Writer;

/// The server version that clients see. Client libraries infer the supported features from it, and
/// there is no other way to announce "at least 7".
pub const VERSION: &str = "7.0.0";

/// Writes the error for a subcommand that is unknown or has the wrong number of arguments, in the
/// wording that cluster servers use.
pub fn unknown_subcommand(command: &str, subcommand: &str, out: &mut Writer) {
    out.error(&format!("ERR unknown subcommand '{}'. Try {command} HELP.", printable_name(subcommand)));
}

/// Writes the name and the value of a field, both as bulk strings.
pub fn text_field(name: &str, value: &str, out: &mut Writer) {
    out.bulk_string(name.as_bytes());
    out.bulk_string(value.as_bytes());
}

/// Writes the name of a field as a bulk string, and its value as an integer.
pub fn number_field(name: &str, value: i64, out: &mut Writer) {
    out.bulk_string(name.as_bytes());
    out.integer(value);
}
