//! `COMMAND`, as drivers send it when they connect: the table of commands, its length, or rows of
//! it.

use super::reply_parts::unknown_subcommand;
use crate::arguments::Arguments;
use crate::command_table::{COMMANDS, CommandSpec, LastKey};
use chalkwalk_resp::Writer;

/// The last argument, as the dialect counts positions from the end.
const LAST_ARGUMENT: i64 = -1;

/// `COMMAND [subcommand ...]`
pub fn reply(arguments: &Arguments, out: &mut Writer) {
    let subcommand = arguments.keyword(1);
    match subcommand.as_str() {
        "" => {
            out.array(COMMANDS.len());
            COMMANDS.iter().for_each(|spec| row(spec, out));
        }
        "COUNT" => out.number(COMMANDS.len() as i64),
        "INFO" => info(arguments, out),
        "DOCS" => out.map(0),
        _ => unknown_subcommand("COMMAND", &subcommand, out),
    }
}

/// `COMMAND INFO name...`
fn info(arguments: &Arguments, out: &mut Writer) {
    let names = 2..arguments.len();
    out.array(names.len());
    for position in names {
        match CommandSpec::find(&arguments.keyword(position)) {
            Some(spec) => row(spec, out),
            None => out.null(),
        }
    }
}

/// Name, arity, flags, first key, last key and step.
fn row(spec: &CommandSpec, out: &mut Writer) {
    const FIELDS: usize = 6;
    let last_key = match spec.keys.last {
        LastKey::First => spec.keys.first as i64,
        LastKey::LastArgument => LAST_ARGUMENT,
    };
    out.array(FIELDS);
    out.bulk(spec.name.to_lowercase().as_bytes());
    out.number(spec.arity);
    out.array(1);
    out.simple(if spec.write { "write" } else { "readonly" });
    out.number(spec.keys.first as i64);
    out.number(last_key);
    out.number(spec.keys.step as i64);
}
