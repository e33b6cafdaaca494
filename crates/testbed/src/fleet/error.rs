//! Errors in running the proxies. Each of them invalidates the run.

use std::io;

/// An error in running the proxies.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A proxy's process could not be started.
    #[error("cannot start a proxy: {0}")]
    Start(io::Error),
    /// A proxy's process could not be restarted.
    #[error("cannot restart {name}: {error}")]
    Restart {
        /// The proxy's name.
        name: String,
        /// The cause.
        error: io::Error,
    },
    /// A proxy's process exited before it was ready.
    #[error("{name} exited before it was ready: {status}")]
    EndedAtStart {
        /// The proxy's name.
        name: String,
        /// The exit status.
        status: String,
    },
    /// A proxy was not ready in time.
    #[error("{name} was not ready within {seconds} s")]
    NotUp {
        /// The proxy's name.
        name: String,
        /// The time limit, in seconds.
        seconds: u64,
    },
}
