//! The proxies as processes: started by their command, told by signals, measured from outside, and ended by id whatever
//! happens: each is started by way of `keep`, which has the system end it when the testbed's own process goes.

use crate::clock::{Micros, SECOND, micros};
use crate::evidence::EventKind;
use crate::experiment::{
    Experiment, FaultKind, PROTOCOL_RESP, REPEATS_TAGGED, SOURCE_ETCD, SOURCE_FILE, SOURCE_PLATFORM,
};
use crate::load::front::Front;
use crate::model::etcd::ENDPOINTS;
use crate::model::server_list::FIRST_VERSION;
use crate::stand::Site;
use crate::stand::etcd::PREFIX;
use crate::stand::file::{ListFile, WriteMode};
use crate::wire::Connection;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use smol::{Async, Timer};
use std::fs::{File, OpenOptions};
use std::io;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

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

/// What one proxy took of the machine, at one moment of the run.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    pub at: Micros,
    pub proxy: usize,
    /// In all, over its lives.
    pub cpu_us: u64,
    pub memory_kb: u64,
}

struct ProxyProcess {
    child: Option<Child>,
    cpu_before: u64, // of earlier lives
    config: PathBuf,
    operator: PathBuf,
    list: PathBuf,
    log: File,
    moved: bool, // it is told the list's second address
}

pub struct Fleet {
    site: Arc<Site>,
    start: StartSettings,
    processes: Vec<Mutex<ProxyProcess>>,
    /// The proxies' lists, where those are files.
    lists: Vec<ListFile>,
    pub samples: Mutex<Vec<Sample>>,
    /// What went wrong that makes the run void.
    pub errors: Mutex<Vec<String>>,
}

/// Until a proxy answers `/up` with 200, or has failed to start.
const START_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Beside the longest time limit (3 s at most), from SIGTERM to SIGKILL, as the platform has it.
const KILL_GRACE: Micros = 700_000;
const LONGEST_LIMIT: Micros = 3 * SECOND;
/// Clock ticks a second, in which Linux counts CPU time for all that read it from files.
const TICKS_PER_SECOND: u64 = 100;

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(|broken| broken.into_inner())
}

/// What is done to which proxy, and when.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyAction {
    pub at: Micros,
    pub proxy: usize,
    pub kind: FaultKind,
    /// To the next start, to the end of a stop, or of reloads.
    pub duration: Micros,
    /// Of reloads: from one to the next.
    pub every: Micros,
}

/// The experiment's faults of proxies, each as a action of its own.
pub fn proxy_actions(experiment: &Experiment) -> Vec<ProxyAction> {
    let mut proxy_actions = Vec::new();
    for t in experiment.faults.iter().map(|t| t.get_ref()) {
        let named = t.proxies.clone().unwrap_or_else(|| (0..experiment.fleet.proxies).collect());
        let (at, down) = (micros(t.at), micros(t.down.unwrap_or(0.0)));
        for (i, proxy) in named.into_iter().enumerate() {
            let (kind, at, duration) = match t.kind {
                FaultKind::ProxyKill | FaultKind::ProxyTerm => (t.kind, at, down),
                FaultKind::ProxyHup => (t.kind, at, 0),
                FaultKind::ProxyStop | FaultKind::Reload | FaultKind::FileRewrites => {
                    (t.kind, at, micros(t.duration.unwrap_or(0.0)))
                }
                FaultKind::RestartWave => {
                    // Spread evenly: of ten, a killed part of 0.3 is the fourth, the seventh and the tenth.
                    let killed = t.killed.unwrap_or(0.0);
                    let kill = ((i + 1) as f64 * killed).floor() > (i as f64 * killed).floor();
                    let kind = if kill { FaultKind::ProxyKill } else { FaultKind::ProxyTerm };
                    (kind, at + micros(t.every.unwrap_or(0.0)) * i as Micros, down)
                }
                _ => continue,
            };
            proxy_actions.push(ProxyAction {
                at,
                proxy,
                kind,
                duration,
                every: micros(t.every.unwrap_or(0.0)),
            });
        }
    }
    proxy_actions.sort_by_key(|d| (d.at, d.proxy));
    proxy_actions
}

