//! What ends the program without a result.

use chalkwalk_testbed::baseline::BaselineError;
use chalkwalk_testbed::experiment::ExperimentError;
use chalkwalk_testbed::report::page::ChartError;
use chalkwalk_testbed::run::RunError;
use std::io;
use std::path::{Path, PathBuf};

/// What ends the program without a result.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    #[error("{0}")]
    Usage(String),
    #[error(transparent)]
    Arguments(#[from] pico_args::Error),
    #[error("cannot read {path}: {error}", path = .path.display())]
    Read { path: PathBuf, error: io::Error },
    #[error("cannot write {path}: {error}", path = .path.display())]
    Write { path: PathBuf, error: io::Error },
    /// What is wrong with a file, a line for each problem.
    #[error("{}", problems_of(.path, .error))]
    Experiment { path: PathBuf, error: ExperimentError },
    /// An experiment that is built in or drawn.
    #[error("the built-in experiment: {0}")]
    BuiltIn(ExperimentError),
    /// Several files of which each has an error.
    #[error("{}", .0.iter().map(CliError::to_string).collect::<Vec<_>>().join("\n"))]
    Several(Vec<CliError>),
    #[error("cannot write {path}: {error}", path = .path.display())]
    Chart { path: PathBuf, error: ChartError },
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    Run(#[from] RunError),
    #[error(transparent)]
    Baseline(#[from] BaselineError),
    /// The system refuses what `keep` needs.
    #[error("cannot be kept: {0}")]
    Keep(rustix::io::Errno),
    /// A program that cannot be run.
    #[error(transparent)]
    Exec(io::Error),
}

fn problems_of(path: &Path, error: &ExperimentError) -> String {
    let line = |problem| format!("{}: {problem}", path.display());
    error.problems.iter().map(line).collect::<Vec<_>>().join("\n")
}

impl CliError {
    /// Arguments that make no sense.
    pub fn usage(text: impl Into<String>) -> CliError {
        CliError::Usage(text.into())
    }
}
