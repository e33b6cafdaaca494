//! Turns faults of proxies into actions on single proxies, and carries them out.

use super::{Fleet, KILL_GRACE, MAX_TIME_LIMIT};
use crate::clock::{Micros, micros_from_seconds};
use crate::experiment::{Experiment, Fault, FaultKind};
use crate::load::clients::Clients;
use crate::load::load_balancer::LoadBalancer;
use crate::simulated_services::file::WriteMode;
use crate::sync::lock;
use rustix::process::Signal;
use smol::Timer;
use std::sync::Arc;
use std::time::Duration;

/// Delay between the two halves of an operator's file that is written in parts.
const SPLIT_WRITE_DELAY: Duration = Duration::from_millis(20);
/// Every third write of an operator's file is done in two halves.
const SPLIT_WRITE_EVERY: usize = 3;
/// Of five successive writes of a list file, one writes a file that cannot be parsed, and one is
/// done in two halves.
const REWRITE_CYCLE: usize = 5;
const MALFORMED_REWRITE: usize = 0;
const SPLIT_REWRITE: usize = 2;

/// An action on one proxy at a given time.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyAction {
    /// When the action begins.
    pub at: Micros,
    /// The proxy that it acts on.
    pub proxy: usize,
    /// The kind of fault.
    pub kind: FaultKind,
    /// Time until the proxy is restarted or continued, or until the reloads or rewrites end.
    pub duration: Micros,
    /// Interval between reloads or rewrites.
    pub interval: Micros,
}

/// The experiment's faults of proxies as actions on single proxies, sorted by time.
pub fn proxy_actions(experiment: &Experiment) -> Vec<ProxyAction> {
    let mut actions = Vec::new();
    for fault in experiment.faults_in_order() {
        let proxies = fault.proxies.clone().unwrap_or_else(|| (0..experiment.fleet.proxies).collect());
        let action = |(i, proxy): (usize, usize)| action_of(fault, i, proxy);
        actions.extend(proxies.into_iter().enumerate().filter_map(action));
    }
    actions.sort_by_key(|action| (action.at, action.proxy));
    actions
}

/// The action of a fault on the i-th of its proxies, or `None` if the fault is not one of proxies.
fn action_of(fault: &Fault, i: usize, proxy: usize) -> Option<ProxyAction> {
    let at = micros_from_seconds(fault.at);
    let interval = micros_from_seconds(fault.every.unwrap_or(0.0));
    let down = micros_from_seconds(fault.down.unwrap_or(0.0));
    let action = |kind, at, duration| Some(ProxyAction { at, proxy, kind, duration, interval });
    match fault.kind {
        FaultKind::ProxyKill | FaultKind::ProxyTerm => action(fault.kind, at, down),
        FaultKind::ProxyHup => action(fault.kind, at, 0),
        FaultKind::ProxyStop | FaultKind::Reload | FaultKind::FileRewrites => {
            action(fault.kind, at, micros_from_seconds(fault.duration.unwrap_or(0.0)))
        }
        FaultKind::RestartWave => {
            let kind = if is_killed(fault, i) { FaultKind::ProxyKill } else { FaultKind::ProxyTerm };
            action(kind, at + interval * i as Micros, down)
        }
        _ => None,
    }
}

/// Whether the i-th proxy of a restart wave gets SIGKILL. These proxies are spread evenly over the
/// wave: of ten proxies, a share of 0.3 selects the fourth, the seventh and the tenth.
fn is_killed(fault: &Fault, i: usize) -> bool {
    let share = fault.killed.unwrap_or(0.0);
    ((i + 1) as f64 * share).floor() > (i as f64 * share).floor()
}

impl Fleet {
    /// Carries out an action at its time.
    pub async fn run_action(self: Arc<Fleet>, action: ProxyAction, clients: Arc<Clients>) {
        let load_balancer = &clients.load_balancer;
        self.services.clock.sleep_until(action.at).await;
        match action.kind {
            FaultKind::ProxyKill => self.kill(action.proxy, load_balancer).await,
            FaultKind::ProxyTerm => self.terminate(action.proxy, load_balancer).await,
            FaultKind::ProxyHup => return self.move_list(action.proxy),
            FaultKind::Reload => return self.reload_repeatedly(&action).await,
            FaultKind::FileRewrites => return self.rewrite_repeatedly(&action).await,
            _ => return self.stop(&action).await,
        }
        Timer::after(Duration::from_micros(action.duration)).await;
        self.restart(action.proxy, load_balancer).await;
    }

