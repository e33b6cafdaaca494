//! Subcommands that run experiments: `run`, `try`, `compare`, `soak`, `check` and `fleet`.

use super::arguments::{ExperimentFile, MAX_PROXIES, expect_no_more, read_experiment};
use super::error::CliError;
use chalkwalk_testbed::experiment::Experiment;
use chalkwalk_testbed::fleet::StartSettings;
use chalkwalk_testbed::measure::Figures;
use chalkwalk_testbed::report::comparison::comparison;
use chalkwalk_testbed::report::page::page;
use chalkwalk_testbed::report::verdict::verdict;
use chalkwalk_testbed::run::{self, RunResult};
use chalkwalk_testbed::soak::Soak;
use pico_args::Arguments;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The experiment of `try`; `fleet` takes its servers and proxies from it.
const TRY_EXPERIMENT: &str = include_str!("../../try.toml");
/// Minimum number of servers for `fleet`: the experiment has three zones, and each needs a server.
const MIN_SERVERS: usize = 3;
const MAX_SERVERS: usize = 200;
/// Maximum number of commands that `compare` can show side by side on a terminal.
const MAX_COMPARED_COMMANDS: usize = 6;

/// The command that starts the chalkwalk in the directory of this program.
fn default_proxy() -> Result<String, CliError> {
    let own_path = std::env::current_exe()
        .map_err(|error| CliError::usage(format!("cannot find the path of this executable: {error}")))?;
    let proxy_path = own_path.with_file_name("chalkwalk");
    if !proxy_path.exists() {
        let text = format!("{} does not exist: build it, or give --proxy COMMAND", proxy_path.display());
        return Err(CliError::Usage(text));
    }
    Ok(format!("'{}' serve", proxy_path.display()))
}

/// The directory for configurations and logs: the given one, or a temporary one, which is removed
/// after a run that passed.
fn work_directory(given: Option<PathBuf>) -> PathBuf {
    given.unwrap_or_else(|| std::env::temp_dir().join(format!("chalkwalk-lab-{}", std::process::id())))
}

fn start_settings(command: String, directory: PathBuf, operator_texts: Vec<String>) -> StartSettings {
    StartSettings { command, supervisor: std::env::current_exe().ok(), directory, operator_texts }
}

/// Reads the operator's files that an experiment names by paths relative to the directory of its
/// own file.
fn operator_files(experiment: &Experiment, base: &Path) -> Result<Vec<String>, CliError> {
    let read = |name: &String| {
        let path = base.join(name);
        std::fs::read_to_string(&path).map_err(|error| CliError::Read { path, error })
    };
    experiment.fleet.operator.iter().map(read).collect()
}

/// Runs an experiment. The operator's files are found relative to `path`, the experiment file;
/// `command` starts a proxy.
fn run_experiment(
    experiment: Experiment,
    path: &Path,
    command: Option<String>,
    logs: Option<PathBuf>,
) -> Result<RunResult, CliError> {
    let keep_directory = logs.is_some();
    let directory = work_directory(logs);
    let operator_texts = operator_files(&experiment, path.parent().unwrap_or(Path::new(".")))?;
    let command = match command {
        Some(command) => command,
        None if operator_texts.is_empty() && !experiment.fleet.needs_operator() => default_proxy()?,
        None => default_proxy()? + " --operator \"$OPERATOR\"",
    };
    let result =
        run::run_experiment(experiment, start_settings(command, directory.clone(), operator_texts), true);
    if !keep_directory && result.as_ref().is_ok_and(RunResult::passed) {
        _ = std::fs::remove_dir_all(&directory);
    } else {
        eprintln!("logs of the proxies: {}", directory.display());
    }
    Ok(result?)
}

fn print_verdict(result: &RunResult) -> ExitCode {
    print!("{}", verdict(result));
    if result.passed() { ExitCode::SUCCESS } else { ExitCode::from(1) }
}

/// `run`: runs one experiment.
pub fn run_one(mut args: Arguments) -> Result<ExitCode, CliError> {
    let command: Option<String> = args.opt_value_from_str("--proxy")?;
    let json: Option<PathBuf> = args.opt_value_from_str("--json")?;
    let report: Option<PathBuf> = args.opt_value_from_str("--report")?;
    let logs: Option<PathBuf> = args.opt_value_from_str("--logs")?;
    let ExperimentFile { experiment, path } = ExperimentFile::from_arguments(args)?;
    let result = run_experiment(experiment, &path, command, logs)?;
    if let Some(json) = json {
        let text = serde_json::to_string_pretty(&result.figures)?;
        std::fs::write(&json, text + "\n").map_err(|error| CliError::Write { path: json, error })?;
    }
    if let Some(directory) = report {
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        write_page(&result, &directory, directory.join(format!("{name}.html")))?;
    }
    Ok(print_verdict(&result))
}

fn write_page(result: &RunResult, directory: &Path, path: PathBuf) -> Result<(), CliError> {
    if let Err(error) = std::fs::create_dir_all(directory) {
        return Err(CliError::Write { path, error });
    }
    let html = match page(result) {
        Ok(html) => html,
        Err(error) => return Err(CliError::Chart { path, error }),
    };
    if let Err(error) = std::fs::write(&path, html) {
        return Err(CliError::Write { path, error });
    }
    println!("report: {}", path.display());
    Ok(())
}

