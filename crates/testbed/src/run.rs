//! One experiment, from the first stand-in to the verdict.

use crate::clock::{Clock, SECOND, seconds};
use crate::experiment::{Experiment, ListSource};
use crate::fleet::{Fleet, FleetError, Sample, StartSettings, proxy_actions};
use crate::load::clients::Clients;
use crate::measure::{ClientCounts, EtcdFigures, Figures};
use crate::oracle::{self, Breach, Rule, Verdict};
use crate::stand_ins::{Net, Site};
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

/// The line on the terminal is drawn anew so often.
const DRAW_INTERVAL: Duration = Duration::from_millis(250);
/// More threads of the testbed's own would take cores from the proxies.
const MAX_THREADS: usize = 4;

/// Why an experiment could not be run at all.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// No block of addresses.
    #[error("{0}")]
    Addresses(io::Error),
    /// The stand-ins could not listen.
    #[error("cannot open the stand-ins: {0}")]
    StandIns(io::Error),
    /// The proxies' files could not be written.
    #[error("cannot prepare the proxies: {0}")]
    Prepare(io::Error),
    /// The proxies could not be run.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// No signals can be received.
    #[error("cannot receive signals: {0}")]
    Signals(io::Error),
}

/// A run and what came of it.
pub struct RunResult {
    /// What was played.
    pub experiment: Experiment,
    /// What the judge found.
    pub verdict: Verdict,
    /// What was measured.
    pub figures: Figures,
    /// What the proxies used.
    pub samples: Vec<Sample>,
    /// Bounds of the experiment's own that do not hold.
    pub out_of_bounds: Vec<String>,
}

impl RunResult {
    /// Whether no rule was broken and every stated bound holds.
    pub fn passed(&self) -> bool {
        self.verdict.breaches.is_empty() && self.out_of_bounds.is_empty()
    }
}

/// Threads that run stand-ins and clients: enough for some tens of thousands of requests a second, and a few cores are left for
/// the proxies.
fn thread_count() -> usize {
    std::thread::available_parallelism().map_or(2, |cores| cores.get() / 2).clamp(1, MAX_THREADS)
}

/// Runs an executor on threads of its own until it is dropped.
struct ExecutorThreads {
    executor: Arc<Executor<'static>>,
    /// The threads end when it is dropped.
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

/// All parts of a run. Fields are dropped in this order: the proxies end before the threads of the stand-ins.
struct Run {
    experiment: Experiment,
    clock: Clock,
    site: Arc<Site>,
    clients: Arc<Clients>,
    fleet: Arc<Fleet>,
    threads: ExecutorThreads,
    /// Holds the run's addresses.
    _claim: TcpListener,
}

impl Run {
    /// Opens the stand-ins and prepares the proxies' files.
    fn new(experiment: Experiment, played: Experiment, start: StartSettings) -> Result<Run, RunError> {
        let clock = Clock::default();
        let (net, claim) = Net::claim().map_err(RunError::Addresses)?;
        let site = Site::new(played, clock.clone(), net);
        let threads = ExecutorThreads::new();
        site.open(&threads.executor).map_err(RunError::StandIns)?;
        let fleet = Fleet::new(site.clone(), start).map_err(RunError::Prepare)?;
        let clients = Clients::new(&experiment, clock.clone(), site.evidence.clone(), net);
        Ok(Run { experiment, clock, site, clients, fleet, threads, _claim: claim })
    }

    /// Plays the experiment, and returns the proxies that had ended by themselves.
    async fn play(&self, live: bool) -> Result<Vec<usize>, RunError> {
        let executor = &self.threads.executor;
        if self.experiment.fleet.list_source() == ListSource::Etcd {
            self.site.seed_etcd();
            executor.spawn(self.site.clone().write_etcd()).detach();
        }
        self.fleet.up(&self.clients.front).await?;
        self.clock.begin();
        executor.spawn(self.fleet.clone().watch()).detach();
        executor.spawn(self.fleet.clone().write_lists()).detach();
        executor.spawn(self.clients.clone().play(executor.clone())).detach();
        for action in proxy_actions(&self.experiment) {
            executor.spawn(self.fleet.clone().play(action, self.clients.clone())).detach();
        }
        let (clock, clients) = (self.clock.clone(), self.clients.clone());
        let showing = executor.spawn(show(clock, self.experiment.clone(), clients, live));
        self.clock.sleep_until(self.experiment.ends_at()).await;
        showing.cancel().await;
        let crashed = self.fleet.crashed();
        self.clients.close_idle();
        self.fleet.down().await;
        Ok(crashed)
    }

