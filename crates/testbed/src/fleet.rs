//! The proxies as processes: started by their command, told by signals, measured from outside, and ended by id whatever
//! happens: each is started by way of `keep`, which has the system end it when the lab's own process goes.

use crate::clock::{Micros, SECOND, micros};
use crate::evidence::What;
use crate::experiment::{ETCD, Experiment, FILE, Kind, PLATFORM, RESP, TAGGED};
use crate::load::front::Front;
use crate::model::etcd::ENDPOINTS;
use crate::model::listing::FIRST;
use crate::stand::Site;
use crate::stand::etcd::PREFIX;
use crate::stand::file::{How, ListFile};
use crate::wire::Conn;
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
pub struct Start {
    /// Run by the shell, with `ROUTER_CONFIG` and the platform's other variables set.
    pub command: String,
    /// The lab's own program, for `keep`; without it a proxy outlives a lab that is killed.
    pub keeper: Option<PathBuf>,
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

struct Member {
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
    start: Start,
    members: Vec<Mutex<Member>>,
    /// The proxies' lists, where those are files.
    lists: Vec<ListFile>,
    pub samples: Mutex<Vec<Sample>>,
    /// What went wrong that makes the run void.
    pub faults: Mutex<Vec<String>>,
}

/// Until a proxy answers `/up` with 200, or has failed to start.
const UP: Duration = Duration::from_secs(10);
const LOOK: Duration = Duration::from_millis(20);
const SAMPLE: Duration = Duration::from_millis(250);
/// Beside the longest time limit (3 s at most), from SIGTERM to SIGKILL, as the platform has it.
const TO_THE_KILL: Micros = 700_000;
const LONGEST_LIMIT: Micros = 3 * SECOND;
/// Clock ticks a second, in which Linux counts CPU time for all that read it from files.
const TICKS: u64 = 100;

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(|broken| broken.into_inner())
}

/// What is done to which proxy, and when.
#[derive(Clone, Debug, PartialEq)]
pub struct Deed {
    pub at: Micros,
    pub proxy: usize,
    pub kind: Kind,
    /// To the next start, to the end of a stop, or of reloads.
    pub then: Micros,
    /// Of reloads: from one to the next.
    pub every: Micros,
}

/// The experiment's troubles of proxies, each as a deed of its own.
pub fn deeds(experiment: &Experiment) -> Vec<Deed> {
    let mut deeds = Vec::new();
    for t in experiment.troubles.iter().map(|t| t.get_ref()) {
        let named = t.proxies.clone().unwrap_or_else(|| (0..experiment.fleet.proxies).collect());
        let (at, down) = (micros(t.at), micros(t.down.unwrap_or(0.0)));
        for (i, proxy) in named.into_iter().enumerate() {
            let (kind, at, then) = match t.kind {
                Kind::ProxyKill | Kind::ProxyTerm => (t.kind, at, down),
                Kind::ProxyHup => (t.kind, at, 0),
                Kind::ProxyStop | Kind::Reload | Kind::FileRewrites => {
                    (t.kind, at, micros(t.lasts.unwrap_or(0.0)))
                }
                Kind::RestartWave => {
                    // Spread evenly: of ten, a killed part of 0.3 is the fourth, the seventh and the tenth.
                    let killed = t.killed.unwrap_or(0.0);
                    let kill = ((i + 1) as f64 * killed).floor() > (i as f64 * killed).floor();
                    let kind = if kill { Kind::ProxyKill } else { Kind::ProxyTerm };
                    (kind, at + micros(t.every.unwrap_or(0.0)) * i as Micros, down)
                }
                _ => continue,
            };
            deeds.push(Deed { at, proxy, kind, then, every: micros(t.every.unwrap_or(0.0)) });
        }
    }
    deeds.sort_by_key(|d| (d.at, d.proxy));
    deeds
}

impl Fleet {
    /// The RESP door, where clients speak that.
    fn resp_table(site: &Site, proxy: usize) -> String {
        let experiment = &site.experiment;
        if experiment.fleet.door != RESP {
            return String::new();
        }
        let seed = |c: usize| format!("\"{}\"", site.net.cache(proxy, c, site.origin()));
        let seeds: Vec<String> = (0..site.origin().min(3)).map(seed).collect();
        let namespaces = &experiment.namespaces;
        let stale: Vec<String> =
            namespaces.iter().filter(|n| n.stale).map(|n| format!("\"{}\"", n.name)).collect();
        let mut table = format!(
            "[resp]\nlisten = \"{}\"\nseeds = [{}]\nnamespace = \"{}\"\nstale_reads = [{}]\n",
            site.net.resp(proxy),
            seeds.join(", "),
            namespaces[0].name,
            stale.join(", ")
        );
        for n in namespaces {
            table += &format!("[[resp.prefix]]\nprefix = \"{0}:\"\nnamespace = \"{0}\"\n", n.name);
        }
        table
    }