impl Fleet {
    /// The RESP door, where clients speak that.
    fn resp_table(site: &Site, proxy: usize) -> String {
        let experiment = &site.experiment;
        if experiment.fleet.protocol != PROTOCOL_RESP {
            return String::new();
        }
        let seed = |c: usize| format!("\"{}\"", site.net.server(proxy, c, site.origin()));
        let seeds: Vec<String> = (0..site.origin().min(3)).map(seed).collect();
        let classes = &experiment.classes;
        let stale: Vec<String> =
            classes.iter().filter(|n| n.stale_reads).map(|n| format!("\"{}\"", n.name)).collect();
        let mut table = format!(
            "[resp]\nlisten = \"{}\"\nseeds = [{}]\nnamespace = \"{}\"\nstale_reads = [{}]\n",
            site.net.resp(proxy),
            seeds.join(", "),
            classes[0].name,
            stale.join(", ")
        );
        for n in classes {
            table += &format!("[[resp.prefix]]\nprefix = \"{0}:\"\nnamespace = \"{0}\"\n", n.name);
        }
        table
    }

    /// What a proxy's operator's file says: the experiment's own, with where the list comes from before its end.
    fn operator_text(site: &Site, text: &str, proxy: usize, list: &std::path::Path) -> String {
        let fleet = &site.experiment.fleet;
        let table = match fleet.source.as_str() {
            SOURCE_ETCD => {
                let endpoints: Vec<String> =
                    (0..ENDPOINTS).map(|e| format!("\"{}\"", site.net.etcd(proxy, e))).collect();
                format!(
                    "[membership]\nsource = \"etcd\"\nendpoints = [{}]\nprefix = \"{PREFIX}\"\ncount = {}\n",
                    endpoints.join(", "),
                    fleet.count_peers
                )
            }
            SOURCE_FILE => {
                format!("[membership]\nsource = \"file\"\nfile = {:?}\n", list.display().to_string())
            }
            _ => String::new(),
        };
        let table = table + &Fleet::resp_table(site, proxy);
        if table.is_empty() {
            return text.to_string();
        }
        let own = text.rsplit_once("[end]").map_or("version = 1\n", |(own, _)| own);
        format!("{own}{table}[end]\n")
    }

    pub fn new(site: Arc<Site>, start: StartSettings) -> io::Result<Arc<Fleet>> {
        std::fs::create_dir_all(&start.folder)?;
        let process = |proxy: usize| {
            let name = format!("proxy-{proxy:02}");
            let log = start.folder.join(format!("{name}.log"));
            let log = OpenOptions::new().create(true).append(true).open(log)?;
            let config = start.folder.join(format!("{name}.json"));
            let operator = start.folder.join(format!("{name}.operator.toml"));
            let list = start.folder.join(format!("{name}.list.toml"));
            let own = start.operator.first().map_or("", String::as_str);
            let text = Fleet::operator_text(&site, own, proxy, &list);
            if !text.is_empty() {
                std::fs::write(&operator, text)?;
            }
            Ok(Mutex::new(ProxyProcess {
                child: None,
                cpu_before: 0,
                config,
                operator,
                list,
                log,
                moved: false,
            }))
        };
        let processes: Vec<Mutex<ProxyProcess>> =
            (0..site.experiment.fleet.proxies).map(process).collect::<io::Result<_>>()?;
        let from_file = site.experiment.fleet.source == SOURCE_FILE;
        let list =
            |(proxy, process): (usize, &Mutex<ProxyProcess>)| ListFile::new(&lock(process).list, proxy);
        let lists = processes.iter().enumerate().filter(|_| from_file).map(list).collect();
        Ok(Arc::new(Fleet {
            site,
            start,
            processes,
            lists,
            samples: Mutex::default(),
            errors: Mutex::default(),
        }))
    }

