//! chalkwalk-testbed: stand-ins, load, faults and a judge on loopback.

use chalkwalk_testbed::baseline::{self, BrokenRule, Strategy};
use chalkwalk_testbed::experiment::Experiment;
use chalkwalk_testbed::fleet::StartSettings;
use chalkwalk_testbed::measure::Figures;
use chalkwalk_testbed::report::{page, table};
use chalkwalk_testbed::run::{self, RunResult};
use chalkwalk_testbed::soak::Soak;
use pico_args::Arguments;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const USAGE: &str = "\
usage: chalkwalk-testbed try [--proxy COMMAND]                      a small fleet with a trouble, 20 s, live
       chalkwalk-testbed run FILE [--proxy COMMAND] [--json FILE] [--report DIR] [--logs DIR]
       chalkwalk-testbed compare FILE --proxy A --proxy B [...] [--rounds N]
       chalkwalk-testbed soak [--seed N] [--seeds K] [--seconds S] [--proxies P] [--proxy COMMAND] [--logs DIR] [--show]
                                                                random overlapping faults; fails where a rule breaks
       chalkwalk-testbed check FILE...                              reads experiments and says what is wrong
       chalkwalk-testbed fleet [--proxies N] [--caches M] [--proxy COMMAND]    stays up until a signal
       chalkwalk-testbed proxy relay|random|ring [--break RULE]     a proxy to measure beside
       chalkwalk-testbed version

run and compare take --seed N, --proxies N and --rate R in place of the experiment's own.
--proxy takes any command that reads ROUTER_CONFIG; without it, the chalkwalk beside this program is run.
`run` exits with 0 if no rule broke and the stated bounds hold, 1 if not, 2 if it could not run.";

/// A first look: what `try` plays.
const TRY: &str = include_str!("../try.toml");

/// The chalkwalk that was built with this program.
fn default_proxy() -> Result<String, String> {
    let own = std::env::current_exe().map_err(|e| format!("cannot tell where this program is: {e}"))?;
    let comparison = own.with_file_name("chalkwalk");
    if !comparison.exists() {
        return Err(format!("no {} there: build it, or give --proxy COMMAND", comparison.display()));
    }
    Ok(format!("'{}' serve", comparison.display()))
}

fn expect_no_more(args: Arguments) -> Result<(), String> {
    match args.finish().first() {
        Some(odd) => Err(format!("unknown argument {}", odd.to_string_lossy())),
        None => Ok(()),
    }
}

fn read_experiment(path: &Path) -> Result<Experiment, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
    Experiment::read(&text).map_err(|errors| {
        let lines: Vec<String> = errors.lines().map(|l| format!("{}: {l}", path.display())).collect();
        lines.join("\n")
    })
}

/// What the command line says in place of an experiment's own.
struct Overrides {
    seed: Option<u64>,
    proxies: Option<usize>,
    rate: Option<f64>,
}

impl Overrides {
    fn read(args: &mut Arguments) -> Result<Overrides, String> {
        let error = |e: pico_args::Error| e.to_string();
        Ok(Overrides {
            seed: args.opt_value_from_str("--seed").map_err(error)?,
            proxies: args.opt_value_from_str("--proxies").map_err(error)?,
            rate: args.opt_value_from_str("--rate").map_err(error)?,
        })
    }

    /// The experiment whose file is the last argument.
    fn experiment(&self, mut args: Arguments) -> Result<(Experiment, PathBuf), String> {
        let path: PathBuf =
            args.free_from_str().map_err(|_| "an experiment's file is missing".to_string())?;
        expect_no_more(args)?;
        let mut experiment = read_experiment(&path)?;
        experiment.seed = self.seed.unwrap_or(experiment.seed);
        experiment.fleet.proxies = self.proxies.unwrap_or(experiment.fleet.proxies).clamp(1, 200);
        experiment.load.rate = self.rate.filter(|r| *r > 0.0).unwrap_or(experiment.load.rate);
        Ok((experiment, path))
    }
}

/// A folder for configurations and logs, kept where one was named.
fn folder(named: Option<PathBuf>) -> PathBuf {
    named.unwrap_or_else(|| std::env::temp_dir().join(format!("chalkwalk-lab-{}", std::process::id())))
}

fn start_settings(command: String, folder: PathBuf, operator: Vec<String>) -> StartSettings {
    StartSettings { command, supervisor: std::env::current_exe().ok(), folder, operator }
}

/// The operator's files that an experiment names, beside its own.
fn operator_files(experiment: &Experiment, comparison: &Path) -> Result<Vec<String>, String> {
    let read = |name: &String| {
        let path = comparison.join(name);
        std::fs::read_to_string(&path).map_err(|e| format!("cannot read {}: {e}", path.display()))
    };
    experiment.fleet.operator.iter().map(read).collect()
}

