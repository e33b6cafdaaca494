//! The processes of the proxies: started by a command, controlled by signals and measured from
//! outside. The testbed stops each process by its id. If the testbed itself is killed, the kernel
//! kills the processes, because they are started through the subcommand `keep`.

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
use crate::load::load_balancer::LoadBalancer;
use crate::simulated_services::SimulatedServices;
use crate::simulated_services::file::{ListFile, WriteMode};
use crate::sync::lock;
use crate::wire::Connection;
use process::{ProxyProcess, proxy_name};
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
    /// The shell command of a proxy. It runs with `ROUTER_CONFIG` and the platform's other
    /// variables set.
    pub command: String,
    /// The path of the testbed's executable, for `keep`. Without it, proxies outlive a testbed that
    /// is killed.
    pub supervisor: Option<PathBuf>,
    /// The directory for configurations and logs, with one file of each kind per proxy.
    pub directory: PathBuf,
    /// The texts of the operator's files; each proxy starts with the first.
    pub operator_texts: Vec<String>,
}

/// The resources that one proxy uses, at one time of the run.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// When the sample was taken.
    pub at: Micros,
    /// The proxy.
    pub proxy: usize,
    /// CPU time of all of the proxy's processes so far, in microseconds.
    pub cpu_us: u64,
    /// Resident memory, in kilobytes.
    pub memory_kb: u64,
}

/// All proxies of a run.
pub struct Fleet {
    services: Arc<SimulatedServices>,
    start: StartSettings,
    processes: Vec<Mutex<ProxyProcess>>,
    /// The proxies' list files, if the list source is a file; otherwise empty.
    list_files: Vec<ListFile>,
    /// The resources that the proxies used, in order of time.
    pub samples: Mutex<Vec<Sample>>,
    /// Errors that invalidate the run.
    pub errors: Mutex<Vec<FleetError>>,
}

/// Time within which a proxy has to answer `/up` with 200.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which the testbed checks whether a proxy is ready or has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Time from SIGTERM to SIGKILL in addition to the longest time limit (at most 3 s), as on the
/// platform.
const KILL_GRACE: Micros = 700_000;
const MAX_TIME_LIMIT: Micros = 3 * SECOND;

impl Fleet {
    /// Prepares the files of all proxies; starts no process.
    pub fn new(services: Arc<SimulatedServices>, start: StartSettings) -> io::Result<Arc<Fleet>> {
        std::fs::create_dir_all(&start.directory)?;
        let mut processes = Vec::new();
        let mut list_files = Vec::new();
        for proxy in 0..services.experiment.fleet.proxies {
            let process = ProxyProcess::new(&services, &start, proxy)?;
            if services.experiment.fleet.list_source() == ListSource::File {
                list_files.push(ListFile::new(&process.list_path, proxy));
            }
            processes.push(Mutex::new(process));
        }
        Ok(Arc::new(Fleet {
            services,
            start,
            processes,
            list_files,
            samples: Mutex::default(),
            errors: Mutex::default(),
        }))
    }

    /// Starts all proxies and waits until they are ready.
    pub async fn start_all(&self, load_balancer: &LoadBalancer) -> Result<(), FleetError> {
        for file in &self.list_files {
            file.write(&self.services, WriteMode::AtomicReplace).await;
        }
        for proxy in 0..self.processes.len() {
            self.spawn(proxy).map_err(FleetError::Start)?;
        }
        for proxy in 0..self.processes.len() {
            self.wait_ready(proxy, load_balancer).await?;
        }
        Ok(())
    }

    async fn restart_process(&self, proxy: usize, load_balancer: &LoadBalancer) -> Result<(), FleetError> {
        self.spawn(proxy).map_err(|error| FleetError::Restart { name: proxy_name(proxy), error })?;
        self.wait_ready(proxy, load_balancer).await
    }

    fn spawn(&self, proxy: usize) -> io::Result<()> {
        let mut process = lock(&self.processes[proxy]);
        std::fs::write(&process.config_path, self.configuration(proxy, process.list_moved).to_string())?;
        let addresses = self.services.addresses;
        let mut command = self.command();
        command
            .env("ROUTER_NAME", proxy_name(proxy))
            .env("ROUTER_LISTEN", addresses.proxy_address(proxy).to_string())
            .env("ROUTER_DISCOVERY", addresses.list_address(proxy, process.list_moved).to_string())
            .env("ROUTER_CONFIG", &process.config_path)
            .env("OPERATOR", &process.operator_path)
            .stdin(Stdio::null())
            .stdout(process.log.try_clone()?)
            .stderr(process.log.try_clone()?);
        process.child = Some(command.spawn()?);
        Ok(())
    }

