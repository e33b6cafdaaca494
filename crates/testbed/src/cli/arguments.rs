//! Command line arguments that several commands share.

use super::error::CliError;
use chalkwalk_testbed::experiment::Experiment;
use pico_args::Arguments;
use std::path::{Path, PathBuf};

/// Maximum number of proxies of a run: each has a number in its addresses.
pub const MAX_PROXIES: usize = 200;

/// Fails if any argument is left.
pub fn expect_no_more(args: Arguments) -> Result<(), CliError> {
    match args.finish().first() {
        Some(unknown) => Err(CliError::usage(format!("unknown argument {}", unknown.to_string_lossy()))),
        None => Ok(()),
    }
}

/// Reads and checks an experiment file.
pub fn read_experiment(path: &Path) -> Result<Experiment, CliError> {
    let text =
        std::fs::read_to_string(path).map_err(|error| CliError::Read { path: path.to_path_buf(), error })?;
    Experiment::parse(&text).map_err(|error| CliError::Experiment { path: path.to_path_buf(), error })
}

/// Values of the command line that replace those of the experiment file.
struct Overrides {
    seed: Option<u64>,
    proxies: Option<usize>,
    rate: Option<f64>,
}

/// An experiment and the path of its file.
pub struct ExperimentFile {
    pub experiment: Experiment,
    pub path: PathBuf,
}

impl ExperimentFile {
    /// Reads the file that the last argument names, and applies the overrides of the command line.
    /// Any other argument is an error.
    pub fn from_arguments(mut args: Arguments) -> Result<ExperimentFile, CliError> {
        let overrides = Overrides {
            seed: args.opt_value_from_str("--seed")?,
            proxies: args.opt_value_from_str("--proxies")?,
            rate: args.opt_value_from_str("--rate")?,
        };
        let path: PathBuf = args
            .free_from_str()
            .map_err(|_| CliError::usage("the path of the experiment file is missing"))?;
        expect_no_more(args)?;
        let mut experiment = read_experiment(&path)?;
        experiment.seed = overrides.seed.unwrap_or(experiment.seed);
        let proxies = overrides.proxies.unwrap_or(experiment.fleet.proxies);
        experiment.fleet.proxies = proxies.clamp(1, MAX_PROXIES);
        let rate = overrides.rate.filter(|rate| *rate > 0.0);
        experiment.load.rate = rate.unwrap_or(experiment.load.rate);
        Ok(ExperimentFile { experiment, path })
    }
}