    /// Starts all and waits until they are to be used.
    pub async fn up(&self, front: &Front) -> Result<(), String> {
        for file in &self.lists {
            file.write(&self.site, WriteMode::Replaced).await;
        }
        for proxy in 0..self.processes.len() {
            self.spawn(proxy).map_err(|e| format!("cannot start a proxy: {e}"))?;
        }
        for proxy in 0..self.processes.len() {
            self.ready(proxy, front).await?;
        }
        Ok(())
    }

    fn spawn(&self, proxy: usize) -> io::Result<()> {
        let mut process = lock(&self.processes[proxy]);
        std::fs::write(&process.config, self.configuration(proxy, process.moved).to_string())?;
        let shell = ["sh".to_string(), "-c".into(), format!("exec {}", self.start.command)];
        let mut command = match &self.start.supervisor {
            Some(supervisor) => {
                let mut command = Command::new(supervisor);
                command.arg("keep").args(&shell);
                command
            }
            None => {
                let mut command = Command::new(&shell[0]);
                command.args(&shell[1..]);
                command
            }
        };
        let net = self.site.net;
        command
            .env("ROUTER_NAME", format!("proxy-{proxy:02}"))
            .env("ROUTER_LISTEN", net.proxy(proxy).to_string())
            .env("ROUTER_DISCOVERY", net.list(proxy, process.moved).to_string())
            .env("ROUTER_CONFIG", &process.config)
            .env("OPERATOR", &process.operator)
            .stdin(Stdio::null())
            .stdout(process.log.try_clone()?)
            .stderr(process.log.try_clone()?);
        process.child = Some(command.spawn()?);
        Ok(())
    }

    /// What a proxy is told at its start, in the platform's words.
    fn configuration(&self, proxy: usize, moved: bool) -> Value {
        let (experiment, net) = (&self.site.experiment, self.site.net);
        let (fleet, world) = (&experiment.fleet, &experiment.world);
        let class_of = |ms: f64| (ms * 1e6) as u64;
        let classes: Vec<Value> = experiment
            .classes
            .iter()
            .map(|n| {
                let repeats = match n.repeats.get_ref().as_str() {
                    crate::experiment::REPEATS_REPLAYABLE => "free",
                    REPEATS_TAGGED => "guarded",
                    _ => "single_shot",
                };
                json!({"name": n.name, "idempotency": repeats, "group": n.group.get_ref(),
                       "dedupWindowNs": class_of(n.window_ms), "targetTimeNs": class_of(n.target_ms),
                       "timeLimitNs": class_of(n.limit_ms), "utility": 1.0, "overdueUtility": 0.0})
            })
            .collect();
        let from_platform = fleet.source == SOURCE_PLATFORM;
        let known = json!({"version": FIRST_VERSION, "full": true, "servers": self.site.known(proxy)});
        let (list, known) = match from_platform {
            true => (json!(net.list(proxy, moved).to_string()), known),
            false => (Value::Null, Value::Null),
        };
        json!({
            "name": format!("proxy-{proxy:02}"),
            "listen": net.proxy(proxy).to_string(),
            "discovery": list,
            "seed": format!("{:x}", experiment.seed.wrapping_add(proxy as u64 + 1)),
            "limits": {"cores": 1.0, "memory_mb": fleet.memory_mb, "sockets": fleet.sockets},
            "known": known,
            "settings": {
                "az": experiment.zone_of(proxy), "zones": world.zones, "kinds": ["cache", "origin"],
                "position": proxy, "balancers": fleet.proxies, "discovery": "subscribe",
                "familyInfo": {"mode": world.mode, "originKind": 1},
                "ceilings": {
                    "mostShots": fleet.max_attempts, "secondCopies": fleet.hedging, "probes": fleet.probes,
                    "cancelling": fleet.cancellation, "retryAfter": fleet.max_retry_after_s > 0.0,
                    "maxRetryAfterNs": class_of(fleet.max_retry_after_s * 1e3), "connIdleNs": class_of(world.idle_s * 1e3),
                    "connectTimeoutNs": class_of(fleet.connect_ms),
                },
                "rules": {
                    "drainGraceNs": class_of(fleet.drain_grace_s * 1e3), "startCapacity": world.slow_start_share,
                    "coldNs": class_of(world.slow_start_s * 1e3), "fallMultiple": world.collapse_multiple,
                    "fallNs": class_of(world.collapse_window_s * 1e3),
                },
                "namespaces": classes,
            },
        })
    }

