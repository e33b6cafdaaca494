//! Lines of the file: those of values, and errors by line.

use chalkwalk_limits::{ConfigError, Located};
use toml::Spanned;

/// The lines of a text, by the position of a byte.
#[derive(Clone, Copy)]
pub(crate) struct Lines<'a>(pub &'a str);

impl Lines<'_> {
    /// The line of a byte, counted from 1.
    pub fn at(self, byte: usize) -> usize {
        let before = &self.0.as_bytes()[..byte.min(self.0.len())];
        before.iter().filter(|byte| **byte == b'\n').count() + 1
    }

    pub fn of<T>(self, value: &Spanned<T>) -> usize {
        self.at(value.span().start)
    }

    /// A value with its line.
    pub fn located<T: Clone>(self, value: &Spanned<T>) -> Located<T> {
        Located::new(value.get_ref().clone(), self.of(value))
    }
}

/// Errors found so far, in any order.
pub(crate) struct Errors<'a> {
    lines: Lines<'a>,
    found: Vec<ConfigError>,
}

impl<'a> Errors<'a> {
    pub fn new(lines: Lines<'a>) -> Errors<'a> {
        Errors { lines, found: Vec::new() }
    }

    /// An error in the line of this value.
    pub fn add<T>(&mut self, value: &Spanned<T>, message: impl Into<String>) {
        self.found.push(ConfigError { line: self.lines.of(value), message: message.into() });
    }

    pub fn extend(&mut self, errors: Vec<ConfigError>) {
        self.found.extend(errors);
    }

    /// Each error once, by line.
    pub fn into_sorted(mut self) -> Vec<ConfigError> {
        self.found.sort();
        self.found.dedup();
        self.found
    }
}
