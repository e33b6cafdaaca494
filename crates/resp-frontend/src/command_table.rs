//! The commands that clients may send: commands on keys, which servers answer, and commands that
//! the frontend answers itself.

use crate::merge::MergeRule;

/// The specification of a command that servers answer.
pub struct CommandSpec {
    /// The name in upper case.
    pub name: &'static str,
    /// The number of arguments, the name included. If negative, its absolute value is the minimum
    /// number of arguments.
    pub arity: i64,
    /// Whether the command writes.
    pub write: bool,
    /// The positions of the keys.
    pub keys: KeyPositions,
    /// The position of the first option of `SET`; `None` for other commands, which have no options
    /// to check.
    pub set_options_start: Option<usize>,
    /// How the replies are merged if the command is split into one command per slot; `None` if the
    /// command can't be split.
    pub merge: Option<MergeRule>,
}

/// The positions of the keys among the arguments of a command.
#[derive(Clone, Copy)]
pub struct KeyPositions {
    /// The position of the first key.
    pub first: usize,
    /// The position of the last key.
    pub last: LastKey,
    /// The distance from one key to the next.
    pub step: usize,
}

/// The position of the last key.
#[derive(Clone, Copy, PartialEq)]
pub enum LastKey {
    /// The first key is the only one.
    First,
    /// The keys extend to the last argument. If `step` is above 1, the last key is the one whose
    /// values end with the last argument.
    LastArgument,
}

impl CommandSpec {
    /// Finds a command by its name in upper case.
    pub fn find(name: &str) -> Option<&'static CommandSpec> {
        COMMANDS.iter().find(|spec| spec.name == name)
    }

    /// Whether the command accepts this number of arguments, the name included.
    pub fn accepts(&self, argument_count: usize) -> bool {
        let count = argument_count as i64;
        let arity_fits = if self.arity < 0 { count >= -self.arity } else { count == self.arity };
        arity_fits && (argument_count - self.keys.first).is_multiple_of(self.keys.step)
    }

    /// The positions of the keys among this number of arguments.
    pub fn key_positions(&self, argument_count: usize) -> Vec<usize> {
        let last = match self.keys.last {
            LastKey::First => self.keys.first,
            LastKey::LastArgument => argument_count - 1,
        };
        (self.keys.first..=last).step_by(self.keys.step).collect()
    }
}

const ONE_KEY: KeyPositions = KeyPositions { first: 1, last: LastKey::First, step: 1 };
const ALL_KEYS: KeyPositions = KeyPositions { first: 1, last: LastKey::LastArgument, step: 1 };
const KEYS_AND_VALUES: KeyPositions = KeyPositions { first: 1, last: LastKey::LastArgument, step: 2 };

const fn spec(name: &'static str, arity: i64, write: bool, keys: KeyPositions) -> CommandSpec {
    CommandSpec { name, arity, write, keys, set_options_start: None, merge: None }
}

/// The commands that servers answer, as the public command reference specifies them.
pub const COMMANDS: [CommandSpec; 9] = [
    spec("GET", 2, false, ONE_KEY),
    CommandSpec { set_options_start: Some(3), ..spec("SET", -3, true, ONE_KEY) },
    CommandSpec { merge: Some(MergeRule::Sum), ..spec("DEL", -2, true, ALL_KEYS) },
    CommandSpec { merge: Some(MergeRule::Sum), ..spec("EXISTS", -2, false, ALL_KEYS) },
    spec("EXPIRE", 3, true, ONE_KEY),
    spec("TTL", 2, false, ONE_KEY),
    CommandSpec { merge: Some(MergeRule::Values), ..spec("MGET", -2, false, ALL_KEYS) },
    CommandSpec { merge: Some(MergeRule::AllOk), ..spec("MSET", -3, true, KEYS_AND_VALUES) },
    spec("STRLEN", 2, false, ONE_KEY),
];

/// The commands that the frontend answers itself: connection and cluster commands.
pub const LOCAL_COMMANDS: [&str; 13] = [
    "PING",
    "ECHO",
    "QUIT",
    "HELLO",
    "AUTH",
    "SELECT",
    "CLIENT",
    "COMMAND",
    "CLUSTER",
    "READONLY",
    "READWRITE",
    "ASKING",
    "INFO",
];
