//! Errors that end the program without a result.

use chalkwalk_testbed::baseline::BaselineError;
use chalkwalk_testbed::experiment::ExperimentError;
use chalkwalk_testbed::report::page::ChartError;
use chalkwalk_testbed::run::RunError;
use std::io;
use std::path::{Path, PathBuf};

/// An error that ends the program without a result.
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
    /// The problems of an experiment file, one per line.
    #[error("{}", problems_of(.path, .error))]
    Experiment { path: PathBuf, error: ExperimentError },
    /// The experiment of `try` and `fleet`, which is compiled in, is invalid.
    #[error("invalid built-in experiment: {0}")]
    BuiltIn(ExperimentError),
    /// Errors of several files, one for each.
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
    /// The system refuses the parent-death signal that `keep` needs.
    #[error("cannot set the parent-death signal: {0}")]
    Keep(rustix::io::Errno),
    /// The program that `keep` was given cannot be executed.
    #[error(transparent)]
    Exec(io::Error),
}

fn problems_of(path: &Path, error: &ExperimentError) -> String {
    let line = |problem| format!("{}: {problem}", path.display());
    error.problems.iter().map(line).collect::<Vec<_>>().join("\n")
}

impl CliError {
    /// An error in the command line or the environment.
    pub fn usage(text: impl Into<String>) -> CliError {
        CliError::Usage(text.into())
    }
}
