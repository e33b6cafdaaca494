//! chalkwalk-testbed: stand-ins, load, faults and a judge on loopback.

mod cli;

fn main() -> std::process::ExitCode {
    cli::run()
}
