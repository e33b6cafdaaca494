//! Why a command of the program fails. Each error is printed on standard error, and the program
//! exits with status 2.

use chalkwalk_capture::{OpenError, UnsupportedFormat};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// What is wrong with the command line.
#[derive(Debug, thiserror::Error)]
pub enum UsageError {
    #[error("{0}")]
    Argument(#[from] pico_args::Error),
    #[error("unknown argument {0}")]
    UnknownArgument(String),
    #[error("unknown command {0}; chalkwalk --help lists them")]
    UnknownCommand(String),
    #[error("no command; chalkwalk --help lists them")]
    NoCommand,
    #[error("no configuration: give --config FILE or set ROUTER_CONFIG")]
    NoConfiguration,
    #[error("--log {0}: unknown format, expected plain or json")]
    UnknownLogFormat(String),
    #[error("expected capture info, replay, cut, or show --lookup N\n{usage}")]
    UnknownCaptureCommand { usage: &'static str },
    #[error("capture cut requires --call N and --to FILE")]
    IncompleteCut,
    #[error("unknown namespace \"{name}\"; known namespaces: {known}")]
    UnknownNamespace { name: String, known: String },
}

/// Why the proxy can't start, or its configuration can't be read.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A file's content is invalid: one line for each error in it.
    #[error("{0}")]
    Configuration(String),
    #[error("cannot read {path}: {error}")]
    Read { path: String, error: io::Error },
    #[error("cannot handle signals: {0}")]
    Signals(io::Error),
    #[error("cannot listen on {address}: {error}")]
    Bind { address: SocketAddr, error: io::Error },
    #[error("cannot set up the listener for clients: {0}")]
    Listen(io::Error),
    #[error("{variable}: expected the number of a file descriptor, got \"{value}\"")]
    InvalidDescriptor { variable: &'static str, value: String },
    #[error("{variable}={value}: cannot use the inherited descriptor: {error}")]
    Inherit { variable: &'static str, value: String, error: io::Error },
    #[error("{variable}={value}: the descriptor is not a listening socket")]
    NotListening { variable: &'static str, value: String },
    #[error("cannot start the capture: {0}")]
    Capture(#[from] OpenError),
}

/// Why captures can't be read or written.
#[derive(Debug, thiserror::Error)]
pub enum CaptureFileError {
    #[error("{}: {error}", path.display())]
    File { path: PathBuf, error: io::Error },
    #[error("{}: {error}", path.display())]
    Format { path: PathBuf, error: UnsupportedFormat },
    #[error("no capture files: none named, or none in the named folders")]
    NoFiles,
    #[error("call {0} is not in the captures, or no start or snapshot precedes it")]
    NoSuchCall(u64),
}

/// Why a command fails.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    #[error(transparent)]
    Usage(#[from] UsageError),
    #[error(transparent)]
    Start(#[from] StartError),
    #[error(transparent)]
    Capture(#[from] CaptureFileError),
}
