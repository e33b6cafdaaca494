//! What is wrong with an experiment's file, each problem with its line.

use std::fmt;

/// One problem, on a line counted from 1.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    /// The line of the file, from 1.
    pub line: usize,
    /// What is wrong there.
    pub text: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.text)
    }
}

/// Every problem of a file, in order of lines; shown one a line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", .problems.iter().map(Problem::to_string).collect::<Vec<_>>().join("\n"))]
pub struct ExperimentError {
    /// At least one, sorted by line.
    pub problems: Vec<Problem>,
}

impl ExperimentError {
    /// Sorts the problems by line.
    pub(super) fn new(mut problems: Vec<Problem>) -> ExperimentError {
        problems.sort();
        ExperimentError { problems }
    }
}