    async fn kill(&self, proxy: usize, load_balancer: &LoadBalancer) {
        self.signal(proxy, Signal::KILL, "KILL");
        load_balancer.mark_down(proxy, micros_from_seconds(self.services.experiment.fleet.detection_s));
        self.wait_for_end(proxy, Micros::MAX).await;
    }

    /// Sends SIGTERM, and SIGKILL if the process has not ended within the platform's termination
    /// period.
    async fn terminate(&self, proxy: usize, load_balancer: &LoadBalancer) {
        let experiment = &self.services.experiment;
        self.signal(proxy, Signal::TERM, "TERM");
        load_balancer.mark_down(proxy, micros_from_seconds(experiment.fleet.draining_detection_s));
        let limits = experiment.classes.iter().map(|class| micros_from_seconds(class.limit_ms / 1e3));
        let max_limit = limits.max().unwrap_or(0).min(MAX_TIME_LIMIT);
        self.wait_for_end(proxy, self.services.clock.now() + max_limit + KILL_GRACE).await;
    }

    /// Writes a configuration with the other address of the discovery service, and sends SIGHUP.
    fn move_list(&self, proxy: usize) {
        {
            let mut process = lock(&self.processes[proxy]);
            process.list_moved = !process.list_moved;
            let text = self.configuration(proxy, process.list_moved).to_string();
            _ = std::fs::write(&process.config_path, text);
        }
        self.signal(proxy, Signal::HUP, "HUP");
    }

    async fn stop(&self, action: &ProxyAction) {
        self.signal(action.proxy, Signal::STOP, "STOP");
        Timer::after(Duration::from_micros(action.duration)).await;
        self.signal(action.proxy, Signal::CONT, "CONT");
    }

    async fn restart(&self, proxy: usize, load_balancer: &LoadBalancer) {
        if let Err(error) = self.restart_process(proxy, load_balancer).await {
            lock(&self.errors).push(error);
        }
    }

    /// Overwrites the operator's file repeatedly with the next of the operator's files, and sends
    /// SIGHUP after each write. Some writes are done in two halves, with a SIGHUP in between.
    async fn reload_repeatedly(&self, action: &ProxyAction) {
        let file_count = self.start.operator_texts.len();
        for n in 1.. {
            let at = action.at + action.interval * n as Micros;
            if at > action.at + action.duration || file_count == 0 {
                return;
            }
            let (operator_path, list_path) = {
                let process = lock(&self.processes[action.proxy]);
                (process.operator_path.clone(), process.list_path.clone())
            };
            let text =
                self.operator_text(&self.start.operator_texts[n % file_count], action.proxy, &list_path);
            if n % SPLIT_WRITE_EVERY == 0 {
                _ = std::fs::write(&operator_path, &text.as_bytes()[..text.len() / 2]);
                self.signal(action.proxy, Signal::HUP, "HUP");
                Timer::after(SPLIT_WRITE_DELAY).await;
            }
            _ = std::fs::write(&operator_path, text);
            self.signal(action.proxy, Signal::HUP, "HUP");
            self.services.clock.sleep_until(at).await;
        }
    }

    /// Overwrites a proxy's list file repeatedly; some writes are malformed or done in two halves.
    async fn rewrite_repeatedly(&self, action: &ProxyAction) {
        let Some(file) = self.list_files.get(action.proxy) else { return };
        for n in 1.. {
            let at = action.at + action.interval * n as Micros;
            if at > action.at + action.duration {
                return file.write(&self.services, WriteMode::AtomicReplace).await;
            }
            let mode = match n % REWRITE_CYCLE {
                MALFORMED_REWRITE => WriteMode::MalformedInPlace,
                SPLIT_REWRITE => WriteMode::InPlaceInHalves,
                _ => WriteMode::AtomicReplace,
            };
            file.write(&self.services, mode).await;
            self.services.clock.sleep_until(at).await;
        }
    }
}
