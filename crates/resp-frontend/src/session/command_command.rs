//! `COMMAND`, which client libraries send when they connect: the specifications of all or some
//! commands, or the number of commands.

use super::reply_parts::unknown_subcommand;
use crate::arguments::Arguments;
use crate::command_table::{COMMANDS, CommandSpec, LastKey};
use chalkwalk_resp::Writer;

/// The position of the last argument. Negative positions count from the end.
const LAST_ARGUMENT: i64 = -1;

/// Writes the reply to `COMMAND [subcommand ...]`.
pub fn reply(arguments: &Arguments, out: &mut Writer) {
    let subcommand = arguments.keyword(1);
    match subcommand.as_str() {
        "" => {
            out.array_header(COMMANDS.len());
            COMMANDS.iter().for_each(|spec| write_command_spec(spec, out));
        }
        "COUNT" => out.integer(COMMANDS.len() as i64),
        "INFO" => write_info(arguments, out),
        "DOCS" => out.map_header(0),
        _ => unknown_subcommand("COMMAND", &subcommand, out),
    }
}

/// Writes the reply to `COMMAND INFO name...`.
fn write_info(arguments: &Arguments, out: &mut Writer) {
    let names = 2..arguments.len();
    out.array_header(names.len());
    for position in names {
        match CommandSpec::find(&arguments.keyword(position)) {
            Some(spec) => write_command_spec(spec, out),
            None => out.null(),
        }
    }
}

/// Writes a command's name, arity, flags, first key, last key and step.
fn write_command_spec(spec: &CommandSpec, out: &mut Writer) {
    const FIELDS: usize = 6;
    let last_key = match spec.keys.last {
        LastKey::First => spec.keys.first as i64,
        LastKey::LastArgument => LAST_ARGUMENT,
    };
    out.array_header(FIELDS);
    out.bulk_string(spec.name.to_lowercase().as_bytes());
    out.integer(spec.arity);
    out.array_header(1);
    out.simple_string(if spec.write { "write" } else { "readonly" });
    out.integer(spec.keys.first as i64);
    out.integer(last_key);
    out.integer(spec.keys.step as i64);
}
