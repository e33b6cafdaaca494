//! What is to be done with a command: answered here, sent to one server, or split by slot. No I/O.

mod set_options;
#[cfg(test)]
mod tests;

use crate::arguments::Arguments;
use crate::command_table::{CommandSpec, LOCAL_COMMANDS};
use crate::merge::MergeRule;
use chalkwalk_resp::slot_of;
use set_options::check_set_options;
use thiserror::Error;

/// Slots that one command may touch: a reading list has some dozens of covers.
const MAX_SLOTS: usize = 64;
/// How much of an unknown name goes into the error.
const MAX_SHOWN: usize = 64;

/// A command by what is to be done with it.
#[derive(Debug, PartialEq)]
pub enum Command {
    /// This frontend answers it itself.
    Local,
    /// For the server that owns its slot.
    Keyed(KeyedCommand),
    /// For several servers: its keys are in several slots.
    Split(SplitCommand),
}

/// A command whose keys are all in one slot.
#[derive(Debug, PartialEq)]
pub struct KeyedCommand {
    /// Whether it writes.
    pub write: bool,
    /// Its keys in one slot.
    pub keys: SlotKeys,
}

/// A command that is split into one a slot.
#[derive(Debug, PartialEq)]
pub struct SplitCommand {
    /// Whether it writes.
    pub write: bool,
    /// How the replies are merged.
    pub merge: MergeRule,
    /// A key and the arguments that belong to it.
    pub step: usize,
    /// Its keys by slot, in the order in which the slots occur.
    pub parts: Vec<SlotKeys>,
}

/// Keys of a command in one slot.
#[derive(Debug, PartialEq)]
pub struct SlotKeys {
    /// The slot.
    pub slot: u16,
    /// The positions of the keys among the arguments.
    pub positions: Vec<usize>,
}

/// Why a command is rejected; the text is the error that the client gets, in the dialect's own words.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CommandError {
    /// No command of that name is known.
    #[error("ERR unknown command '{0}'")]
    Unknown(String),
    /// The command of that name takes fewer or more arguments.
    #[error("ERR wrong number of arguments for '{0}' command")]
    WrongArity(String),
    /// An expiry is zero or negative.
    #[error("ERR invalid expire time in 'set' command")]
    InvalidExpiry,
    /// An expiry is not a number.
    #[error("ERR value is not an integer or out of range")]
    NotAnInteger,
    /// An option is unknown, given twice, or lacks its value.
    #[error("ERR syntax error")]
    Syntax,
    /// The keys are in several slots, and the command may not be split.
    #[error("CROSSSLOT Keys in request don't hash to the same slot")]
    CrossSlot,
    /// The keys are in more slots than one command may touch.
    #[error("ERR the keys are in more than {MAX_SLOTS} slots")]
    TooManySlots,
}

/// Decides what is to be done with a command. `split`: whether keys in several slots are split into one command a slot.
pub fn classify_command(arguments: &Arguments, split: bool) -> Result<Command, CommandError> {
    let name = arguments.keyword(0);
    if LOCAL_COMMANDS.contains(&name.as_str()) {
        return Ok(Command::Local);
    }
    let Some(spec) = CommandSpec::find(&name) else {
        return Err(CommandError::Unknown(shown(&name)));
    };
    if !spec.accepts(arguments.len()) {
        return Err(CommandError::WrongArity(spec.name.to_lowercase()));
    }
    if let Some(from) = spec.options_from {
        check_set_options(arguments, from)?;
    }
    let mut parts = keys_by_slot(arguments, spec.key_positions(arguments.len()));
    if parts.len() == 1
        && let Some(keys) = parts.pop()
    {
        return Ok(Command::Keyed(KeyedCommand { write: spec.write, keys }));
    }
    let Some(merge) = spec.merge.filter(|_| split) else {
        return Err(CommandError::CrossSlot);
    };
    if parts.len() > MAX_SLOTS {
        return Err(CommandError::TooManySlots);
    }
    Ok(Command::Split(SplitCommand { write: spec.write, merge, step: spec.keys.step, parts }))
}

/// The start of a name that a client sent, as it may stand in an error.
pub fn shown(name: &str) -> String {
    let printable: String = name.chars().take(MAX_SHOWN).filter(|char| !char.is_control()).collect();
    printable.to_lowercase()
}

fn keys_by_slot(arguments: &Arguments, positions: Vec<usize>) -> Vec<SlotKeys> {
    let mut parts: Vec<SlotKeys> = Vec::new();
    for position in positions {
        let slot = slot_of(arguments.get(position));
        match parts.iter_mut().find(|part| part.slot == slot) {
            Some(part) => part.positions.push(position),
            None => parts.push(SlotKeys { slot, positions: vec![position] }),
        }
    }
    parts
}
