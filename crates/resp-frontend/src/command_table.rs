//! The commands that clients may send: those for servers with their keys, and those that this
//! frontend answers itself.

use crate::merge::MergeRule;

/// A command for servers.
pub struct CommandSpec {
    /// Its name in upper case.
    pub name: &'static str,
    /// Its arguments, the name included; negative: at least so many.
    pub arity: i64,
    /// Whether it writes.
    pub write: bool,
    /// Where its keys stand.
    pub keys: KeyPositions,
    /// From which argument on there are the options of `SET`, which are checked.
    pub options_from: Option<usize>,
    /// How the replies are merged where keys in several slots are split into one command a slot;
    /// none: it can't be split.
    pub merge: Option<MergeRule>,
}

/// Where the keys of a command stand among its arguments.
#[derive(Clone, Copy)]
pub struct KeyPositions {
    /// The first key.
    pub first: usize,
    /// The last key.
    pub last: LastKey,
    /// From one key to the next.
    pub step: usize,
}

/// Which key is the last.
#[derive(Clone, Copy, PartialEq)]
pub enum LastKey {
    /// The first: there is only one.
    First,
    /// The last argument, or with a step the last key that has all of its step.
    LastArgument,
}

impl CommandSpec {
    /// Looks a command up by its name in upper case.
    pub fn find(name: &str) -> Option<&'static CommandSpec> {
        COMMANDS.iter().find(|spec| spec.name == name)
    }

    /// Whether it accepts so many arguments, the name included.
    pub fn accepts(&self, argument_count: usize) -> bool {
        let count = argument_count as i64;
        let arity_fits = if self.arity < 0 { count >= -self.arity } else { count == self.arity };
        arity_fits && (argument_count - self.keys.first).is_multiple_of(self.keys.step)
    }

    /// The positions of its keys among so many arguments.
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
    CommandSpec { name, arity, write, keys, options_from: None, merge: None }
}

/// The commands for servers, by the public command reference.
pub const COMMANDS: [CommandSpec; 9] = [
    spec("GET", 2, false, ONE_KEY),
    CommandSpec { options_from: Some(3), ..spec("SET", -3, true, ONE_KEY) },
    CommandSpec { merge: Some(MergeRule::Sum), ..spec("DEL", -2, true, ALL_KEYS) },
    CommandSpec { merge: Some(MergeRule::Sum), ..spec("EXISTS", -2, false, ALL_KEYS) },
    spec("EXPIRE", 3, true, ONE_KEY),
    spec("TTL", 2, false, ONE_KEY),
    CommandSpec { merge: Some(MergeRule::Values), ..spec("MGET", -2, false, ALL_KEYS) },
    CommandSpec { merge: Some(MergeRule::AllOk), ..spec("MSET", -3, true, KEYS_AND_VALUES) },
    spec("STRLEN", 2, false, ONE_KEY),
];

/// The commands that this frontend answers itself: connection and cluster commands.
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
