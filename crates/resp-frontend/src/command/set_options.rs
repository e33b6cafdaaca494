//! The options of `SET`: an expiry in seconds or milliseconds, and a condition, each at most once.

use super::error::CommandError;
use crate::arguments::Arguments;

/// Checks the options of a `SET`, which begin at the argument `start`.
pub fn check_set_options(arguments: &Arguments, start: usize) -> Result<(), CommandError> {
    let mut has_expiry = false;
    let mut has_condition = false;
    let mut position = start;
    while position < arguments.len() {
        match arguments.keyword(position).as_str() {
            "EX" | "PX" if !has_expiry => {
                position += 1;
                check_expiry(arguments, position)?;
                has_expiry = true;
            }
            "NX" | "XX" if !has_condition => has_condition = true,
            _ => return Err(CommandError::Syntax),
        }
        position += 1;
    }
    Ok(())
}

fn check_expiry(arguments: &Arguments, position: usize) -> Result<(), CommandError> {
    if position >= arguments.len() {
        return Err(CommandError::Syntax);
    }
    let text = std::str::from_utf8(arguments.get(position)).ok();
    match text.and_then(|text| text.parse::<i64>().ok()) {
        Some(expiry) if expiry > 0 => Ok(()),
        Some(_) => Err(CommandError::InvalidExpiry),
        None => Err(CommandError::NotAnInteger),
    }
}