    /// The command that starts a proxy, through the supervisor if there is one.
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

    /// Waits until `/up` succeeds; from then on the load balancer sends connections to the proxy.
    async fn wait_ready(&self, proxy: usize, load_balancer: &LoadBalancer) -> Result<(), FleetError> {
        let deadline = Instant::now() + START_TIMEOUT;
        while Instant::now() < deadline {
            if self.is_up(proxy).await {
                self.services.recorder.record(0, proxy, EventKind::ProcessReady);
                load_balancer.mark_up(proxy);
                return Ok(());
            }
            if let Some(status) = self.try_wait(proxy) {
                return Err(FleetError::EndedAtStart { name: proxy_name(proxy), status });
            }
            Timer::after(POLL_INTERVAL).await;
        }
        Err(FleetError::NotUp { name: proxy_name(proxy), seconds: START_TIMEOUT.as_secs() })
    }

    async fn is_up(&self, proxy: usize) -> bool {
        let Ok(stream) = Async::<TcpStream>::connect(self.services.addresses.proxy_address(proxy)).await
        else {
            return false;
        };
        let mut connection = Connection::new(stream);
        let request = b"GET /up HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n";
        let written = connection.write(&[request]).await;
        written.is_ok() && connection.read_response().await.is_ok_and(|response| response.status == 200)
    }

    /// The exit status of the proxy's process, if it has exited since the last call.
    fn try_wait(&self, proxy: usize) -> Option<String> {
        let mut process = lock(&self.processes[proxy]);
        let status = process.child.as_mut()?.try_wait().ok()??;
        process.child = None;
        Some(status.to_string())
    }

    fn signal(&self, proxy: usize, signal: Signal, name: &'static str) {
        self.services.recorder.record(0, proxy, EventKind::Signalled { signal: name });
        let process = lock(&self.processes[proxy]);
        if let Some(pid) = process.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32)) {
            _ = kill_process(pid, signal);
        }
    }

    /// Waits until the proxy's process has exited, and kills it at `kill_at`.
    async fn wait_for_end(&self, proxy: usize, kill_at: Micros) {
        let mut killed = false;
        self.sample(proxy);
        while self.try_wait(proxy).is_none() {
            if lock(&self.processes[proxy]).child.is_none() {
                break;
            }
            if !killed && self.services.clock.now() > kill_at {
                killed = true;
                self.signal(proxy, Signal::KILL, "KILL");
            }
            self.sample(proxy);
            Timer::after(POLL_INTERVAL).await;
        }
        self.services.recorder.record(0, proxy, EventKind::ProcessEnded { killed });
        let mut process = lock(&self.processes[proxy]);
        let samples = lock(&self.samples);
        let last = samples.iter().rev().find(|sample| sample.proxy == proxy);
        process.earlier_cpu_us = last.map_or(0, |sample| sample.cpu_us);
    }

    /// Writes each change of the endpoint list into the proxies' list files, if they have any;
    /// returns after the last change.
    pub async fn write_lists(self: Arc<Fleet>) {
        for update in &self.services.timelines.list_updates {
            self.services.clock.sleep_until(update.published_at).await;
            for file in &self.list_files {
                file.write(&self.services, WriteMode::AtomicReplace).await;
            }
        }
    }

    fn sample(&self, proxy: usize) {
        let process = lock(&self.processes[proxy]);
        let Some(pid) = process.child.as_ref().map(Child::id) else { return };
        let Some(usage) = ProcessUsage::read(pid) else { return };
        let cpu_us = process.earlier_cpu_us + usage.cpu_us;
        let at = self.services.clock.now();
        lock(&self.samples).push(Sample { at, proxy, cpu_us, memory_kb: usage.memory_kb });
    }

    /// Samples the resources of all proxies at a fixed interval, without end.
    pub async fn sample_periodically(self: Arc<Fleet>) {
        loop {
            (0..self.processes.len()).for_each(|proxy| self.sample(proxy));
            Timer::after(SAMPLE_INTERVAL).await;
        }
    }

    /// The proxies whose process has exited although the testbed has not ended it.
    pub fn crashed(&self) -> Vec<usize> {
        (0..self.processes.len()).filter(|proxy| self.try_wait(*proxy).is_some()).collect()
    }

    /// Terminates all proxies, and kills those that take longer than the platform allows.
    pub async fn stop_all(&self) {
        (0..self.processes.len()).for_each(|proxy| self.signal(proxy, Signal::TERM, "TERM"));
        let kill_at = self.services.clock.now() + MAX_TIME_LIMIT + KILL_GRACE;
        for proxy in 0..self.processes.len() {
            self.wait_for_end(proxy, kill_at).await;
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