/// `try`: runs a short built-in experiment on a small fleet.
pub fn try_out(mut args: Arguments) -> Result<ExitCode, CliError> {
    let command: Option<String> = args.opt_value_from_str("--proxy")?;
    expect_no_more(args)?;
    println!(
        "Three proxies, nine servers in three zones and an origin on loopback. At 6 s a server \
         hangs, at 10 s a third of\n\
         the requests to another fails, and from 13 s on servers are deployed one after the other."
    );
    let experiment = Experiment::parse(TRY_EXPERIMENT).map_err(CliError::BuiltIn)?;
    Ok(print_verdict(&run_experiment(experiment, Path::new(""), command, None)?))
}

/// `compare`: runs one experiment with several commands, in alternation over several rounds.
pub fn compare(mut args: Arguments) -> Result<ExitCode, CliError> {
    let commands: Vec<String> = args.values_from_str("--proxy")?;
    let rounds: usize = args.opt_value_from_str("--rounds")?.unwrap_or(3);
    let ExperimentFile { experiment, path } = ExperimentFile::from_arguments(args)?;
    if commands.len() < 2 || commands.len() > MAX_COMPARED_COMMANDS {
        return Err(CliError::usage("compare takes two to six --proxy COMMAND"));
    }
    let mut runs: Vec<Vec<Figures>> = vec![Vec::new(); commands.len()];
    for round in 0..rounds.max(1) {
        for (command, figures) in commands.iter().zip(&mut runs) {
            let mut experiment = experiment.clone();
            // All commands of a round get the same plan; each round has a plan of its own.
            experiment.seed = experiment.seed.wrapping_add(round as u64);
            let result = run_experiment(experiment, &path, Some(command.clone()), None)?;
            figures.push(result.figures);
        }
    }
    print!("{}", comparison(&commands, &runs));
    Ok(ExitCode::SUCCESS)
}

/// `soak`: runs the experiments of consecutive seeds; each of them has to keep the rules.
pub fn soak(mut args: Arguments) -> Result<ExitCode, CliError> {
    let first_seed: u64 = args.opt_value_from_str("--seed")?.unwrap_or(1);
    let seeds: u64 = args.opt_value_from_str("--seeds")?.unwrap_or(1).max(1);
    let seconds: f64 = args.opt_value_from_str("--seconds")?.unwrap_or(60.0);
    let proxies: usize = args.opt_value_from_str("--proxies")?.unwrap_or(24);
    let command: Option<String> = args.opt_value_from_str("--proxy")?;
    let logs: Option<PathBuf> = args.opt_value_from_str("--logs")?;
    let show = args.contains("--show");
    expect_no_more(args)?;
    let mut failed_seeds = Vec::new();
    for seed in first_seed..first_seed + seeds {
        let text = Soak { seed, seconds, proxies }.text();
        if show {
            println!("{text}");
            continue;
        }
        let experiment = Experiment::parse(&text).map_err(|error| CliError::usage(error.to_string()))?;
        let logs = logs.as_ref().map(|logs| logs.join(format!("seed-{seed}")));
        let result = run_experiment(experiment, Path::new(""), command.clone(), logs)?;
        print!("{}", verdict(&result));
        if !result.passed() {
            failed_seeds.push(seed);
        }
    }
    if failed_seeds.is_empty() {
        println!("soak: {seeds} seeds from {first_seed} on, {seconds} s, {proxies} proxies: rules kept");
        return Ok(ExitCode::SUCCESS);
    }
    println!("soak: rules broken on seeds {failed_seeds:?}");
    Ok(ExitCode::from(1))
}

/// `check`: reads experiment files and reports their problems.
pub fn check(args: Arguments) -> Result<ExitCode, CliError> {
    let paths = args.finish();
    if paths.is_empty() {
        return Err(CliError::usage("check takes the paths of experiment files"));
    }
    let mut errors = Vec::new();
    for path in paths.iter().map(Path::new) {
        match read_experiment(path) {
            Ok(experiment) => println!("{}: {}", path.display(), experiment.title),
            Err(error) => errors.push(error),
        }
    }
    if errors.is_empty() { Ok(ExitCode::SUCCESS) } else { Err(CliError::Several(errors)) }
}

/// `fleet`: keeps a fleet running until the testbed gets a signal.
pub fn run_until_signal(mut args: Arguments) -> Result<ExitCode, CliError> {
    let proxies: usize = args.opt_value_from_str("--proxies")?.unwrap_or(2);
    let servers: usize = args.opt_value_from_str("--caches")?.unwrap_or(6);
    let command: Option<String> = args.opt_value_from_str("--proxy")?;
    expect_no_more(args)?;
    let mut experiment = Experiment::parse(TRY_EXPERIMENT).map_err(CliError::BuiltIn)?;
    experiment.fleet.proxies = proxies.clamp(1, MAX_PROXIES);
    experiment.world.servers = servers.clamp(MIN_SERVERS, MAX_SERVERS);
    let command = command.map_or_else(default_proxy, Ok)?;
    run::run_until_signal(experiment, start_settings(command, work_directory(None), Vec::new()))?;
    Ok(ExitCode::SUCCESS)
}