    /// What a proxy's operator's file says: the experiment's own, with where the list comes from before its end.
    fn operator_text(site: &Site, text: &str, proxy: usize, list: &std::path::Path) -> String {
        let fleet = &site.experiment.fleet;
        let table = match fleet.source.as_str() {
            ETCD => {
                let endpoints: Vec<String> =
                    (0..ENDPOINTS).map(|e| format!("\"{}\"", site.net.etcd(proxy, e))).collect();
                format!(
                    "[membership]\nsource = \"etcd\"\nendpoints = [{}]\nprefix = \"{PREFIX}\"\ncount = {}\n",
                    endpoints.join(", "),
                    fleet.count
                )
            }
            FILE => format!("[membership]\nsource = \"file\"\nfile = {:?}\n", list.display().to_string()),
            _ => String::new(),
        };
        let table = table + &Fleet::resp_table(site, proxy);
        if table.is_empty() {
            return text.to_string();
        }
        let own = text.rsplit_once("[end]").map_or("version = 1\n", |(own, _)| own);
        format!("{own}{table}[end]\n")
    }

    pub fn new(site: Arc<Site>, start: Start) -> io::Result<Arc<Fleet>> {
        std::fs::create_dir_all(&start.folder)?;
        let member = |proxy: usize| {
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
            Ok(Mutex::new(Member { child: None, cpu_before: 0, config, operator, list, log, moved: false }))
        };
        let members: Vec<Mutex<Member>> =
            (0..site.experiment.fleet.proxies).map(member).collect::<io::Result<_>>()?;
        let from_file = site.experiment.fleet.source == FILE;
        let list = |(proxy, member): (usize, &Mutex<Member>)| ListFile::new(&lock(member).list, proxy);
        let lists = members.iter().enumerate().filter(|_| from_file).map(list).collect();
        Ok(Arc::new(Fleet {
            site,
            start,
            members,
            lists,
            samples: Mutex::default(),
            faults: Mutex::default(),
        }))
    }

    /// Starts all and waits until they are to be used.
    pub async fn up(&self, front: &Front) -> Result<(), String> {
        for file in &self.lists {
            file.write(&self.site, How::Whole).await;
        }
        for proxy in 0..self.members.len() {
            self.spawn(proxy).map_err(|e| format!("cannot start a proxy: {e}"))?;
        }
        for proxy in 0..self.members.len() {
            self.ready(proxy, front).await?;
        }
        Ok(())
    }

