//! Finds the lines of values in the file, and collects errors with their lines.

use chalkwalk_limits::{ConfigError, Located};
use toml::Spanned;

/// The text of a file. Finds the line of a byte offset.
#[derive(Clone, Copy)]
pub(crate) struct Lines<'a>(pub &'a str);

impl Lines<'_> {
    /// The line that contains the byte at this offset, counted from 1.
    pub fn line_at(self, byte: usize) -> usize {
        let before = &self.0.as_bytes()[..byte.min(self.0.len())];
        before.iter().filter(|byte| **byte == b'\n').count() + 1
    }

    /// The line where a value begins.
    pub fn line_of<T>(self, value: &Spanned<T>) -> usize {
        self.line_at(value.span().start)
    }

    /// A copy of a value, with its line.
    pub fn located<T: Clone>(self, value: &Spanned<T>) -> Located<T> {
        Located::new(value.get_ref().clone(), self.line_of(value))
    }
}

/// The errors found so far, in any order.
pub(crate) struct ErrorList<'a> {
    lines: Lines<'a>,
    found: Vec<ConfigError>,
}

impl<'a> ErrorList<'a> {
    pub fn new(lines: Lines<'a>) -> ErrorList<'a> {
        ErrorList { lines, found: Vec::new() }
    }

    /// Adds an error at the line of a value.
    pub fn add<T>(&mut self, value: &Spanned<T>, message: impl Into<String>) {
        self.found.push(ConfigError { line: self.lines.line_of(value), message: message.into() });
    }

    pub fn extend(&mut self, errors: Vec<ConfigError>) {
        self.found.extend(errors);
    }

    /// Each error once, ordered by line.
    pub fn into_sorted(mut self) -> Vec<ConfigError> {
        self.found.sort();
        self.found.dedup();
        self.found
    }
}