    /// Waits for `/up`; from then on the front deals to it.
    async fn ready(&self, proxy: usize, front: &Front) -> Result<(), String> {
        let end = Instant::now() + START_TIMEOUT;
        let addr = self.site.net.proxy(proxy);
        while Instant::now() < end {
            if let Ok(stream) = Async::<TcpStream>::connect(addr).await {
                let mut conn = Connection::new(stream);
                let written =
                    conn.write(&[b"GET /up HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n"]).await;
                if written.is_ok() && conn.read_response().await.is_ok_and(|answer| answer.status == 200) {
                    self.site.evidence.record(0, proxy, EventKind::ProcessReady);
                    front.up(proxy);
                    return Ok(());
                }
            }
            if let Some(try_wait) = self.try_wait(proxy) {
                return Err(format!("proxy-{proxy:02} ended at its start: {try_wait}"));
            }
            Timer::after(POLL_INTERVAL).await;
        }
        Err(format!("proxy-{proxy:02} was not up within {} s", START_TIMEOUT.as_secs()))
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
        if let Some(pid) = process.child.as_ref().and_then(|c| Pid::from_raw(c.id() as i32)) {
            _ = kill_process(pid, signal);
        }
    }

    /// Waits for its end, until a moment at which it is killed.
    async fn wait_for_end(&self, proxy: usize, by: Micros) {
        let mut killed = false;
        self.sample(proxy);
        while self.try_wait(proxy).is_none() {
            if lock(&self.processes[proxy]).child.is_none() {
                break;
            }
            if !killed && self.site.clock.now() > by {
                killed = true;
                self.signal(proxy, Signal::KILL, "KILL");
            }
            self.sample(proxy);
            Timer::after(POLL_INTERVAL).await;
        }
        self.site.evidence.record(0, proxy, EventKind::ProcessEnded { killed });
        let mut process = lock(&self.processes[proxy]);
        let samples = lock(&self.samples);
        process.cpu_before = samples.iter().rev().find(|s| s.proxy == proxy).map_or(0, |s| s.cpu_us);
    }

