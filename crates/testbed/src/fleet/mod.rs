//! The proxies as processes: started by their command, controlled by signals, measured from outside, and ended by id whatever
//! happens: each is started by way of `keep`, which has the system end it when the testbed's own process ends.

mod actions;
mod config;
mod error;
mod process;
mod usage;

pub use actions::{ProxyAction, proxy_actions};
pub use error::FleetError;

use crate::clock::{Micros, SECOND};
use crate::evidence::EventKind;
use crate::experiment::ListSource;
use crate::load::front::Front;
use crate::stand_ins::Site;
use crate::stand_ins::file::{ListFile, WriteMode};
use crate::sync::lock;
use crate::wire::Connection;
use process::{ProxyProcess, name};
use rustix::process::{Pid, Signal, kill_process};
use smol::{Async, Timer};
use std::io;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use usage::ProcessUsage;

/// How proxies are started.
#[derive(Clone, Debug)]
pub struct StartSettings {
    /// Run by the shell, with `ROUTER_CONFIG` and the platform's other variables set.
    pub command: String,
    /// The testbed's own program, for `keep`; without it a proxy outlives a testbed that is killed.
    pub supervisor: Option<PathBuf>,
    /// Where configurations and logs go, a file each by name.
    pub folder: PathBuf,
    /// Operator's files by their text; each proxy starts with the first.
    pub operator: Vec<String>,
}

/// What one proxy used, at one moment of the run.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// When.
    pub at: Micros,
    /// Which proxy.
    pub proxy: usize,
    /// In all, over its processes.
    pub cpu_us: u64,
    /// Resident.
    pub memory_kb: u64,
}

/// All proxies of a run.
pub struct Fleet {
    site: Arc<Site>,
    start: StartSettings,
    processes: Vec<Mutex<ProxyProcess>>,
    /// The proxies' lists, where those are files.
    lists: Vec<ListFile>,
    /// What each proxy used, in order of time.
    pub samples: Mutex<Vec<Sample>>,
    /// What went wrong that makes the run void.
    pub errors: Mutex<Vec<FleetError>>,
}

/// Until a proxy answers `/up` with 200, or has failed to start.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// How often it is looked whether a proxy is up, or has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Beside the longest time limit (3 s at most), from SIGTERM to SIGKILL, as the platform has it.
const KILL_GRACE: Micros = 700_000;
const LONGEST_LIMIT: Micros = 3 * SECOND;

impl Fleet {
    /// Prepares the files of all proxies.
    pub fn new(site: Arc<Site>, start: StartSettings) -> io::Result<Arc<Fleet>> {
        std::fs::create_dir_all(&start.folder)?;
        let mut processes = Vec::new();
        let mut lists = Vec::new();
        for proxy in 0..site.experiment.fleet.proxies {
            let process = ProxyProcess::new(&site, &start, proxy)?;
            if site.experiment.fleet.list_source() == ListSource::File {
                lists.push(ListFile::new(&process.list, proxy));
            }
            processes.push(Mutex::new(process));
        }
        Ok(Arc::new(Fleet {
            site,
            start,
            processes,
            lists,
            samples: Mutex::default(),
            errors: Mutex::default(),
        }))
    }

    /// Starts all and waits until they are up.
    pub async fn up(&self, front: &Front) -> Result<(), FleetError> {
        for file in &self.lists {
            file.write(&self.site, WriteMode::Replaced).await;
        }
        for proxy in 0..self.processes.len() {
            self.spawn(proxy).map_err(FleetError::Start)?;
        }
        for proxy in 0..self.processes.len() {
            self.wait_ready(proxy, front).await?;
        }
        Ok(())
    }

    async fn start_again(&self, proxy: usize, front: &Front) -> Result<(), FleetError> {
        self.spawn(proxy).map_err(|error| FleetError::Restart { name: name(proxy), error })?;
        self.wait_ready(proxy, front).await
    }

    fn spawn(&self, proxy: usize) -> io::Result<()> {
        let mut process = lock(&self.processes[proxy]);
        std::fs::write(&process.config, self.configuration(proxy, process.list_moved).to_string())?;
        let net = self.site.net;
        let mut command = self.command();
        command
            .env("ROUTER_NAME", name(proxy))
            .env("ROUTER_LISTEN", net.proxy(proxy).to_string())
            .env("ROUTER_DISCOVERY", net.list(proxy, process.list_moved).to_string())
            .env("ROUTER_CONFIG", &process.config)
            .env("OPERATOR", &process.operator)
            .stdin(Stdio::null())
            .stdout(process.log.try_clone()?)
            .stderr(process.log.try_clone()?);
        process.child = Some(command.spawn()?);
        Ok(())
    }