    fn spawn(&self, proxy: usize) -> io::Result<()> {
        let mut member = lock(&self.members[proxy]);
        std::fs::write(&member.config, self.configuration(proxy, member.moved).to_string())?;
        let shell = ["sh".to_string(), "-c".into(), format!("exec {}", self.start.command)];
        let mut command = match &self.start.keeper {
            Some(keeper) => {
                let mut command = Command::new(keeper);
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
            .env("ROUTER_DISCOVERY", net.list(proxy, member.moved).to_string())
            .env("ROUTER_CONFIG", &member.config)
            .env("OPERATOR", &member.operator)
            .stdin(Stdio::null())
            .stdout(member.log.try_clone()?)
            .stderr(member.log.try_clone()?);
        member.child = Some(command.spawn()?);
        Ok(())
    }

    /// What a proxy is told at its start, in the platform's words.
    fn configuration(&self, proxy: usize, moved: bool) -> Value {
        let (experiment, net) = (&self.site.experiment, self.site.net);
        let (fleet, world) = (&experiment.fleet, &experiment.world);
        let ns_of = |ms: f64| (ms * 1e6) as u64;
        let namespaces: Vec<Value> = experiment
            .namespaces
            .iter()
            .map(|n| {
                let repeats = match n.repeats.get_ref().as_str() {
                    crate::experiment::REPLAYABLE => "free",
                    TAGGED => "guarded",
                    _ => "single_shot",
                };
                json!({"name": n.name, "idempotency": repeats, "group": n.group.get_ref(),
                       "dedupWindowNs": ns_of(n.window_ms), "targetTimeNs": ns_of(n.target_ms),
                       "timeLimitNs": ns_of(n.limit_ms), "utility": 1.0, "overdueUtility": 0.0})
            })
            .collect();
        let from_platform = fleet.source == PLATFORM;
        let known = json!({"version": FIRST, "full": true, "servers": self.site.known(proxy)});
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
                    "mostShots": fleet.most_shots, "secondCopies": fleet.second_copies, "probes": fleet.probes,
                    "cancelling": fleet.withdrawals, "retryAfter": fleet.stay_away_s > 0.0,
                    "maxRetryAfterNs": ns_of(fleet.stay_away_s * 1e3), "connIdleNs": ns_of(world.idle_s * 1e3),
                    "connectTimeoutNs": ns_of(fleet.connect_ms),
                },
                "rules": {
                    "drainGraceNs": ns_of(fleet.drain_grace_s * 1e3), "startCapacity": world.cold_share,
                    "coldNs": ns_of(world.cold_s * 1e3), "fallMultiple": world.fall_multiple,
                    "fallNs": ns_of(world.fall_s * 1e3),
                },
                "namespaces": namespaces,
            },
        })
    }

    /// Waits for `/up`; from then on the front deals to it.
    async fn ready(&self, proxy: usize, front: &Front) -> Result<(), String> {
        let end = Instant::now() + UP;
        let addr = self.site.net.proxy(proxy);
        while Instant::now() < end {
            if let Ok(stream) = Async::<TcpStream>::connect(addr).await {
                let mut conn = Conn::new(stream);
                let asked =
                    conn.write(&[b"GET /up HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n"]).await;
                if asked.is_ok() && conn.answer().await.is_ok_and(|answer| answer.status == 200) {
                    self.site.evidence.note(0, proxy, What::Ready);
                    front.up(proxy);
                    return Ok(());
                }
            }
            if let Some(ended) = self.ended(proxy) {
                return Err(format!("proxy-{proxy:02} ended at its start: {ended}"));
            }
            Timer::after(LOOK).await;
        }
        Err(format!("proxy-{proxy:02} was not up within {} s", UP.as_secs()))
    }

    /// How its process ended, if it has.
    fn ended(&self, proxy: usize) -> Option<String> {
        let mut member = lock(&self.members[proxy]);
        let status = member.child.as_mut()?.try_wait().ok()??;
        member.child = None;
        Some(status.to_string())
    }

    fn signal(&self, proxy: usize, signal: Signal, name: &'static str) {
        self.site.evidence.note(0, proxy, What::Signalled { signal: name });
        let member = lock(&self.members[proxy]);
        if let Some(pid) = member.child.as_ref().and_then(|c| Pid::from_raw(c.id() as i32)) {
            _ = kill_process(pid, signal);
        }
    }

    /// Waits for its end, until a moment at which it is killed.
    async fn gone(&self, proxy: usize, by: Micros) {
        let mut killed = false;
        self.sample(proxy);
        while self.ended(proxy).is_none() {
            if lock(&self.members[proxy]).child.is_none() {
                break;
            }
            if !killed && self.site.clock.now() > by {
                killed = true;
                self.signal(proxy, Signal::KILL, "KILL");
            }
            self.sample(proxy);
            Timer::after(LOOK).await;
        }
        self.site.evidence.note(0, proxy, What::Ended { killed });
        let mut member = lock(&self.members[proxy]);
        let samples = lock(&self.samples);
        member.cpu_before = samples.iter().rev().find(|s| s.proxy == proxy).map_or(0, |s| s.cpu_us);
    }

    /// Does what the experiment has for the proxies, each at its time.
    pub async fn play(self: Arc<Fleet>, deed: Deed, front: Arc<crate::load::clients::Clients>) {
        self.site.clock.reach(deed.at).await;
        let (fleet, limits) = (&self.site.experiment.fleet, &self.site.experiment.namespaces);
        match deed.kind {
            Kind::ProxyKill => {
                self.signal(deed.proxy, Signal::KILL, "KILL");
                front.front.down(deed.proxy, micros(fleet.notice_s));
                self.gone(deed.proxy, Micros::MAX).await;
            }
            Kind::ProxyTerm => {
                self.signal(deed.proxy, Signal::TERM, "TERM");
                front.front.down(deed.proxy, micros(fleet.leaving_notice_s));
                let longest = limits.iter().map(|n| micros(n.limit_ms / 1e3)).max().unwrap_or(0);
                let by = self.site.clock.now() + longest.min(LONGEST_LIMIT) + TO_THE_KILL;
                self.gone(deed.proxy, by).await;
            }
            Kind::ProxyHup => {
                {
                    let mut member = lock(&self.members[deed.proxy]);
                    member.moved = !member.moved;
                    let text = self.configuration(deed.proxy, member.moved).to_string();
                    _ = std::fs::write(&member.config, text);
                }
                return self.signal(deed.proxy, Signal::HUP, "HUP");
            }
            Kind::Reload => return self.reloads(&deed).await,
            Kind::FileRewrites => return self.rewrites(&deed).await,
            _ => {
                self.signal(deed.proxy, Signal::STOP, "STOP");
                Timer::after(Duration::from_micros(deed.then)).await;
                return self.signal(deed.proxy, Signal::CONT, "CONT");
            }
        }
        Timer::after(Duration::from_micros(deed.then)).await;
        let again = match self.spawn(deed.proxy) {
            Ok(()) => self.ready(deed.proxy, &front.front).await,
            Err(e) => Err(format!("cannot start proxy-{:02} again: {e}", deed.proxy)),
        };
        if let Err(fault) = again {
            lock(&self.faults).push(fault);
        }
    }

    /// Writes the operator's files over each other again and again, each third one in halves with the signal in between.
    async fn reloads(&self, deed: &Deed) {
        let files = self.start.operator.len();
        for n in 1.. {
            let at = deed.at + deed.every * n as Micros;
            if at > deed.at + deed.then || files == 0 {
                return;
            }
            let (path, list) = {
                let member = lock(&self.members[deed.proxy]);
                (member.operator.clone(), member.list.clone())
            };
            let text = Fleet::operator_text(&self.site, &self.start.operator[n % files], deed.proxy, &list);
            if n % 3 == 0 {
                _ = std::fs::write(&path, &text.as_bytes()[..text.len() / 2]);
                self.signal(deed.proxy, Signal::HUP, "HUP");
                Timer::after(Duration::from_millis(20)).await;
            }
            _ = std::fs::write(&path, text);
            self.signal(deed.proxy, Signal::HUP, "HUP");
            self.site.clock.reach(at).await;
        }
    }

    /// Writes a proxy's list over again and again: of five, one that can't be taken and one in halves.
    async fn rewrites(&self, deed: &Deed) {
        let Some(file) = self.lists.get(deed.proxy) else { return };
        for n in 1.. {
            let at = deed.at + deed.every * n as Micros;
            if at > deed.at + deed.then {
                return file.write(&self.site, How::Whole).await;
            }
            let how = match n % 5 {
                0 => How::Broken,
                2 => How::InHalves,
                _ => How::Whole,
            };
            file.write(&self.site, how).await;
            self.site.clock.reach(at).await;
        }
    }

    /// Writes each change of the list into the proxies' files, where they have some; ends with the last.
    pub async fn write_lists(self: Arc<Fleet>) {
        for notice in &self.site.courses.notices {
            self.site.clock.reach(notice.told).await;
            for file in &self.lists {
                file.write(&self.site, How::Whole).await;
            }
        }
    }

    fn sample(&self, proxy: usize) {
        let member = lock(&self.members[proxy]);
        let Some(id) = member.child.as_ref().map(Child::id) else { return };
        let Some((cpu_us, memory_kb)) = usage(id) else { return };
        let sample =
            Sample { at: self.site.clock.now(), proxy, cpu_us: member.cpu_before + cpu_us, memory_kb };
        lock(&self.samples).push(sample);
    }

    /// Looks at what each proxy takes, again and again.
    pub async fn watch(self: Arc<Fleet>) {
        loop {
            (0..self.members.len()).for_each(|proxy| self.sample(proxy));
            Timer::after(SAMPLE).await;
        }
    }

    /// Proxies that have ended though nobody told them to.
    pub fn crashed(&self) -> Vec<usize> {
        (0..self.members.len()).filter(|p| self.ended(*p).is_some()).collect()
    }

    /// Tells all to end, and waits for it as the platform would.
    pub async fn down(&self) {
        (0..self.members.len()).for_each(|proxy| self.signal(proxy, Signal::TERM, "TERM"));
        let by = self.site.clock.now() + LONGEST_LIMIT + TO_THE_KILL;
        for proxy in 0..self.members.len() {
            self.gone(proxy, by).await;
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for member in &self.members {
            if let Some(mut child) = lock(member).child.take() {
                _ = child.kill();
                _ = child.wait();
            }
        }
    }
}

/// CPU time in microseconds and resident memory in kB of a process, as Linux tells.
fn usage(id: u32) -> Option<(u64, u64)> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // The second field is a name in brackets that may hold anything.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let memory = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    Some((ticks * SECOND / TICKS, memory.split_whitespace().next()?.parse().ok()?))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_wave_is_a_deed_for_each_and_kills_an_even_part() {
        let text = "title='t'\nseconds=40\n[fleet]\nproxies=10\n[load]\nrate=1\n[[namespace]]\nname='a'\ntarget_ms=9\n\
                    limit_ms=10\nwork_ms=1\n[[trouble]]\nkind='restart-wave'\nat=2\nevery=1.5\ndown=0.1\nkilled=0.3";
        let deeds = deeds(&Experiment::read(text).unwrap());
        let killed: Vec<_> = deeds.iter().filter(|d| d.kind == Kind::ProxyKill).map(|d| d.proxy).collect();
        assert_eq!((deeds.len(), deeds[9].at, killed), (10, 15_500_000, vec![3, 6, 9]));
    }
}
