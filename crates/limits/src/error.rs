//! Errors in an operator's file.

use std::fmt;

/// One error in an operator's file. Errors are ordered by line.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigError {
    /// The line to correct, counted from 1.
    pub line: usize,
    /// What is wrong with this line.
    pub message: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.line, self.message)
    }
}

impl std::error::Error for ConfigError {}

/// Errors in the order in which they are found; the same error may be found several times.
#[derive(Default)]
pub(crate) struct ErrorList(Vec<ConfigError>);

impl ErrorList {
    pub fn add(&mut self, line: usize, message: String) {
        self.0.push(ConfigError { line, message });
    }

    /// Each error once, ordered by line.
    pub fn into_sorted(self) -> Vec<ConfigError> {
        let ErrorList(mut errors) = self;
        errors.sort();
        errors.dedup();
        errors
    }
}