    /// The command by which a proxy is started, by way of the supervisor if there is one.
    fn command(&self) -> Command {
        let script = format!("exec {}", self.start.command);
        let mut command = match &self.start.supervisor {
            Some(supervisor) => {
                let mut command = Command::new(supervisor);
                command.args(["keep", "sh"]);
                command
            }
            None => Command::new("sh"),
        };
        command.arg("-c").arg(script);
        command
    }

    /// Waits for `/up`; from then on the front deals to it.
    async fn wait_ready(&self, proxy: usize, front: &Front) -> Result<(), FleetError> {
        let end = Instant::now() + START_TIMEOUT;
        while Instant::now() < end {
            if self.is_up(proxy).await {
                self.site.evidence.record(0, proxy, EventKind::ProcessReady);
                front.up(proxy);
                return Ok(());
            }
            if let Some(status) = self.try_wait(proxy) {
                return Err(FleetError::EndedAtStart { name: name(proxy), status });
            }
            Timer::after(POLL_INTERVAL).await;
        }
        Err(FleetError::NotUp { name: name(proxy), seconds: START_TIMEOUT.as_secs() })
    }

    async fn is_up(&self, proxy: usize) -> bool {
        let Ok(stream) = Async::<TcpStream>::connect(self.site.net.proxy(proxy)).await else { return false };
        let mut connection = Connection::new(stream);
        let request = b"GET /up HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n";
        let written = connection.write(&[request]).await;
        written.is_ok() && connection.read_response().await.is_ok_and(|response| response.status == 200)
    }

    /// How its process ended, if it has.
    fn try_wait(&self, proxy: usize) -> Option<String> {
        let mut process = lock(&self.processes[proxy]);
        let status = process.child.as_mut()?.try_wait().ok()??;
        process.child = None;
        Some(status.to_string())
    }

    fn signal(&self, proxy: usize, signal: Signal, name: &'static str) {
        self.site.evidence.record(0, proxy, EventKind::Signalled { signal: name });
        let process = lock(&self.processes[proxy]);
        if let Some(pid) = process.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32)) {
            _ = kill_process(pid, signal);
        }
    }

    /// Waits for its end, until a moment at which it is killed.
    async fn wait_for_end(&self, proxy: usize, latest: Micros) {
        let mut killed = false;
        self.sample(proxy);
        while self.try_wait(proxy).is_none() {
            if lock(&self.processes[proxy]).child.is_none() {
                break;
            }
            if !killed && self.site.clock.now() > latest {
                killed = true;
                self.signal(proxy, Signal::KILL, "KILL");
            }
            self.sample(proxy);
            Timer::after(POLL_INTERVAL).await;
        }
        self.site.evidence.record(0, proxy, EventKind::ProcessEnded { killed });
        let mut process = lock(&self.processes[proxy]);
        let samples = lock(&self.samples);
        let last = samples.iter().rev().find(|sample| sample.proxy == proxy);
        process.cpu_us_before = last.map_or(0, |sample| sample.cpu_us);
    }

    /// Writes each change of the list into the proxies' files, where they have some; ends with the last.
    pub async fn write_lists(self: Arc<Fleet>) {
        for update in &self.site.timelines.updates {
            self.site.clock.sleep_until(update.published).await;
            for file in &self.lists {
                file.write(&self.site, WriteMode::Replaced).await;
            }
        }
    }

    fn sample(&self, proxy: usize) {
        let process = lock(&self.processes[proxy]);
        let Some(pid) = process.child.as_ref().map(Child::id) else { return };
        let Some(usage) = ProcessUsage::read(pid) else { return };
        let cpu_us = process.cpu_us_before + usage.cpu_us;
        let at = self.site.clock.now();
        lock(&self.samples).push(Sample { at, proxy, cpu_us, memory_kb: usage.memory_kb });
    }

    /// Samples what each proxy uses, again and again.
    pub async fn watch(self: Arc<Fleet>) {
        loop {
            (0..self.processes.len()).for_each(|proxy| self.sample(proxy));
            Timer::after(SAMPLE_INTERVAL).await;
        }
    }

    /// Proxies that have ended though nothing ended them.
    pub fn crashed(&self) -> Vec<usize> {
        (0..self.processes.len()).filter(|proxy| self.try_wait(*proxy).is_some()).collect()
    }

    /// Ends all, and waits for it as the platform would.
    pub async fn down(&self) {
        (0..self.processes.len()).for_each(|proxy| self.signal(proxy, Signal::TERM, "TERM"));
        let latest = self.site.clock.now() + LONGEST_LIMIT + KILL_GRACE;
        for proxy in 0..self.processes.len() {
            self.wait_for_end(proxy, latest).await;
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in &self.processes {
            if let Some(mut child) = lock(process).child.take() {
                _ = child.kill();
                _ = child.wait();
            }
        }
    }
}
