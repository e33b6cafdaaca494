//! Commands that play experiments: one, a first look, several beside each other, random ones, and a fleet that stays up.

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

/// A first look: what `try` plays.
const TRY: &str = include_str!("../../try.toml");
/// Servers of a fleet that stays up: its world has three zones.
const MIN_SERVERS: usize = 3;
const MAX_SERVERS: usize = 200;
/// Commands that fit beside each other on a terminal.
const MAX_COMPARED: usize = 6;

/// The chalkwalk that was built with this program.
fn default_proxy() -> Result<String, CliError> {
    let own = std::env::current_exe()
        .map_err(|error| CliError::usage(format!("cannot tell where this program is: {error}")))?;
    let beside = own.with_file_name("chalkwalk");
    if !beside.exists() {
        let text = format!("no {} there: build it, or give --proxy COMMAND", beside.display());
        return Err(CliError::Usage(text));
    }
    Ok(format!("'{}' serve", beside.display()))
}

/// A folder for configurations and logs: the one that was named, or one that goes after a run without a breach.
fn folder(named: Option<PathBuf>) -> PathBuf {
    named.unwrap_or_else(|| std::env::temp_dir().join(format!("chalkwalk-lab-{}", std::process::id())))
}

fn start_settings(command: String, folder: PathBuf, operator: Vec<String>) -> StartSettings {
    StartSettings { command, supervisor: std::env::current_exe().ok(), folder, operator }
}

/// The operator's files that an experiment names, beside its own.
fn operator_files(experiment: &Experiment, beside: &Path) -> Result<Vec<String>, CliError> {
    let read = |name: &String| {
        let path = beside.join(name);
        std::fs::read_to_string(&path).map_err(|error| CliError::Read { path, error })
    };
    experiment.fleet.operator.iter().map(read).collect()
}

/// Plays an experiment, whose file's path finds the operator's files; `command` starts a proxy.
fn play(
    experiment: Experiment,
    path: &Path,
    command: Option<String>,
    logs: Option<PathBuf>,
) -> Result<RunResult, CliError> {
    let keep_folder = logs.is_some();
    let folder = folder(logs);
    let operator = operator_files(&experiment, path.parent().unwrap_or(Path::new(".")))?;
    let command = match command {
        Some(command) => command,
        None if operator.is_empty() && !experiment.fleet.needs_operator() => default_proxy()?,
        None => default_proxy()? + " --operator \"$OPERATOR\"",
    };
    let result = run::play(experiment, start_settings(command, folder.clone(), operator), true);
    if !keep_folder && result.as_ref().is_ok_and(RunResult::passed) {
        _ = std::fs::remove_dir_all(&folder);
    } else {
        eprintln!("logs of the proxies: {}", folder.display());
    }
    Ok(result?)
}

fn print_verdict(result: &RunResult) -> ExitCode {
    print!("{}", verdict(result));
    if result.passed() { ExitCode::SUCCESS } else { ExitCode::from(1) }
}

/// `run`: one experiment.
pub fn run_one(mut args: Arguments) -> Result<ExitCode, CliError> {
    let command: Option<String> = args.opt_value_from_str("--proxy")?;
    let json: Option<PathBuf> = args.opt_value_from_str("--json")?;
    let report: Option<PathBuf> = args.opt_value_from_str("--report")?;
    let logs: Option<PathBuf> = args.opt_value_from_str("--logs")?;
    let ExperimentFile { experiment, path } = ExperimentFile::from_arguments(args)?;
    let result = play(experiment, &path, command, logs)?;
    if let Some(json) = json {
        let text = serde_json::to_string_pretty(&result.figures)?;
        std::fs::write(&json, text + "\n").map_err(|error| CliError::Write { path: json, error })?;
    }
    if let Some(folder) = report {
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        write_page(&result, &folder, folder.join(format!("{name}.html")))?;
    }
    Ok(print_verdict(&result))
}

