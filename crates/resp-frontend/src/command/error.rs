//! Why a command is rejected before any server gets it.

use thiserror::Error;

/// Slots that one command may touch: a reading list has some dozens of covers.
pub const MAX_SLOTS: usize = 64;

/// Why a command is rejected; the text is the error reply, as the dialect defines it.
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