    /// Does what the experiment has for the proxies, each at its time.
    pub async fn play(self: Arc<Fleet>, action: ProxyAction, front: Arc<crate::load::clients::Clients>) {
        self.site.clock.sleep_until(action.at).await;
        let (fleet, limits) = (&self.site.experiment.fleet, &self.site.experiment.classes);
        match action.kind {
            FaultKind::ProxyKill => {
                self.signal(action.proxy, Signal::KILL, "KILL");
                front.front.down(action.proxy, micros(fleet.detection_s));
                self.wait_for_end(action.proxy, Micros::MAX).await;
            }
            FaultKind::ProxyTerm => {
                self.signal(action.proxy, Signal::TERM, "TERM");
                front.front.down(action.proxy, micros(fleet.draining_detection_s));
                let longest = limits.iter().map(|n| micros(n.limit_ms / 1e3)).max().unwrap_or(0);
                let by = self.site.clock.now() + longest.min(LONGEST_LIMIT) + KILL_GRACE;
                self.wait_for_end(action.proxy, by).await;
            }
            FaultKind::ProxyHup => {
                {
                    let mut process = lock(&self.processes[action.proxy]);
                    process.moved = !process.moved;
                    let text = self.configuration(action.proxy, process.moved).to_string();
                    _ = std::fs::write(&process.config, text);
                }
                return self.signal(action.proxy, Signal::HUP, "HUP");
            }
            FaultKind::Reload => return self.reload_repeatedly(&action).await,
            FaultKind::FileRewrites => return self.rewrite_repeatedly(&action).await,
            _ => {
                self.signal(action.proxy, Signal::STOP, "STOP");
                Timer::after(Duration::from_micros(action.duration)).await;
                return self.signal(action.proxy, Signal::CONT, "CONT");
            }
        }
        Timer::after(Duration::from_micros(action.duration)).await;
        let again = match self.spawn(action.proxy) {
            Ok(()) => self.ready(action.proxy, &front.front).await,
            Err(e) => Err(format!("cannot start proxy-{:02} again: {e}", action.proxy)),
        };
        if let Err(error) = again {
            lock(&self.errors).push(error);
        }
    }

    /// Writes the operator's files over each other again and again, each third one in halves with the signal in between.
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
            let text = Fleet::operator_text(&self.site, &self.start.operator[n % files], action.proxy, &list);
            if n % 3 == 0 {
                _ = std::fs::write(&path, &text.as_bytes()[..text.len() / 2]);
                self.signal(action.proxy, Signal::HUP, "HUP");
                Timer::after(Duration::from_millis(20)).await;
            }
            _ = std::fs::write(&path, text);
            self.signal(action.proxy, Signal::HUP, "HUP");
            self.site.clock.sleep_until(at).await;
        }
    }

    /// Writes a proxy's list over again and again: of five, one that can't be taken and one in halves.
    async fn rewrite_repeatedly(&self, action: &ProxyAction) {
        let Some(file) = self.lists.get(action.proxy) else { return };
        for n in 1.. {
            let at = action.at + action.every * n as Micros;
            if at > action.at + action.duration {
                return file.write(&self.site, WriteMode::Replaced).await;
            }
            let mode = match n % 5 {
                0 => WriteMode::Broken,
                2 => WriteMode::InHalves,
                _ => WriteMode::Replaced,
            };
            file.write(&self.site, mode).await;
            self.site.clock.sleep_until(at).await;
        }
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
        let Some(id) = process.child.as_ref().map(Child::id) else { return };
        let Some((cpu_us, memory_kb)) = process_usage(id) else { return };
        let sample =
            Sample { at: self.site.clock.now(), proxy, cpu_us: process.cpu_before + cpu_us, memory_kb };
        lock(&self.samples).push(sample);
    }

    /// Looks at what each proxy takes, again and again.
    pub async fn watch(self: Arc<Fleet>) {
        loop {
            (0..self.processes.len()).for_each(|proxy| self.sample(proxy));
            Timer::after(SAMPLE_INTERVAL).await;
        }
    }

    /// Proxies that have ended though nobody told them to.
    pub fn crashed(&self) -> Vec<usize> {
        (0..self.processes.len()).filter(|p| self.try_wait(*p).is_some()).collect()
    }

    /// Tells all to end, and waits for it as the platform would.
    pub async fn down(&self) {
        (0..self.processes.len()).for_each(|proxy| self.signal(proxy, Signal::TERM, "TERM"));
        let by = self.site.clock.now() + LONGEST_LIMIT + KILL_GRACE;
        for proxy in 0..self.processes.len() {
            self.wait_for_end(proxy, by).await;
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

/// CPU time in microseconds and resident memory in kB of a process, as Linux tells.
fn process_usage(id: u32) -> Option<(u64, u64)> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // The second field is a name in brackets that may hold anything.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let memory = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    Some((ticks * SECOND / TICKS_PER_SECOND, memory.split_whitespace().next()?.parse().ok()?))
}