fn write_page(result: &RunResult, folder: &Path, path: PathBuf) -> Result<(), CliError> {
    if let Err(error) = std::fs::create_dir_all(folder) {
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

/// `try`: a first look.
pub fn try_out(mut args: Arguments) -> Result<ExitCode, CliError> {
    let command: Option<String> = args.opt_value_from_str("--proxy")?;
    expect_no_more(args)?;
    println!(
        "Three proxies, nine servers in three zones and an origin on loopback. At 6 s a server hangs, at 10 s a third of\n\
         what another does fails, and from 13 s on servers are deployed one after the other."
    );
    let experiment = Experiment::read(TRY).map_err(CliError::BuiltIn)?;
    Ok(print_verdict(&play(experiment, Path::new(""), command, None)?))
}

/// `compare`: one experiment with several commands, round by round.
pub fn compare(mut args: Arguments) -> Result<ExitCode, CliError> {
    let commands: Vec<String> = args.values_from_str("--proxy")?;
    let rounds: usize = args.opt_value_from_str("--rounds")?.unwrap_or(3);
    let ExperimentFile { experiment, path } = ExperimentFile::from_arguments(args)?;
    if commands.len() < 2 || commands.len() > MAX_COMPARED {
        return Err(CliError::usage("compare takes two to six --proxy COMMAND"));
    }
    let mut runs: Vec<Vec<Figures>> = vec![Vec::new(); commands.len()];
    for round in 0..rounds.max(1) {
        for (command, own) in commands.iter().zip(&mut runs) {
            let mut experiment = experiment.clone();
            // The same plan for all, and another one each round.
            experiment.seed = experiment.seed.wrapping_add(round as u64);
            let result = play(experiment, &path, Some(command.clone()), None)?;
            own.push(result.figures);
        }
    }
    print!("{}", comparison(&commands, &runs));
    Ok(ExitCode::SUCCESS)
}

/// `soak`: plays one seed after the other; every one has to keep the rules.
pub fn soak(mut args: Arguments) -> Result<ExitCode, CliError> {
    let first: u64 = args.opt_value_from_str("--seed")?.unwrap_or(1);
    let seeds: u64 = args.opt_value_from_str("--seeds")?.unwrap_or(1).max(1);
    let seconds: f64 = args.opt_value_from_str("--seconds")?.unwrap_or(60.0);
    let proxies: usize = args.opt_value_from_str("--proxies")?.unwrap_or(24);
    let command: Option<String> = args.opt_value_from_str("--proxy")?;
    let logs: Option<PathBuf> = args.opt_value_from_str("--logs")?;
    let show = args.contains("--show");
    expect_no_more(args)?;
    let mut broken = Vec::new();
    for seed in first..first + seeds {
        let text = Soak { seed, seconds, proxies }.text();
        if show {
            println!("{text}");
            continue;
        }
        let experiment = Experiment::read(&text).map_err(|error| CliError::usage(error.to_string()))?;
        let logs = logs.as_ref().map(|logs| logs.join(format!("seed-{seed}")));
        let result = play(experiment, Path::new(""), command.clone(), logs)?;
        print!("{}", verdict(&result));
        if !result.passed() {
            broken.push(seed);
        }
    }
    if broken.is_empty() {
        println!("soak: {seeds} seeds from {first} on, {seconds} s, {proxies} proxies: rules kept");
        return Ok(ExitCode::SUCCESS);
    }
    println!("soak: rules broken on seeds {broken:?}");
    Ok(ExitCode::from(1))
}

/// `check`: reads experiments, and shows what is wrong with them.
pub fn check(args: Arguments) -> Result<ExitCode, CliError> {
    let paths = args.finish();
    if paths.is_empty() {
        return Err(CliError::usage("check takes experiments' files"));
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

/// `fleet`: stays up until a signal.
pub fn stay_up(mut args: Arguments) -> Result<ExitCode, CliError> {
    let proxies: usize = args.opt_value_from_str("--proxies")?.unwrap_or(2);
    let servers: usize = args.opt_value_from_str("--caches")?.unwrap_or(6);
    let command: Option<String> = args.opt_value_from_str("--proxy")?;
    expect_no_more(args)?;
    let mut experiment = Experiment::read(TRY).map_err(CliError::BuiltIn)?;
    experiment.fleet.proxies = proxies.clamp(1, MAX_PROXIES);
    experiment.world.servers = servers.clamp(MIN_SERVERS, MAX_SERVERS);
    let command = command.map_or_else(default_proxy, Ok)?;
    run::stay_up(experiment, start_settings(command, folder(None), Vec::new()))?;
    Ok(ExitCode::SUCCESS)
}
