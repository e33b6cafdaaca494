//! Subcommands that run a proxy in their own process: `keep` and `proxy`.

use super::arguments::expect_no_more;
use super::error::CliError;
use chalkwalk_testbed::baseline::{self, BrokenRule, Strategy};
use pico_args::Arguments;
use rustix::process::{Signal, getppid, set_parent_process_death_signal};
use std::os::unix::process::CommandExt;
use std::process::{Command, ExitCode};

/// `keep`: replaces this process by another program, which the system kills when this process's
/// parent ends.
pub fn keep(args: Arguments) -> Result<ExitCode, CliError> {
    let parent = getppid();
    set_parent_process_death_signal(Some(Signal::KILL)).map_err(CliError::Keep)?;
    if getppid() != parent {
        return Err(CliError::usage("the parent process has already exited"));
    }
    let command = args.finish();
    let (program, rest) = command.split_first().ok_or(CliError::usage("keep takes a command"))?;
    Err(CliError::Exec(Command::new(program).args(rest).exec()))
}

/// `proxy`: runs a baseline proxy that chalkwalk can be compared with.
pub fn proxy(mut args: Arguments) -> Result<ExitCode, CliError> {
    let broken_rule: Option<String> = args.opt_value_from_str("--break")?;
    let strategy: String =
        args.free_from_str().map_err(|_| CliError::usage("proxy takes relay, random or ring"))?;
    expect_no_more(args)?;
    let strategy = Strategy::from_name(&strategy)
        .ok_or_else(|| CliError::usage(format!("unknown proxy {strategy}; use relay, random or ring")))?;
    let broken_rule = match broken_rule {
        None => BrokenRule::NoRule,
        Some(rule) => BrokenRule::from_name(&rule).ok_or_else(|| {
            let known_rules = "lose, twice, resend, drained, swap or hold";
            CliError::usage(format!("unknown rule {rule} for --break; expected {known_rules}"))
        })?,
    };
    let config = std::env::var("ROUTER_CONFIG").map_err(|_| CliError::usage("ROUTER_CONFIG is not set"))?;
    baseline::run(strategy, broken_rule, &config)?;
    Ok(ExitCode::SUCCESS)
}