    /// Judges and measures a run that has been played.
    fn finish(self, crashed: Vec<usize>) -> Result<RunResult, RunError> {
        let first_error = lock(&self.fleet.errors).drain(..).next();
        if let Some(error) = first_error {
            return Err(error.into());
        }
        let Run { experiment, site, clients, fleet, threads, .. } = self;
        let samples = lock(&fleet.samples).clone();
        let counts = ClientCounts {
            send_delay_p99: lock(&clients.send_delay).value_at_quantile(0.99),
            connects_refused: clients.refused.load(Ordering::Relaxed),
            sent_again: clients.sent_again.load(Ordering::Relaxed),
        };
        drop(threads);
        let (events, requests) = site.evidence.finish();
        let mut verdict = oracle::judge(&experiment, &events, requests);
        let at = experiment.ends_at();
        verdict.breaches.extend(crashed.into_iter().map(|proxy| {
            let seen = "its process was gone at the end of the run".to_string();
            Breach { rule: Rule::KeepsRunning, at, id: 0, proxy: proxy as u16, seen }
        }));
        let mut figures = Figures::measure(&experiment, &verdict, &samples, counts);
        figures.etcd = EtcdFigures::measure(&experiment, &site.etcd.load());
        let out_of_bounds = figures.out_of_bounds(&experiment);
        Ok(RunResult { experiment, verdict, figures, samples, out_of_bounds })
    }
}

/// Plays an experiment; `live` shows on the terminal how it stands.
pub fn play(experiment: Experiment, start: StartSettings, live: bool) -> Result<RunResult, RunError> {
    let run = Run::new(experiment.clone(), experiment, start)?;
    let crashed = smol::block_on(run.play(live))?;
    run.finish(crashed)
}

/// The live line: the time, what is open, and which faults are on. Drawn on a terminal only.
async fn show(clock: Clock, experiment: Experiment, clients: Arc<Clients>, live: bool) {
    let bar = if live { ProgressBar::new(experiment.ends_at() / SECOND) } else { ProgressBar::hidden() };
    if let Ok(style) = ProgressStyle::with_template("{bar:24} {pos:>3}/{len} s  {msg}") {
        bar.set_style(style);
    }
    loop {
        let now = clock.now();
        let on = experiment.each_fault().filter(|fault| fault.span().contains(&now));
        let on: Vec<String> = on.map(|fault| fault.kind.to_string()).collect();
        bar.set_position(seconds(now) as u64);
        bar.set_message(format!("{}  {}", clients.status_line(), on.join(" ")));
        Timer::after(DRAW_INTERVAL).await;
    }
}

/// A fleet that stays up for trying it by hand, until the testbed gets a signal.
pub fn stay_up(experiment: Experiment, start: StartSettings) -> Result<(), RunError> {
    let without_faults = Experiment { faults: Vec::new(), ..experiment.clone() };
    let logs: PathBuf = start.folder.clone();
    let run = Run::new(experiment, without_faults, start)?;
    let mut signals = Signals::new([Signal::Term, Signal::Int]).map_err(RunError::Signals)?;
    smol::block_on(async {
        run.fleet.up(&run.clients.front).await?;
        run.clock.begin();
        // Ids that are written by hand count as requests of the first class.
        run.site.evidence.accept_any();
        run.print_addresses(&logs);
        _ = signals.next().await;
        run.fleet.down().await;
        Ok(())
    })
}

impl Run {
    /// What to try by hand.
    fn print_addresses(&self, logs: &Path) {
        let net = self.site.net;
        for proxy in 0..self.experiment.fleet.proxies {
            let (own, list) = (net.proxy(proxy), net.list(proxy, false));
            println!("proxy-{proxy:02}  http://{own}  list http://{list}/discovery/hosts");
        }
        let class = &self.experiment.classes[0].name;
        println!(
            "curl -H 'X-Correlation-Id: 1' -H 'X-Service-Class: {class}' -H 'X-Time-Left: 1' http://{}/api/k1\n\
             A new id (hexadecimal) with each request. Logs: {}. Ctrl-C ends it.",
            net.proxy(0),
            logs.display()
        );
    }
}
