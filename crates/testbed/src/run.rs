//! Runs one experiment, from opening the simulated services to the verdict.

use crate::clock::{Clock, SECOND, seconds_from_micros};
use crate::experiment::{Experiment, ListSource};
use crate::fleet::{Fleet, FleetError, Sample, StartSettings, proxy_actions};
use crate::load::clients::Clients;
use crate::measure::{ClientCounts, EtcdFigures, Figures};
use crate::oracle::{self, Breach, Rule, Verdict};
use crate::simulated_services::{LoopbackAddresses, SimulatedServices};
use crate::sync::lock;
use async_signal::{Signal, Signals};
use indicatif::{ProgressBar, ProgressStyle};
use smol::channel::{Sender, unbounded};
use smol::stream::StreamExt;
use smol::{Executor, Timer};
use std::io;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

/// Interval at which the progress line on the terminal is redrawn.
const REDRAW_INTERVAL: Duration = Duration::from_millis(250);
/// Upper limit of the testbed's own threads; more would take cores from the proxies.
const MAX_THREADS: usize = 4;

/// Why an experiment could not be run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// No block of loopback addresses could be reserved.
    #[error("{0}")]
    Addresses(io::Error),
    /// The simulated services could not listen.
    #[error("cannot open the simulated services: {0}")]
    SimulatedServices(io::Error),
    /// The proxies' files could not be written.
    #[error("cannot prepare the proxies: {0}")]
    Prepare(io::Error),
    /// The proxies could not be started.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// No signal handler could be installed.
    #[error("cannot receive signals: {0}")]
    Signals(io::Error),
}

/// A completed run and its results.
pub struct RunResult {
    /// The experiment that was run.
    pub experiment: Experiment,
    /// What the oracle found.
    pub verdict: Verdict,
    /// The measured figures.
    pub figures: Figures,
    /// CPU time and memory of the proxies over time.
    pub samples: Vec<Sample>,
    /// The experiment's bounds that do not hold, one message each.
    pub violated_bounds: Vec<String>,
}

impl RunResult {
    /// Whether no rule was broken and every stated bound holds.
    pub fn passed(&self) -> bool {
        self.verdict.breaches.is_empty() && self.violated_bounds.is_empty()
    }
}

/// Number of threads that run the simulated services and the clients: enough for some tens of
/// thousands of requests per second, while a few cores are left for the proxies.
fn thread_count() -> usize {
    std::thread::available_parallelism().map_or(2, |cores| cores.get() / 2).clamp(1, MAX_THREADS)
}

/// Runs an executor on dedicated threads until this value is dropped.
struct ExecutorThreads {
    executor: Arc<Executor<'static>>,
    /// Dropping the sender ends the threads.
    stop: Option<Sender<()>>,
    threads: Vec<JoinHandle<()>>,
}

impl ExecutorThreads {
    fn new() -> ExecutorThreads {
        let (stop, stopped) = unbounded::<()>();
        let executor = Arc::new(Executor::new());
        let run = |_| {
            let (executor, stopped) = (executor.clone(), stopped.clone());
            std::thread::spawn(move || _ = smol::block_on(executor.run(stopped.recv())))
        };
        let threads = (0..thread_count()).map(run).collect();
        ExecutorThreads { executor, stop: Some(stop), threads }
    }
}

impl Drop for ExecutorThreads {
    fn drop(&mut self) {
        drop(self.stop.take());
        for thread in self.threads.drain(..) {
            _ = thread.join();
        }
    }
}

/// All parts of a run. Fields are dropped in this order: the proxies end before the threads of the
/// simulated services.
struct Run {
    experiment: Experiment,
    clock: Clock,
    services: Arc<SimulatedServices>,
    clients: Arc<Clients>,
    fleet: Arc<Fleet>,
    threads: ExecutorThreads,
    /// Reserves the run's block of addresses.
    _claim: TcpListener,
}

impl Run {
    /// Opens the simulated services and prepares the proxies' files. `services_experiment` is the
    /// experiment that the simulated services follow, for instance one without the faults.
    fn new(
        experiment: Experiment,
        services_experiment: Experiment,
        start: StartSettings,
    ) -> Result<Run, RunError> {
        let clock = Clock::default();
        let (addresses, claim) = LoopbackAddresses::claim().map_err(RunError::Addresses)?;
        let services = SimulatedServices::new(services_experiment, clock.clone(), addresses);
        let threads = ExecutorThreads::new();
        services.bind_and_serve(&threads.executor).map_err(RunError::SimulatedServices)?;
        let fleet = Fleet::new(services.clone(), start).map_err(RunError::Prepare)?;
        let clients = Clients::new(&experiment, clock.clone(), services.recorder.clone(), addresses);
        Ok(Run { experiment, clock, services, clients, fleet, threads, _claim: claim })
    }

