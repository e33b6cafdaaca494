//! One experiment, from the first stand-in to the verdict.

use crate::clock::{Clock, SECOND, seconds};
use crate::experiment::{Experiment, SOURCE_ETCD};
use crate::fleet::{Fleet, Sample, StartSettings, proxy_actions};
use crate::load::clients::Clients;
use crate::measure::{self, Figures};
use crate::oracle::{self, Breach, Verdict};
use crate::stand::{Net, Site};
use async_signal::{Signal, Signals};
use indicatif::{ProgressBar, ProgressStyle};
use smol::channel::{Sender, unbounded};
use smol::stream::StreamExt;
use smol::{Executor, Timer};
use std::sync::Arc;
use std::time::Duration;

pub const CRASHED: &str = "a proxy ended by itself";

pub struct RunResult {
    pub experiment: Experiment,
    pub verdict: Verdict,
    pub figures: Figures,
    pub samples: Vec<Sample>,
    /// Bounds of the experiment's own that do not hold.
    pub out_of_bounds: Vec<String>,
}

impl RunResult {
    pub fn passed(&self) -> bool {
        self.verdict.breaches.is_empty() && self.out_of_bounds.is_empty()
    }
}

/// Threads that run stand-ins and clients: enough for some tens of thousands of requests a second, and a few cores are
/// left for the proxies.
fn threads() -> usize {
    std::thread::available_parallelism().map_or(2, |n| n.get() / 2).clamp(1, 4)
}

