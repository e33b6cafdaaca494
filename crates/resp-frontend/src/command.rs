//! Classifies commands: the frontend answers a command itself, sends it to one server, or splits it
//! by slot. No I/O.

mod error;
mod set_options;
#[cfg(test)]
mod tests;

use crate::arguments::Arguments;
use crate::command_table::{CommandSpec, LOCAL_COMMANDS};
use crate::merge::MergeRule;
use chalkwalk_resp::slot_of;
use error::MAX_SLOTS_PER_COMMAND;
use set_options::check_set_options;

pub use error::CommandError;

/// Maximum length of the part of an unknown name that goes into the error.
const MAX_NAME_CHARS: usize = 64;

/// A command, classified by how the frontend handles it.
#[derive(Debug, PartialEq)]
pub enum Command {
    /// The frontend answers the command itself.
    Local,
    /// The command is sent to the server that owns the slot of its keys.
    Keyed(KeyedCommand),
    /// The keys are in several slots: the command is split and sent to several servers.
    Split(SplitCommand),
}

/// A command whose keys are all in one slot.
#[derive(Debug, PartialEq)]
pub struct KeyedCommand {
    /// Whether the command writes.
    pub write: bool,
    /// The keys of the command.
    pub keys: SlotKeys,
}

/// A command that is split into one command per slot.
#[derive(Debug, PartialEq)]
pub struct SplitCommand {
    /// Whether the command writes.
    pub write: bool,
    /// How the replies are merged.
    pub merge: MergeRule,
    /// The number of arguments per key, the key included.
    pub step: usize,
    /// The keys by slot, in the order in which the slots first occur.
    pub parts: Vec<SlotKeys>,
}

/// The keys of a command that are in one slot.
#[derive(Debug, PartialEq)]
pub struct SlotKeys {
    /// The slot.
    pub slot: u16,
    /// The positions of the keys among the arguments.
    pub positions: Vec<usize>,
}

/// Classifies a command. `split_multi_slot` allows a command with keys in several slots to be split
/// into one command per slot.
pub fn classify_command(arguments: &Arguments, split_multi_slot: bool) -> Result<Command, CommandError> {
    let name = arguments.keyword(0);
    if LOCAL_COMMANDS.contains(&name.as_str()) {
        return Ok(Command::Local);
    }
    let Some(spec) = CommandSpec::find(&name) else {
        return Err(CommandError::Unknown(printable_name(&name)));
    };
    if !spec.accepts(arguments.len()) {
        return Err(CommandError::WrongArity(spec.name.to_lowercase()));
    }
    if let Some(start) = spec.set_options_start {
        check_set_options(arguments, start)?;
    }
    let merge = spec.merge.filter(|_| split_multi_slot);
    let max_slots = if merge.is_some() { MAX_SLOTS_PER_COMMAND } else { 1 };
    let positions = spec.key_positions(arguments.len());
    let Some(mut parts) = keys_by_slot(arguments, positions, max_slots) else {
        return Err(if merge.is_some() { CommandError::TooManySlots } else { CommandError::CrossSlot });
    };
    if parts.len() == 1
        && let Some(keys) = parts.pop()
    {
        return Ok(Command::Keyed(KeyedCommand { write: spec.write, keys }));
    }
    let Some(merge) = merge else { return Err(CommandError::CrossSlot) };
    Ok(Command::Split(SplitCommand { write: spec.write, merge, step: spec.keys.step, parts }))
}

/// The start of a name that a client sent, without control characters, for use in an error.
pub fn printable_name(name: &str) -> String {
    let printable: String = name.chars().take(MAX_NAME_CHARS).filter(|char| !char.is_control()).collect();
    printable.to_lowercase()
}

/// Groups keys by slot; `None` if they are in more than `max_slots` slots.
fn keys_by_slot(arguments: &Arguments, positions: Vec<usize>, max_slots: usize) -> Option<Vec<SlotKeys>> {
    let mut parts: Vec<SlotKeys> = Vec::new();
    for position in positions {
        let slot = slot_of(arguments.get(position));
        match parts.iter().position(|part| part.slot == slot) {
            Some(index) => parts[index].positions.push(position),
            None if parts.len() == max_slots => return None,
            None => parts.push(SlotKeys { slot, positions: vec![position] }),
        }
    }
    Some(parts)
}
