//! chalkwalk: a load-balancing proxy between clients and fleets of cache servers. This program
//! contains only the command line and the wiring of the engine, its frontends and the sources of
//! the endpoint list.

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
mod shared_ids;
mod startup;
mod state_files;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