fn played(
    experiment: Experiment,
    path: &Path,
    command: Option<String>,
    logs: Option<PathBuf>,
) -> Result<RunResult, String> {
    let (keep_folder, folder) = (logs.is_some(), folder(logs));
    let operator = operator_files(&experiment, path.parent().unwrap_or(Path::new(".")))?;
    let command = match command {
        Some(command) => command,
        None if operator.is_empty() && !experiment.fleet.needs_operator() => default_proxy()?,
        None => default_proxy()? + " --operator \"$OPERATOR\"",
    };
    let played = run::play(experiment, start_settings(command, folder.clone(), operator), true);
    if !keep_folder && played.as_ref().is_ok_and(RunResult::passed) {
        _ = std::fs::remove_dir_all(&folder);
    } else {
        eprintln!("logs of the proxies: {}", folder.display());
    }
    played
}

fn verdict(played: &RunResult) -> ExitCode {
    print!("{}", table::verdict(played));
    if played.passed() { ExitCode::SUCCESS } else { ExitCode::from(1) }
}

fn run_one(mut args: Arguments) -> Result<ExitCode, String> {
    let error = |e: pico_args::Error| e.to_string();
    let overrides = Overrides::read(&mut args)?;
    let command: Option<String> = args.opt_value_from_str("--proxy").map_err(error)?;
    let json: Option<PathBuf> = args.opt_value_from_str("--json").map_err(error)?;
    let report: Option<PathBuf> = args.opt_value_from_str("--report").map_err(error)?;
    let logs: Option<PathBuf> = args.opt_value_from_str("--logs").map_err(error)?;
    let (experiment, path) = overrides.experiment(args)?;
    let played = played(experiment, &path, command, logs)?;
    if let Some(json) = json {
        let text = serde_json::to_string_pretty(&played.figures).map_err(|e| e.to_string())?;
        std::fs::write(&json, text + "\n").map_err(|e| format!("cannot write {}: {e}", json.display()))?;
    }
    if let Some(dir) = report {
        let name = path.file_stem().unwrap_or_default().to_string_lossy().to_string();
        let to = dir.join(format!("{name}.html"));
        let written = std::fs::create_dir_all(&dir)
            .and_then(|()| std::fs::write(&to, page::page(&played).map_err(std::io::Error::other)?));
        written.map_err(|e| format!("cannot write {}: {e}", to.display()))?;
        println!("report: {}", to.display());
    }
    Ok(verdict(&played))
}

fn try_out(mut args: Arguments) -> Result<ExitCode, String> {
    let command: Option<String> = args.opt_value_from_str("--proxy").map_err(|e| e.to_string())?;
    expect_no_more(args)?;
    println!(
        "Three proxies, nine caches in three zones and an origin on loopback. At 6 s a cache hangs, at 10 s a third of\n\
         what another does fails, and from 13 s on caches are deployed one after the other."
    );
    let experiment = Experiment::read(TRY).map_err(|e| format!("the built-in experiment: {e}"))?;
    Ok(verdict(&played(experiment, Path::new(""), command, None)?))
}

fn compare(mut args: Arguments) -> Result<ExitCode, String> {
    let error = |e: pico_args::Error| e.to_string();
    let commands: Vec<String> = args.values_from_str("--proxy").map_err(error)?;
    let rounds: usize = args.opt_value_from_str("--rounds").map_err(error)?.unwrap_or(3);
    let overrides = Overrides::read(&mut args)?;
    let (experiment, path) = overrides.experiment(args)?;
    if commands.len() < 2 || commands.len() > 6 {
        return Err("compare takes two to six --proxy COMMAND".into());
    }
    let mut runs: Vec<Vec<Figures>> = vec![Vec::new(); commands.len()];
    for round in 0..rounds.max(1) {
        for (i, command) in commands.iter().enumerate() {
            let mut experiment = experiment.clone();
            // The same days for all, and another one each round.
            experiment.seed = experiment.seed.wrapping_add(round as u64);
            let played = played(experiment, &path, Some(command.clone()), None)?;
            runs[i].push(played.figures);
        }
    }
    print!("{}", table::comparison(&commands, &runs));
    Ok(ExitCode::SUCCESS)
}

