//! Faults of proxies as actions, one for each proxy, and how they are played.

use super::{Fleet, KILL_GRACE, LONGEST_LIMIT};
use crate::clock::{Micros, micros};
use crate::experiment::{Experiment, Fault, FaultKind};
use crate::load::clients::Clients;
use crate::load::front::Front;
use crate::stand_ins::file::WriteMode;
use crate::sync::lock;
use rustix::process::Signal;
use smol::Timer;
use std::sync::Arc;
use std::time::Duration;

/// Between the halves of an operator's file.
const BETWEEN_HALVES: Duration = Duration::from_millis(20);
/// Each third of the operator's files is written in halves.
const HALVES_EVERY: usize = 3;
/// Of five list files one cannot be read and one is written in halves.
const REWRITE_CYCLE: usize = 5;
const BROKEN_REWRITE: usize = 0;
const HALVED_REWRITE: usize = 2;

/// What is done to which proxy, and when.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyAction {
    /// When.
    pub at: Micros,
    /// To which proxy.
    pub proxy: usize,
    /// What.
    pub kind: FaultKind,
    /// To the next start, to the end of a stop, or of reloads.
    pub duration: Micros,
    /// Of reloads and rewrites: from one to the next.
    pub every: Micros,
}

/// The experiment's faults of proxies, each as actions on single ones, in order of time.
pub fn proxy_actions(experiment: &Experiment) -> Vec<ProxyAction> {
    let mut actions = Vec::new();
    for fault in experiment.each_fault() {
        let named = fault.proxies.clone().unwrap_or_else(|| (0..experiment.fleet.proxies).collect());
        let action = |(i, proxy): (usize, usize)| action_of(fault, i, proxy);
        actions.extend(named.into_iter().enumerate().filter_map(action));
    }
    actions.sort_by_key(|action| (action.at, action.proxy));
    actions
}

/// What a fault does to the i-th of its proxies, if it is a fault of proxies.
fn action_of(fault: &Fault, i: usize, proxy: usize) -> Option<ProxyAction> {
    let at = micros(fault.at);
    let every = micros(fault.every.unwrap_or(0.0));
    let down = micros(fault.down.unwrap_or(0.0));
    let action = |kind, at, duration| Some(ProxyAction { at, proxy, kind, duration, every });
    match fault.kind {
        FaultKind::ProxyKill | FaultKind::ProxyTerm => action(fault.kind, at, down),
        FaultKind::ProxyHup => action(fault.kind, at, 0),
        FaultKind::ProxyStop | FaultKind::Reload | FaultKind::FileRewrites => {
            action(fault.kind, at, micros(fault.duration.unwrap_or(0.0)))
        }
        FaultKind::RestartWave => {
            let kind = if is_killed(fault, i) { FaultKind::ProxyKill } else { FaultKind::ProxyTerm };
            action(kind, at + every * i as Micros, down)
        }
        _ => None,
    }
}

/// Spread evenly over a wave: of ten, a killed share of 0.3 is the fourth, the seventh and the tenth.
fn is_killed(fault: &Fault, i: usize) -> bool {
    let share = fault.killed.unwrap_or(0.0);
    ((i + 1) as f64 * share).floor() > (i as f64 * share).floor()
}

impl Fleet {
    /// Plays an action at its time.
    pub async fn play(self: Arc<Fleet>, action: ProxyAction, clients: Arc<Clients>) {
        let front = &clients.front;
        self.site.clock.sleep_until(action.at).await;
        match action.kind {
            FaultKind::ProxyKill => self.kill(action.proxy, front).await,
            FaultKind::ProxyTerm => self.terminate(action.proxy, front).await,
            FaultKind::ProxyHup => return self.move_list(action.proxy),
            FaultKind::Reload => return self.reload_repeatedly(&action).await,
            FaultKind::FileRewrites => return self.rewrite_repeatedly(&action).await,
            _ => return self.stop(&action).await,
        }
        Timer::after(Duration::from_micros(action.duration)).await;
        self.restart(action.proxy, front).await;
    }

    async fn kill(&self, proxy: usize, front: &Front) {
        self.signal(proxy, Signal::KILL, "KILL");
        front.down(proxy, micros(self.site.experiment.fleet.detection_s));
        self.wait_for_end(proxy, Micros::MAX).await;
    }

    /// SIGTERM, and as much time as the platform gives.
    async fn terminate(&self, proxy: usize, front: &Front) {
        let experiment = &self.site.experiment;
        self.signal(proxy, Signal::TERM, "TERM");
        front.down(proxy, micros(experiment.fleet.draining_detection_s));
        let limits = experiment.classes.iter().map(|class| micros(class.limit_ms / 1e3));
        let longest = limits.max().unwrap_or(0).min(LONGEST_LIMIT);
        self.wait_for_end(proxy, self.site.clock.now() + longest + KILL_GRACE).await;
    }

    /// SIGHUP with a configuration that has the list's other address.
    fn move_list(&self, proxy: usize) {
        {
            let mut process = lock(&self.processes[proxy]);
            process.list_moved = !process.list_moved;
            let text = self.configuration(proxy, process.list_moved).to_string();
            _ = std::fs::write(&process.config, text);
        }
        self.signal(proxy, Signal::HUP, "HUP");
    }

    async fn stop(&self, action: &ProxyAction) {
        self.signal(action.proxy, Signal::STOP, "STOP");
        Timer::after(Duration::from_micros(action.duration)).await;
        self.signal(action.proxy, Signal::CONT, "CONT");
    }

    async fn restart(&self, proxy: usize, front: &Front) {
        if let Err(error) = self.start_again(proxy, front).await {
            lock(&self.errors).push(error);
        }
    }

    /// Writes the operator's files over each other again and again, some in halves with the signal in between.
    async fn reload_repeatedly(&self, action: &ProxyAction) {
        let files = self.start.operator.len();
        for n in 1.. {
            let at = action.at + action.every * n as Micros;
            if at > action.at + action.duration || files == 0 {
                return;
            }
            let (path, list) = {
                let process = lock(&self.processes[action.proxy]);
                (process.operator.clone(), process.list.clone())
            };
            let text = self.operator_text(&self.start.operator[n % files], action.proxy, &list);
            if n % HALVES_EVERY == 0 {
                _ = std::fs::write(&path, &text.as_bytes()[..text.len() / 2]);
                self.signal(action.proxy, Signal::HUP, "HUP");
                Timer::after(BETWEEN_HALVES).await;
            }
            _ = std::fs::write(&path, text);
            self.signal(action.proxy, Signal::HUP, "HUP");
            self.site.clock.sleep_until(at).await;
        }
    }

    /// Writes a proxy's list over again and again, some of them broken or in halves.
    async fn rewrite_repeatedly(&self, action: &ProxyAction) {
        let Some(file) = self.lists.get(action.proxy) else { return };
        for n in 1.. {
            let at = action.at + action.every * n as Micros;
            if at > action.at + action.duration {
                return file.write(&self.site, WriteMode::Replaced).await;
            }
            let mode = match n % REWRITE_CYCLE {
                BROKEN_REWRITE => WriteMode::Broken,
                HALVED_REWRITE => WriteMode::InHalves,
                _ => WriteMode::Replaced,
            };
            file.write(&self.site, mode).await;
            self.site.clock.sleep_until(at).await;
        }
    }
}
