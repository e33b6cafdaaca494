//! What is to be done with a command: answered here, sent to one server, or split by slot. No I/O.

mod error;
mod set_options;
#[cfg(test)]
mod tests;

use crate::arguments::Arguments;
use crate::command_table::{CommandSpec, LOCAL_COMMANDS};
use crate::merge::MergeRule;
use chalkwalk_resp::slot_of;
use error::MAX_SLOTS;
use set_options::check_set_options;

pub use error::CommandError;

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

/// Decides what is to be done with a command. `split`: whether keys in several slots are split into
/// one command a slot.
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