    /// Runs the experiment and returns the proxies that exited although the testbed had not ended
    /// them.
    async fn execute(&self, live: bool) -> Result<Vec<usize>, RunError> {
        let executor = &self.threads.executor;
        if self.experiment.fleet.list_source() == ListSource::Etcd {
            self.services.seed_etcd();
            executor.spawn(self.services.clone().run_etcd_writer()).detach();
        }
        self.fleet.start_all(&self.clients.load_balancer).await?;
        self.clock.start();
        executor.spawn(self.fleet.clone().sample_periodically()).detach();
        executor.spawn(self.fleet.clone().write_lists()).detach();
        executor.spawn(self.clients.clone().run_plan(executor.clone())).detach();
        for action in proxy_actions(&self.experiment) {
            executor.spawn(self.fleet.clone().run_action(action, self.clients.clone())).detach();
        }
        let (clock, clients) = (self.clock.clone(), self.clients.clone());
        let progress = executor.spawn(show_progress(clock, self.experiment.clone(), clients, live));
        self.clock.sleep_until(self.experiment.end_time()).await;
        progress.cancel().await;
        let crashed = self.fleet.crashed();
        self.clients.close_idle();
        self.fleet.stop_all().await;
        Ok(crashed)
    }

    /// Checks the events of a completed run against the rules, and computes its figures.
    fn finish(self, crashed: Vec<usize>) -> Result<RunResult, RunError> {
        let first_error = lock(&self.fleet.errors).drain(..).next();
        if let Some(error) = first_error {
            return Err(error.into());
        }
        let Run { experiment, services, clients, fleet, threads, .. } = self;
        let samples = lock(&fleet.samples).clone();
        let counts = ClientCounts {
            send_delay_p99: lock(&clients.send_delay).value_at_quantile(0.99),
            connects_refused: clients.connects_refused.load(Ordering::Relaxed),
            sent_again: clients.sent_again.load(Ordering::Relaxed),
        };
        drop(threads);
        let (events, requests) = services.recorder.take_recorded();
        let mut verdict = oracle::check_run(&experiment, &events, requests);
        let at = experiment.end_time();
        verdict.breaches.extend(crashed.into_iter().map(|proxy| {
            let details = "its process had exited before the end of the run".to_string();
            Breach { rule: Rule::KeepsRunning, at, request_id: 0, proxy: proxy as u16, details }
        }));
        let mut figures = Figures::measure(&experiment, &verdict, &samples, counts);
        figures.etcd = EtcdFigures::measure(&experiment, &services.etcd.load());
        let violated_bounds = figures.violated_bounds(&experiment);
        Ok(RunResult { experiment, verdict, figures, samples, violated_bounds })
    }
}

/// Runs an experiment; `live` shows its progress on the terminal.
pub fn run_experiment(
    experiment: Experiment,
    start: StartSettings,
    live: bool,
) -> Result<RunResult, RunError> {
    let run = Run::new(experiment.clone(), experiment, start)?;
    let crashed = smol::block_on(run.execute(live))?;
    run.finish(crashed)
}

/// Redraws the progress line: the time, the counts of requests, and the active faults. It is drawn
/// only on a terminal.
async fn show_progress(clock: Clock, experiment: Experiment, clients: Arc<Clients>, live: bool) {
    let bar = if live { ProgressBar::new(experiment.end_time() / SECOND) } else { ProgressBar::hidden() };
    if let Ok(style) = ProgressStyle::with_template("{bar:24} {pos:>3}/{len} s  {msg}") {
        bar.set_style(style);
    }
    loop {
        let now = clock.now();
        let active_faults = experiment.faults_in_order().filter(|fault| fault.active_time().contains(&now));
        let active_faults: Vec<String> = active_faults.map(|fault| fault.kind.to_string()).collect();
        bar.set_position(seconds_from_micros(now) as u64);
        bar.set_message(format!("{}  {}", clients.status_line(), active_faults.join(" ")));
        Timer::after(REDRAW_INTERVAL).await;
    }
}

/// Keeps a fleet running for manual use until the testbed receives SIGTERM or SIGINT.
pub fn run_until_signal(experiment: Experiment, start: StartSettings) -> Result<(), RunError> {
    let without_faults = Experiment { faults: Vec::new(), ..experiment.clone() };
    let logs: PathBuf = start.directory.clone();
    let run = Run::new(experiment, without_faults, start)?;
    let mut signals = Signals::new([Signal::Term, Signal::Int]).map_err(RunError::Signals)?;
    smol::block_on(async {
        run.fleet.start_all(&run.clients.load_balancer).await?;
        run.clock.start();
        // Request ids that the testbed did not issue, such as those typed by hand, count as
        // requests of the first class.
        run.services.recorder.accept_any_id();
        run.print_addresses(&logs);
        _ = signals.next().await;
        run.fleet.stop_all().await;
        Ok(())
    })
}

impl Run {
    /// Prints the proxies' addresses and an example request.
    fn print_addresses(&self, logs: &Path) {
        let addresses = self.services.addresses;
        for proxy in 0..self.experiment.fleet.proxies {
            let (proxy_address, list_address) =
                (addresses.proxy_address(proxy), addresses.list_address(proxy, false));
            println!("proxy-{proxy:02}  http://{proxy_address}  list http://{list_address}/discovery/hosts");
        }
        let class = &self.experiment.classes[0].name;
        println!(
            "curl -H 'X-Correlation-Id: 1' -H 'X-Service-Class: {class}' -H 'X-Time-Left: 1' \
             http://{}/api/k1\n\
             Use a new id (hexadecimal) for each request. Logs: {}. Ctrl-C stops the testbed.",
            addresses.proxy_address(0),
            logs.display()
        );
    }
}
