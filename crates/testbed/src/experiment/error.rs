//! Problems of an experiment file, with their lines.

use std::fmt;

/// One problem of an experiment file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    /// The line in the file, counted from 1.
    pub line: usize,
    /// What is wrong on that line.
    pub text: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.text)
    }
}

/// All problems of a file; they are displayed one per line, ordered by their lines in the file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", .problems.iter().map(Problem::to_string).collect::<Vec<_>>().join("\n"))]
pub struct ExperimentError {
    /// The problems, at least one, sorted by line.
    pub problems: Vec<Problem>,
}

impl ExperimentError {
    /// Sorts the problems by line.
    pub(super) fn new(mut problems: Vec<Problem>) -> ExperimentError {
        problems.sort();
        ExperimentError { problems }
    }
}
