//! What is wrong with an operator's file, by line.

use std::fmt;

/// One thing that is wrong. Ordered by line, so that a file's errors read from its top to its end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigError {
    /// The line to change, counted from 1.
    pub line: usize,
    /// What is wrong with it.
    pub message: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.line, self.message)
    }
}

impl std::error::Error for ConfigError {}

/// Errors as they are found, in any order and some twice.
#[derive(Default)]
pub(crate) struct ErrorList(Vec<ConfigError>);

impl ErrorList {
    pub fn add(&mut self, line: usize, message: String) {
        self.0.push(ConfigError { line, message });
    }

    /// Each error once, by line.
    pub fn into_sorted(self) -> Vec<ConfigError> {
        let ErrorList(mut errors) = self;
        errors.sort();
        errors.dedup();
        errors
    }
}