/// Plays one seed after the other; every one has to keep the rules.
fn soak(mut args: Arguments) -> Result<ExitCode, String> {
    let error = |e: pico_args::Error| e.to_string();
    let first: u64 = args.opt_value_from_str("--seed").map_err(error)?.unwrap_or(1);
    let seeds: u64 = args.opt_value_from_str("--seeds").map_err(error)?.unwrap_or(1);
    let seconds: f64 = args.opt_value_from_str("--seconds").map_err(error)?.unwrap_or(60.0);
    let proxies: usize = args.opt_value_from_str("--proxies").map_err(error)?.unwrap_or(24);
    let command: Option<String> = args.opt_value_from_str("--proxy").map_err(error)?;
    let logs: Option<PathBuf> = args.opt_value_from_str("--logs").map_err(error)?;
    let show = args.contains("--show");
    expect_no_more(args)?;
    let mut broken = Vec::new();
    for seed in first..first + seeds.max(1) {
        let text = Soak { seed, seconds, proxies }.text();
        if show {
            println!("{text}");
            continue;
        }
        let experiment = Experiment::read(&text)?;
        let logs = logs.as_ref().map(|logs| logs.join(format!("seed-{seed}")));
        let played = played(experiment, Path::new(""), command.clone(), logs)?;
        print!("{}", table::verdict(&played));
        broken.extend((!played.passed()).then_some(seed));
    }
    if broken.is_empty() {
        println!("soak: {} seeds from {first} on, {seconds} s, {proxies} proxies: rules kept", seeds.max(1));
        return Ok(ExitCode::SUCCESS);
    }
    println!("soak: rules broken on seeds {broken:?}");
    Ok(ExitCode::from(1))
}

fn check(args: Arguments) -> Result<ExitCode, String> {
    let paths = args.finish();
    if paths.is_empty() {
        return Err("check takes experiments' files".into());
    }
    let mut errors = Vec::new();
    for path in paths.iter().map(Path::new) {
        match read_experiment(path) {
            Ok(experiment) => println!("{}: {}", path.display(), experiment.title),
            Err(error) => errors.push(error),
        }
    }
    if errors.is_empty() { Ok(ExitCode::SUCCESS) } else { Err(errors.join("\n")) }
}

fn stay_up(mut args: Arguments) -> Result<ExitCode, String> {
    let error = |e: pico_args::Error| e.to_string();
    let proxies: usize = args.opt_value_from_str("--proxies").map_err(error)?.unwrap_or(2);
    let servers: usize = args.opt_value_from_str("--caches").map_err(error)?.unwrap_or(6);
    let command: Option<String> = args.opt_value_from_str("--proxy").map_err(error)?;
    expect_no_more(args)?;
    let mut experiment = Experiment::read(TRY).map_err(|e| format!("the built-in experiment: {e}"))?;
    (experiment.fleet.proxies, experiment.world.servers) = (proxies.clamp(1, 200), servers.clamp(3, 200));
    let start_settings = start_settings(command.map_or_else(default_proxy, Ok)?, folder(None), Vec::new());
    run::stay_up(experiment, start_settings)?;
    Ok(ExitCode::SUCCESS)
}

/// Becomes another program that the system ends with this one's parent.
fn keep(args: Arguments) -> Result<ExitCode, String> {
    use rustix::process::{Signal, getppid, set_parent_process_death_signal};
    use std::os::unix::process::CommandExt;
    let parent = getppid();
    set_parent_process_death_signal(Some(Signal::KILL)).map_err(|e| format!("cannot be kept: {e}"))?;
    if getppid() != parent {
        return Err("the parent is gone already".into());
    }
    let words = args.finish();
    let (program, rest) = words.split_first().ok_or("keep takes a command")?;
    Err(std::process::Command::new(program).args(rest).exec().to_string())
}

fn proxy(mut args: Arguments) -> Result<ExitCode, String> {
    let broken: Option<String> = args.opt_value_from_str("--break").map_err(|e| e.to_string())?;
    let kind: String = args.free_from_str().map_err(|_| "proxy takes relay, random or ring".to_string())?;
    expect_no_more(args)?;
    let kind = Strategy::named(&kind).ok_or(format!("no proxy {kind}: there are relay, random and ring"))?;
    let broken = match broken {
        None => BrokenRule::Nothing,
        Some(rule) => BrokenRule::named(&rule)
            .ok_or(format!("no rule {rule} to break: lose, twice, resend, drained, swap or hold"))?,
    };
    let config = std::env::var("ROUTER_CONFIG").map_err(|_| "ROUTER_CONFIG is not set".to_string())?;
    baseline::run(kind, broken, &config)?;
    Ok(ExitCode::SUCCESS)
}

fn main() -> ExitCode {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        println!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    let result = match args.subcommand() {
        Ok(Some(word)) => match word.as_str() {
            "try" => try_out(args),
            "run" => run_one(args),
            "compare" => compare(args),
            "soak" => soak(args),
            "check" => check(args),
            "fleet" => stay_up(args),
            "proxy" => proxy(args),
            "keep" => keep(args),
            "version" => {
                println!("chalkwalk-testbed {}", env!("CARGO_PKG_VERSION"));
                Ok(ExitCode::SUCCESS)
            }
            other => Err(format!("unknown command {other}; chalkwalk-testbed --help lists them")),
        },
        Ok(None) => Err("no command; chalkwalk-testbed --help lists them".into()),
        Err(e) => Err(e.to_string()),
    };
    result.unwrap_or_else(|error| {
        eprintln!("chalkwalk-testbed: {error}");
        ExitCode::from(2)
    })
}
