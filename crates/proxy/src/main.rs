//! chalkwalk: a balancer for fleets of servers, on sockets. This program wires the engine, its frontends and its sources of the
//! endpoint list together, and has the command line; nothing else is in it.

mod captures;
mod cli;
mod endpoint_source;
mod error;
mod inherited_listener;
mod listeners;
mod logging;
mod operators;
mod reload;
mod resp_settings;
mod serve;
mod startup;
mod state_files;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
