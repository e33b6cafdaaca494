//! Why the proxies could not be run, which makes a run void.

use std::io;

/// Why the proxies could not be run.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// No process could be started.
    #[error("cannot start a proxy: {0}")]
    Start(io::Error),
    /// No process could be started in place of one that had ended.
    #[error("cannot start {name} again: {error}")]
    Restart {
        /// The proxy's name.
        name: String,
        /// Why.
        error: io::Error,
    },
    /// A process ended before it was up.
    #[error("{name} ended at its start: {status}")]
    EndedAtStart {
        /// The proxy's name.
        name: String,
        /// How it ended.
        status: String,
    },
    /// A process was not up in time.
    #[error("{name} was not up within {seconds} s")]
    NotUp {
        /// The proxy's name.
        name: String,
        /// How long it had.
        seconds: u64,
    },
}
