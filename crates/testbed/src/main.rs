//! chalkwalk-testbed: runs proxies on loopback against simulated services, load and faults, and
//! checks what they do.

mod cli;

fn main() -> std::process::ExitCode {
    cli::run()
}
