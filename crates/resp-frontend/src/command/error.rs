//! The errors for commands that are rejected without a request to a server.

use thiserror::Error;

/// Maximum number of slots in one command. The largest expected commands, which read the covers of
/// a reading list, have a few dozen keys.
pub const MAX_SLOTS_PER_COMMAND: usize = 64;

/// Why a command is rejected. The text is the error reply to the client, in the wording that
/// cluster servers use.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CommandError {
    /// The command's name is unknown.
    #[error("ERR unknown command '{0}'")]
    Unknown(String),
    /// The number of arguments is wrong for the command.
    #[error("ERR wrong number of arguments for '{0}' command")]
    WrongArity(String),
    /// An expiry is zero or negative.
    #[error("ERR invalid expire time in 'set' command")]
    InvalidExpiry,
    /// An expiry is not an integer.
    #[error("ERR value is not an integer or out of range")]
    NotAnInteger,
    /// An option is unknown, given twice, or lacks its value.
    #[error("ERR syntax error")]
    Syntax,
    /// The keys are in several slots, and the command may not be split.
    #[error("CROSSSLOT Keys in request don't hash to the same slot")]
    CrossSlot,
    /// The keys are in more slots than one command may access.
    #[error("ERR the keys are in more than {MAX_SLOTS_PER_COMMAND} slots")]
    TooManySlots,
}
