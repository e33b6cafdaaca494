//! The command line: parses the command and its arguments, runs it and returns its exit status.

use crate::captures;
use crate::error::{CommandError, UsageError};
use crate::logging::{LogFormat, logger};
use crate::startup::StartupFiles;
use crate::{listeners, serve};
use chalkwalk_config as operator_config;
use chalkwalk_http_frontend::FRONTEND_NAME;
use chalkwalk_limits::{LimitTable, RequestAttributes};
use pico_args::Arguments;
use std::path::PathBuf;
use std::process::ExitCode;

const USAGE: &str = "\
usage: chalkwalk serve [--config FILE] [--operator FILE] [--log plain|json]    run one proxy in the foreground
       chalkwalk check [--config FILE] [--operator FILE]    read both files and report their errors
       chalkwalk explain --operator FILE --namespace N [--route PATH] [--tenant T] [--door D] [--config FILE]
                                          the limits that apply to a request, and the line that sets each
       chalkwalk capture info|replay FILE...    summarize captures; replay them (status 1 if decisions differ)
       chalkwalk capture show --lookup N FILE...    all events and decisions of one request
       chalkwalk capture cut --call N --to OUT FILE...    write the smallest capture that reproduces a call
       chalkwalk version                  print the version

Without --config the file named by ROUTER_CONFIG is read.
The operator's file is optional; deploy/operator.toml is an example.";

/// The exit status of a replay whose decisions differ from the recorded ones.
const EXIT_REPLAY_DIFFERS: u8 = 1;
/// The exit status of a command that fails.
const EXIT_FAILURE: u8 = 2;

/// Runs the command that the program's arguments name.
pub fn run() -> ExitCode {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        println!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    match run_command(args) {
        Ok(status) => status,
        Err(error) => {
            eprintln!("chalkwalk: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn run_command(mut args: Arguments) -> Result<ExitCode, CommandError> {
    let command = args.subcommand().map_err(UsageError::from)?.ok_or(UsageError::NoCommand)?;
    match command.as_str() {
        "serve" => run_serve(args)?,
        "check" => run_check(args)?,
        "explain" => run_explain(args)?,
        "capture" => return run_capture(args),
        "version" => println!("chalkwalk {}", env!("CARGO_PKG_VERSION")),
        _ => return Err(UsageError::UnknownCommand(command).into()),
    }
    Ok(ExitCode::SUCCESS)
}

fn run_serve(mut args: Arguments) -> Result<(), CommandError> {
    let files = startup_files(&mut args)?;
    let format = match option(&mut args, "--log")?.as_deref() {
        None | Some("plain") => LogFormat::Plain,
        Some("json") => LogFormat::Json,
        Some(other) => return Err(UsageError::UnknownLogFormat(other.to_string()).into()),
    };
    expect_no_more_arguments(args)?;
    let settings = files.load()?;
    // Signals are handled before the kernel accepts connections on the listener: a request that has
    // arrived before a termination signal is still answered.
    let signals = serve::signals()?;
    let listener = listeners::client_listener(settings.config.listen_address)?;
    let (log, _flush_at_end) = logger(&settings.config.engine_config.name, format);
    serve::run(files, settings, log, signals, listener)?;
    Ok(())
}

fn run_check(mut args: Arguments) -> Result<(), CommandError> {
    let files = startup_files(&mut args)?;
    expect_no_more_arguments(args)?;
    let settings = files.load()?;
    println!("{}: configuration is valid", settings.config.engine_config.name);
    Ok(())
}

fn run_explain(mut args: Arguments) -> Result<(), CommandError> {
    let files = startup_files(&mut args)?;
    let route = option(&mut args, "--route")?.unwrap_or_default();
    let namespace = option(&mut args, "--namespace")?.unwrap_or_default();
    let tenant = option(&mut args, "--tenant")?.unwrap_or_default();
    let frontend = option(&mut args, "--door")?.unwrap_or_default();
    expect_no_more_arguments(args)?;
    let config = files.load()?.config;
    let index = config.namespaces.iter().position(|known| *known == namespace);
    let index = index.ok_or_else(|| {
        let known = config.namespaces.join(", ");
        UsageError::UnknownNamespace { name: namespace, known }
    })?;
    let platform_limits = &config.engine_config.platform_limits;
    let limits =
        config.engine_config.operator_limits.unwrap_or_else(|| LimitTable::from_platform(platform_limits));
    let frontend = if frontend.is_empty() { FRONTEND_NAME } else { &frontend };
    let request = RequestAttributes { namespace: index, path: &route, tenant: &tenant, frontend };
    print!("{}", operator_config::explain(&limits, request));
    Ok(())
}

fn run_capture(mut args: Arguments) -> Result<ExitCode, CommandError> {
    let command = args.subcommand().map_err(UsageError::from)?.unwrap_or_default();
    let request_id: Option<u64> = args.opt_value_from_str("--lookup").map_err(UsageError::from)?;
    let call: Option<u64> = args.opt_value_from_str("--call").map_err(UsageError::from)?;
    let output_path: Option<PathBuf> = args.opt_value_from_str("--to").map_err(UsageError::from)?;
    let files: Vec<PathBuf> = args.finish().into_iter().map(Into::into).collect();
    let mut is_identical = true;
    let text = match (command.as_str(), request_id) {
        ("info", None) => captures::info(&files)?,
        ("replay", None) => {
            let report = captures::replay_all(&files)?;
            is_identical = report.is_identical;
            report.text
        }
        ("show", Some(request_id)) => captures::show(&files, request_id)?,
        ("cut", None) => match (call, output_path) {
            (Some(call), Some(output_path)) => captures::cut(&files, call, &output_path)?,
            _ => return Err(UsageError::IncompleteCut.into()),
        },
        _ => return Err(UsageError::UnknownCaptureCommand { usage: USAGE }.into()),
    };
    print!("{text}");
    Ok(if is_identical { ExitCode::SUCCESS } else { ExitCode::from(EXIT_REPLAY_DIFFERS) })
}

/// The configuration files that the command line names.
fn startup_files(args: &mut Arguments) -> Result<StartupFiles, UsageError> {
    let config = match option(args, "--config")? {
        Some(path) => path,
        None => std::env::var("ROUTER_CONFIG").map_err(|_| UsageError::NoConfiguration)?,
    };
    Ok(StartupFiles { config, operator: option(args, "--operator")? })
}

fn option(args: &mut Arguments, name: &'static str) -> Result<Option<String>, UsageError> {
    Ok(args.opt_value_from_str(name)?)
}

/// Fails if an argument is left that the command doesn't know.
fn expect_no_more_arguments(args: Arguments) -> Result<(), UsageError> {
    match args.finish().first() {
        Some(unknown) => Err(UsageError::UnknownArgument(unknown.to_string_lossy().into())),
        None => Ok(()),
    }
}