/// Runs an executor on threads of its own until it is dropped.
struct ExecutorThreads(Arc<Executor<'static>>, Option<Sender<()>>, Vec<std::thread::JoinHandle<()>>);

impl ExecutorThreads {
    fn new() -> ExecutorThreads {
        let (stop, stopped) = unbounded::<()>();
        let ex = Arc::new(Executor::new());
        let run = |_| {
            let (ex, stopped) = (ex.clone(), stopped.clone());
            std::thread::spawn(move || _ = smol::block_on(ex.run(stopped.recv())))
        };
        let threads = (0..threads()).map(run).collect();
        ExecutorThreads(ex, Some(stop), threads)
    }
}

impl Drop for ExecutorThreads {
    fn drop(&mut self) {
        drop(self.1.take());
        self.2.drain(..).for_each(|t| _ = t.join());
    }
}

/// Plays an experiment; `Err` where it could not be run at all.
pub fn play(experiment: Experiment, start: StartSettings, live: bool) -> Result<RunResult, String> {
    let clock = Clock::default();
    let (net, _claim) = Net::claim().map_err(|e| e.to_string())?;
    let site = Site::new(experiment.clone(), clock.clone(), net);
    let executor = ExecutorThreads::new();
    site.open(&executor.0).map_err(|e| format!("cannot open the stand-ins: {e}"))?;
    let fleet = Fleet::new(site.clone(), start).map_err(|e| format!("cannot prepare the proxies: {e}"))?;
    let clients = Clients::new(&experiment, clock.clone(), site.evidence.clone(), net);
    let crashed = smol::block_on(async {
        if experiment.fleet.source == SOURCE_ETCD {
            site.seed_etcd();
            executor.0.spawn(site.clone().write_etcd()).detach();
        }
        fleet.up(&clients.front).await?;
        clock.begin();
        executor.0.spawn(fleet.clone().watch()).detach();
        executor.0.spawn(fleet.clone().write_lists()).detach();
        executor.0.spawn(clients.clone().play(executor.0.clone())).detach();
        for action in proxy_actions(&experiment) {
            executor.0.spawn(fleet.clone().play(action, clients.clone())).detach();
        }
        let showing = executor.0.spawn(show(clock.clone(), experiment.clone(), clients.clone(), live));
        clock.sleep_until(experiment.ends_at()).await;
        showing.cancel().await;
        let crashed = fleet.crashed();
        clients.close_idle();
        fleet.down().await;
        Ok::<_, String>(crashed)
    })?;
    if let Some(error) = fleet.errors.lock().ok().and_then(|errors| errors.first().cloned()) {
        return Err(error);
    }
    let samples = fleet.samples.lock().map(|s| s.clone()).unwrap_or_default();
    let counted = measure::ClientCounts {
        send_delay_p99: clients.send_delay.lock().map_or(0, |l| l.value_at_quantile(0.99)),
        connects_refused: clients.refused.load(std::sync::atomic::Ordering::Relaxed),
        sent_again: clients.sent_again.load(std::sync::atomic::Ordering::Relaxed),
    };
    drop(executor);
    let (events, requests) = site.evidence.finish();
    let mut verdict = oracle::judge(&experiment, &events, requests);
    for proxy in crashed {
        let seen = "its process was gone at the end of the run".to_string();
        let at = experiment.ends_at();
        verdict.breaches.push(Breach { rule: CRASHED, at, id: 0, proxy: proxy as u16, seen });
    }
    let mut figures = Figures::of(&experiment, &verdict, &samples, counted);
    figures.etcd = measure::EtcdFigures::of(&experiment, &site.etcd.load());
    let out_of_bounds = figures.out_of_bounds(&experiment);
    Ok(RunResult { experiment, verdict, figures, samples, out_of_bounds })
}

/// The live line: the time, what is open, and which faults are on. Drawn on a terminal only.
async fn show(clock: Clock, experiment: Experiment, clients: Arc<Clients>, live: bool) {
    let bar = if live { ProgressBar::new(experiment.ends_at() / SECOND) } else { ProgressBar::hidden() };
    let style = ProgressStyle::with_template("{bar:24} {pos:>3}/{len} s  {msg}");
    if let Ok(style) = style {
        bar.set_style(style);
    }
    loop {
        let now = clock.now();
        let on = experiment.faults.iter().map(|t| t.get_ref());
        let on: Vec<String> = on.filter(|t| t.span().contains(&now)).map(|t| t.kind.to_string()).collect();
        bar.set_position(seconds(now) as u64);
        bar.set_message(format!("{}  {}", clients.status_line(), on.join(" ")));
        Timer::after(Duration::from_millis(250)).await;
    }
}

/// A fleet that stays up for trying it by hand, until the testbed is told to end.
pub fn stay_up(experiment: Experiment, start: StartSettings) -> Result<(), String> {
    let clock = Clock::default();
    let (net, _claim) = Net::claim().map_err(|e| e.to_string())?;
    let site = Site::new(Experiment { faults: Vec::new(), ..experiment.clone() }, clock.clone(), net);
    let executor = ExecutorThreads::new();
    site.open(&executor.0).map_err(|e| format!("cannot open the stand-ins: {e}"))?;
    let logs = start.folder.clone();
    let fleet = Fleet::new(site.clone(), start).map_err(|e| format!("cannot prepare the proxies: {e}"))?;
    let clients = Clients::new(&experiment, clock.clone(), site.evidence.clone(), net);
    let signals =
        Signals::new([Signal::Term, Signal::Int]).map_err(|e| format!("cannot hear signals: {e}"))?;
    smol::block_on(async {
        fleet.up(&clients.front).await?;
        clock.begin();
        // Ids that are written by hand are taken for requests of the first request class.
        site.evidence.accept_any();
        for proxy in 0..experiment.fleet.proxies {
            println!(
                "proxy-{proxy:02}  http://{}  list http://{}/discovery/hosts",
                net.proxy(proxy),
                net.list(proxy, false)
            );
        }
        let name = &experiment.classes[0].name;
        println!(
            "curl -H 'X-Correlation-Id: 1' -H 'X-Service-Class: {name}' -H 'X-Time-Left: 1' http://{}/api/k1\n\
             A new id (hexadecimal) with each lookup. Logs: {}. Ctrl-C ends it.",
            net.proxy(0),
            logs.display()
        );
        let mut signals = signals;
        _ = signals.next().await;
        fleet.down().await;
        Ok(())
    })
}
