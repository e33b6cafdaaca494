//! The subcommands of the program.

mod arguments;
mod error;
mod play;
mod processes;

use error::CliError;
use pico_args::Arguments;
use std::process::ExitCode;

const USAGE: &str = "\
usage: chalkwalk-testbed try [--proxy COMMAND]                      a small fleet with faults, 20 s, live
       chalkwalk-testbed run FILE [--proxy COMMAND] [--json FILE] [--report DIR] [--logs DIR]
       chalkwalk-testbed compare FILE --proxy A --proxy B [...] [--rounds N]
       chalkwalk-testbed soak [--seed N] [--seeds K] [--seconds S] [--proxies P] [--proxy COMMAND] [--logs DIR] [--show]
                                                                random overlapping faults; fails if a rule is broken
       chalkwalk-testbed check FILE...                              checks experiment files and lists their errors
       chalkwalk-testbed fleet [--proxies N] [--caches M] [--proxy COMMAND]    runs until it gets a signal
       chalkwalk-testbed proxy relay|random|ring [--break RULE]     a baseline proxy to compare with
       chalkwalk-testbed version

run and compare take --seed N, --proxies N and --rate R in place of the values of the experiment file.
--proxy takes any command that reads ROUTER_CONFIG; without it, the chalkwalk in the directory of this program is run.
`run` exits with 0 if no rule was broken and the stated bounds hold, 1 if not, 2 if it could not run.";

/// Runs the subcommand that the arguments name.
pub fn run() -> ExitCode {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        println!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    dispatch(args).unwrap_or_else(|error| {
        eprintln!("chalkwalk-testbed: {error}");
        ExitCode::from(2)
    })
}

fn dispatch(mut args: Arguments) -> Result<ExitCode, CliError> {
    let Some(command) = args.subcommand()? else {
        return Err(CliError::usage("no command; chalkwalk-testbed --help lists them"));
    };
    match command.as_str() {
        "try" => play::try_out(args),
        "run" => play::run_one(args),
        "compare" => play::compare(args),
        "soak" => play::soak(args),
        "check" => play::check(args),
        "fleet" => play::run_until_signal(args),
        "proxy" => processes::proxy(args),
        "keep" => processes::keep(args),
        "version" => {
            println!("chalkwalk-testbed {}", env!("CARGO_PKG_VERSION"));
            Ok(ExitCode::SUCCESS)
        }
        other => {
            Err(CliError::usage(format!("unknown command {other}; chalkwalk-testbed --help lists them")))
        }
    }
}
