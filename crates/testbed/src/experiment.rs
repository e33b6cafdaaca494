//! An experiment: a fleet, a load, faults on a timeline, and the bounds that have to hold. Read from one TOML file;
//! what is unknown, out of range or contradictory is refused with its line and a plain word, all of it at once.

use crate::clock::{Micros, SECOND, micros};
use serde::Deserialize;
use std::ops::Range;
use toml::Spanned;

/// Sources of the list.
pub const SOURCE_PLATFORM: &str = "platform";
pub const SOURCE_ETCD: &str = "etcd";
pub const SOURCE_FILE: &str = "file";

/// What clients and servers speak.
pub const PROTOCOL_HTTP: &str = "http";
pub const PROTOCOL_RESP: &str = "resp";

pub const REPEATS_REPLAYABLE: &str = "replayable";
pub const REPEATS_TAGGED: &str = "tagged";
pub const REPEATS_SINGLE_USE: &str = "single-use";

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    pub title: String,
    /// For all chance: arrivals, keys, what fails. The same seed plays the same plan.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// How long requests arrive; what is open then still gets its time.
    pub seconds: f64,
    #[serde(default)]
    pub world: World,
    #[serde(default)]
    pub fleet: Fleet,
    pub load: Load,
    #[serde(default)]
    pub rules: Rules,
    #[serde(default)]
    pub bounds: Bounds,
    #[serde(rename = "namespace")]
    pub classes: Vec<RequestClass>,
    #[serde(rename = "trouble", default)]
    pub faults: Vec<Spanned<Fault>>,
}

/// The servers, the origin behind them, and the list of both.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct World {
    pub zones: Vec<String>,
    /// Dealt out over the zones in turn.
    #[serde(rename = "caches")]
    pub servers: usize,
    /// "aside": a server that lacks a key says so, and the proxy asks the origin. "through": it fetches by itself.
    pub mode: String,
    pub cores: usize,
    /// Requests that wait for a core; more are turned away.
    pub queue: usize,
    /// Values that a server keeps, those asked for least lately going first.
    pub values: usize,
    /// A part of the keys, from the most asked for on, that is kept when the load begins.
    #[serde(rename = "kept")]
    pub cached_share: f64,
    #[serde(rename = "cold_share")]
    pub slow_start_share: f64,
    #[serde(rename = "cold_s")]
    pub slow_start_s: f64,
    /// A cold server falls over when it is sent more than so many times what it can do, for so long.
    #[serde(rename = "fall_multiple")]
    pub collapse_multiple: f64,
    #[serde(rename = "fall_s")]
    pub collapse_window_s: f64,
    pub connections: usize,
    pub idle_s: f64,
    pub handshake_ms: f64,
    #[serde(rename = "origin_places")]
    pub origin_slots: usize,
    pub origin_queue: usize,
    pub origin_ms: f64,
    /// How much longer the origin takes for each request that it has in work, as a part of the usual.
    #[serde(rename = "origin_drag")]
    pub origin_contention: f64,
    pub origin_connections: usize,
    /// From a change to the moment the list tells of it.
    #[serde(rename = "list_late_s")]
    pub list_delay_s: f64,
    /// What one call costs the list, which works through them in turn.
    pub list_call_ms: f64,
}

impl Default for World {
    fn default() -> World {
        World {
            zones: vec!["north".into()],
            servers: 6,
            mode: "aside".into(),
            cores: 4,
            queue: 64,
            values: 20_000,
            cached_share: 0.5,
            slow_start_share: 0.2,
            slow_start_s: 10.0,
            collapse_multiple: 2.0,
            collapse_window_s: 2.0,
            connections: 600,
            idle_s: 30.0,
            handshake_ms: 0.3,
            origin_slots: 16,
            origin_queue: 64,
            origin_ms: 20.0,
            origin_contention: 0.0,
            origin_connections: 600,
            list_delay_s: 0.2,
            list_call_ms: 0.5,
        }
    }
}

/// The proxies, what they are told is allowed, and the front before them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    pub proxies: usize,
    #[serde(rename = "most_shots")]
    pub max_attempts: usize,
    #[serde(rename = "second_copies")]
    pub hedging: bool,
    #[serde(rename = "withdrawals")]
    pub cancellation: bool,
    pub probes: bool,
    /// The longest that a deferred client may be told to stay away; 0: no advice.
    #[serde(rename = "stay_away_s")]
    pub max_retry_after_s: f64,
    pub drain_grace_s: f64,
    pub connect_ms: f64,
    pub sockets: usize,
    pub memory_mb: u64,
    /// How late the front notices that a proxy has died, and that one is leaving.
    #[serde(rename = "notice_s")]
    pub detection_s: f64,
    #[serde(rename = "leaving_notice_s")]
    pub draining_detection_s: f64,
    /// Where proxies have the list from: "platform", "etcd" or "file".
    pub source: String,
    /// What clients speak, and servers with it: "http", or "resp" in its cluster dialect.
    #[serde(rename = "door")]
    pub protocol: String,
    /// Whether proxies count each other by it, where it is "etcd".
    #[serde(rename = "count")]
    pub count_peers: bool,
    /// Operator's files, by paths beside the experiment's: each proxy starts with the first, and `reload` goes on to the
    /// next. The command finds its own file by `$OPERATOR`.
    pub operator: Vec<String>,
}

impl Fleet {
    /// Whether proxies have to be told more than the platform tells.
    pub fn needs_operator(&self) -> bool {
        self.source != SOURCE_PLATFORM || self.protocol != PROTOCOL_HTTP
    }
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            proxies: 2,
            max_attempts: 6,
            hedging: true,
            cancellation: true,
            probes: true,
            max_retry_after_s: 2.0,
            drain_grace_s: 1.0,
            connect_ms: 250.0,
            sockets: 1024,
            memory_mb: 128,
            detection_s: 2.0,
            draining_detection_s: 0.3,
            source: SOURCE_PLATFORM.into(),
            protocol: PROTOCOL_HTTP.into(),
            count_peers: false,
            operator: Vec::new(),
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// First requests in a second, of all clients together. They arrive by chance, and wait for no answer.
    pub rate: f64,
    #[serde(default = "default_clients")]
    pub clients: usize,
    #[serde(default = "default_keys")]
    pub keys: usize,
    /// Exponent of Zipf's law over the keys; 0: all alike.
    #[serde(default = "default_skew")]
    pub skew: f64,
    #[serde(rename = "hot", default)]
    pub hot_keys: Vec<HotKeys>,
    #[serde(rename = "surge", default)]
    pub load_steps: Vec<LoadStep>,
    #[serde(rename = "tenant", default)]
    pub tenants: Vec<Tenant>,
    /// Further tries of a client after an answer that allows them.
    #[serde(default)]
    pub retries: u32,
    /// The part of the clients that heeds `Retry-After`.
    #[serde(default = "default_share")]
    #[serde(rename = "heed")]
    pub honor_retry_after: f64,
    /// Before a try that nothing was advised for; doubled at each.
    #[serde(default = "default_backoff_ms")]
    pub backoff_ms: f64,
    /// The part of the requests whose client leaves early, by chance within its time limit.
    #[serde(default)]
    #[serde(rename = "leave")]
    pub cancel_share: f64,
    /// Moments at which many who wait leave together.
    #[serde(rename = "gust", default)]
    pub bursts: Vec<CancellationBurst>,
    /// Connections that are opened at the beginning, one request each, and held.
    #[serde(default)]
    #[serde(rename = "hold")]
    pub held_connections: usize,
}

/// A part of the clients that wait for an answer leave at that moment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CancellationBurst {
    pub at: f64,
    pub share: f64,
}

/// A few keys get a part of all requests for a time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HotKeys {
    pub at: f64,
    #[serde(rename = "for")]
    pub duration: f64,
    #[serde(default = "default_hot_keys")]
    pub keys: usize,
    pub share: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadStep {
    pub at: f64,
    #[serde(rename = "for")]
    pub duration: f64,
    pub factor: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    pub name: String,
    pub share: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    pub name: String,
    #[serde(default = "default_share")]
    pub share: f64,
    #[serde(default)]
    pub write: bool,
    #[serde(default = "default_repeats")]
    pub repeats: Spanned<String>,
    /// Which servers drop repeats of a tagged request: "all", those of one "zone", or of one "cell".
    #[serde(default = "default_group")]
    pub group: Spanned<String>,
    #[serde(default = "default_window_ms")]
    pub window_ms: f64,
    pub target_ms: f64,
    pub limit_ms: f64,
    pub work_ms: f64,
    #[serde(default = "default_bytes")]
    pub bytes: usize,
    /// Whether replicas may answer it, where the door is "resp".
    #[serde(default)]
    #[serde(rename = "stale")]
    pub stale_reads: bool,
}

/// What the oracle allows beside the letter of the rules: the testbed's own lateness, mostly.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// After a time limit, as the platform has it, and what a busy machine may add.
    pub late_ms: f64,
    /// After a drain's grace.
    pub drain_ms: f64,
    /// From the end of the last attempt to a refusal: more counts as held back.
    #[serde(rename = "held_ms")]
    pub refusal_delay_ms: f64,
    /// How long an attempt that was given up may overlap the next one.
    pub overlap_ms: f64,
    /// From a client's leaving to the first byte of an attempt for it: more counts as sent on.
    #[serde(rename = "left_ms")]
    pub cancel_delay_ms: f64,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            late_ms: 150.0,
            drain_ms: 50.0,
            refusal_delay_ms: 250.0,
            overlap_ms: 50.0,
            cancel_delay_ms: 100.0,
        }
    }
}

/// What has to hold beside the rules; nothing stated, nothing asked.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Least part of the first requests that is resolved within the target time, by some try.
    pub in_time: Option<f64>,
    /// The same in the worst window of five seconds.
    pub worst_window: Option<f64>,
    #[serde(rename = "deferred")]
    pub rejected: Option<f64>,
    #[serde(rename = "abandoned")]
    pub failed: Option<f64>,
    #[serde(rename = "shots_per_lookup")]
    pub attempts_per_request: Option<f64>,
    pub memory_mb: Option<f64>,
    /// The longest from when a proxy is told that a server is off to its last new attempt there.
    pub drain_ms: Option<f64>,
    /// How often a thousand requests may be answered by nobody because their proxy was killed.
    pub killed_per_thousand: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    Fails,
    Hangs,
    Loses,
    StandsStill,
    Vanishes,
    Restarts,
    Slow,
    TurnsAway,
    Resets,
    HalfAnswers,
    Spoils,
    Interim,
    ZoneLost,
    ZoneCut,
    RollingDeploy,
    CopiesVoid,
    OriginSlow,
    OriginFails,
    ListDown,
    ListLate,
    ListOld,
    ListSilent,
    ProxyKill,
    ProxyTerm,
    ProxyHup,
    ProxyStop,
    RestartWave,
    Reload,
    EtcdDown,
    EtcdStall,
    EtcdBehind,
    EtcdSlowLeases,
    EtcdBreak,
    EtcdCompact,
    EtcdRestore,
    FileRewrites,
    SlotsMove,
    Failover,
    OldMap,
}

impl std::fmt::Display for FaultKind {
    /// As it is written in an experiment.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (i, c) in format!("{self:?}").char_indices() {
            if c.is_uppercase() && i > 0 {
                write!(f, "-")?;
            }
            write!(f, "{}", c.to_ascii_lowercase())?;
        }
        Ok(())
    }
}

/// How the platform's list fails while it is down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// Calls are read, and their connections closed.
    #[default]
    Closes,
    /// Nothing listens.
    Refuses,
    /// Calls are answered 503 at once.
    Unavailable,
    /// Calls wait as long as the service lets them, and are answered 503 then.
    UnavailableLate,
    /// Calls are read and never answered.
    Silent,
    /// The head and a part of the answer come, and nothing more.
    HalfAnswer,
}

/// One fault. Which of the fields go with which kind is the table below.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub kind: FaultKind,
    pub at: f64,
    #[serde(rename = "for")]
    pub duration: Option<f64>,
    /// The part of the requests that it meets.
    pub share: Option<f64>,
    /// Which servers, by number from 0; all, where nothing is said.
    #[serde(rename = "caches")]
    pub servers: Option<Vec<usize>>,
    pub zone: Option<String>,
    pub factor: Option<f64>,
    /// How much later the list tells.
    pub by: Option<f64>,
    pub proxies: Option<Vec<usize>>,
    /// Of a rolling deploy or a wave: from one to the next.
    pub every: Option<f64>,
    /// From the notice of a drain to the end of the process.
    pub drain: Option<f64>,
    /// From the end of a process to the next one's start.
    pub down: Option<f64>,
    /// The part of a wave that is killed outright; the rest is told to end.
    pub killed: Option<f64>,
    /// In which way the list is down.
    #[serde(rename = "how")]
    pub outage: Option<Outage>,
}

impl Fault {
    pub fn span(&self) -> Range<Micros> {
        let at = micros(self.at);
        at..self.duration.map_or(Micros::MAX, |duration| at + micros(duration))
    }
}

/// Fields that a kind needs, and fields that it may have.
fn allowed_fields(kind: FaultKind) -> (&'static [&'static str], &'static [&'static str]) {
    use FaultKind::*;
    match kind {
        Fails | Loses | TurnsAway | Resets | HalfAnswers | Spoils => (&["for", "share"], &["caches", "zone"]),
        Hangs | StandsStill | Vanishes | Interim => (&["for"], &["caches", "zone"]),
        Restarts => (&["down"], &["caches", "zone"]),
        Slow => (&["for", "factor"], &["caches", "zone"]),
        ZoneLost | ZoneCut => (&["for", "zone"], &[]),
        RollingDeploy => (&["every", "drain", "down"], &["caches", "zone"]),
        CopiesVoid => (&[], &["caches", "zone"]),
        OriginSlow => (&["for", "factor"], &[]),
        OriginFails => (&["for", "share"], &[]),
        ListDown => (&["for"], &["how"]),
        ListOld => (&["for"], &[]),
        ListSilent => (&[], &[]),
        ListLate => (&["for", "by"], &[]),
        ProxyKill | ProxyTerm => (&["down"], &["proxies"]),
        ProxyHup => (&[], &["proxies"]),
        ProxyStop => (&["for"], &["proxies"]),
        Reload => (&["for", "every"], &["proxies"]),
        RestartWave => (&["every", "down"], &["killed", "proxies"]),
        EtcdDown | EtcdStall => (&["for"], &[]),
        EtcdBehind | EtcdSlowLeases => (&["for", "by"], &[]),
        EtcdBreak | EtcdCompact => (&[], &[]),
        EtcdRestore => (&["by"], &[]),
        FileRewrites => (&["for", "every"], &["proxies"]),
        SlotsMove => (&["for", "every"], &[]),
        Failover => (&["down", "caches"], &[]),
        OldMap => (&["for", "by", "caches"], &[]),
    }
}

impl Fault {
    fn present_fields(&self) -> [(&'static str, bool); 12] {
        [
            ("for", self.duration.is_some()),
            ("share", self.share.is_some()),
            ("caches", self.servers.is_some()),
            ("zone", self.zone.is_some()),
            ("factor", self.factor.is_some()),
            ("by", self.by.is_some()),
            ("proxies", self.proxies.is_some()),
            ("every", self.every.is_some()),
            ("drain", self.drain.is_some()),
            ("down", self.down.is_some()),
            ("killed", self.killed.is_some()),
            ("how", self.outage.is_some()),
        ]
    }
}

fn default_seed() -> u64 {
    1
}
fn default_hot_keys() -> usize {
    1
}
fn default_clients() -> usize {
    40
}
fn default_keys() -> usize {
    2000
}
fn default_skew() -> f64 {
    0.9
}
fn default_share() -> f64 {
    1.0
}
fn default_backoff_ms() -> f64 {
    200.0
}
fn default_window_ms() -> f64 {
    1500.0
}
fn default_bytes() -> usize {
    1024
}
fn default_repeats() -> Spanned<String> {
    Spanned::new(0..0, REPEATS_REPLAYABLE.into())
}
fn default_group() -> Spanned<String> {
    Spanned::new(0..0, "all".into())
}

/// Evidence is kept in memory to the end: a million requests take some hundred megabytes.
const MAX_REQUESTS: f64 = 2e6;
/// The addresses of a run: 127.x.proxy.server.
const MAX_PROXIES: usize = 200;
const MAX_SERVERS: usize = 200;

/// The line, from 1, on which a byte of the text stands.
fn line_of(text: &str, at: usize) -> usize {
    text.as_bytes()[..at.min(text.len())].iter().filter(|b| **b == b'\n').count() + 1
}

/// Collects what is wrong, each with its line.
struct Check<'a> {
    text: &'a str,
    errors: Vec<(usize, String)>,
}

impl Check<'_> {
    /// The line of the first mention of a field in a table, where its value bears no place of its own.
    fn line(&self, table: &str, field: &str) -> usize {
        let mut inside = table.is_empty();
        for (i, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if line.starts_with('[') {
                inside = line.trim_matches(['[', ']']) == table;
            } else if inside && line.split('=').next().is_some_and(|name| name.trim() == field) {
                return i + 1;
            }
        }
        1
    }

    fn report(&mut self, line: usize, error: String) {
        self.errors.push((line, error));
    }

    fn within(&mut self, table: &str, field: &str, value: f64, low: f64, high: f64) {
        if !(low..=high).contains(&value) {
            let line = self.line(table, field);
            self.report(line, format!("{field} is {value}, and has to be from {low} to {high}"));
        }
    }
}

impl Experiment {
    /// Reads and checks; all faults together, each a line of its own as `line N: what is wrong`.
    pub fn read(text: &str) -> Result<Experiment, String> {
        let read: Result<Experiment, toml::de::Error> = toml::from_str(text);
        let experiment = read.map_err(|e| {
            let line = e.span().map_or(1, |span| line_of(text, span.start));
            format!("line {line}: {}", e.message().replace('\n', " "))
        })?;
        let mut check = Check { text, errors: Vec::new() };
        experiment.check(&mut check);
        if check.errors.is_empty() {
            return Ok(experiment);
        }
        check.errors.sort();
        Err(check
            .errors
            .iter()
            .map(|(line, error)| format!("line {line}: {error}"))
            .collect::<Vec<_>>()
            .join("\n"))
    }

    fn check(&self, check: &mut Check) {
        let (world, fleet, load) = (&self.world, &self.fleet, &self.load);
        check.within("", "seconds", self.seconds, 1.0, 3600.0);
        check.within("world", "caches", world.servers as f64, 1.0, MAX_SERVERS as f64);
        check.within("world", "cores", world.cores as f64, 1.0, 256.0);
        check.within("world", "kept", world.cached_share, 0.0, 1.0);
        check.within("world", "cold_share", world.slow_start_share, 0.01, 1.0);
        check.within("world", "fall_multiple", world.collapse_multiple, 1.0, 1000.0);
        check.within("world", "fall_s", world.collapse_window_s, 0.1, 60.0);
        check.within("world", "origin_places", world.origin_slots as f64, 1.0, 1e4);
        if !["aside", "through"].contains(&world.mode.as_str()) {
            let line = check.line("world", "mode");
            check.report(line, format!("mode is \"{}\", and has to be \"aside\" or \"through\"", world.mode));
        }
        if world.zones.is_empty() || world.zones.len() > world.servers {
            let line = check.line("world", "zones");
            check.report(line, "there has to be a zone, and a cache in each".into());
        }
        if ![PROTOCOL_HTTP, PROTOCOL_RESP].contains(&fleet.protocol.as_str()) {
            let line = check.line("fleet", "door");
            check.report(
                line,
                format!(
                    "door is \"{}\", and has to be \"{PROTOCOL_HTTP}\" or \"{PROTOCOL_RESP}\"",
                    fleet.protocol
                ),
            );
        }
        if ![SOURCE_PLATFORM, SOURCE_ETCD, SOURCE_FILE].contains(&fleet.source.as_str()) {
            let line = check.line("fleet", "source");
            let error = format!(
                "source is \"{}\", and has to be \"{SOURCE_PLATFORM}\", \"{SOURCE_ETCD}\" or \"{SOURCE_FILE}\"",
                fleet.source
            );
            check.report(line, error);
        }
        check.within("fleet", "proxies", fleet.proxies as f64, 1.0, MAX_PROXIES as f64);
        check.within("fleet", "most_shots", fleet.max_attempts as f64, 1.0, 100.0);
        check.within("fleet", "sockets", fleet.sockets as f64, 32.0, 1e6);
        check.within("load", "rate", load.rate, 0.1, 1e6);
        check.within("load", "clients", load.clients as f64, 1.0, 20_000.0);
        check.within("load", "keys", load.keys as f64, 1.0, 1e7);
        check.within("load", "skew", load.skew, 0.0, 3.0);
        check.within("load", "heed", load.honor_retry_after, 0.0, 1.0);
        check.within("load", "leave", load.cancel_share, 0.0, 1.0);
        load.bursts.iter().for_each(|burst| check.within("load", "gust.share", burst.share, 0.0, 1.0));
        check.within("load", "retries", f64::from(load.retries), 0.0, 10.0);
        let most = load.load_steps.iter().map(|s| s.factor).fold(1.0, f64::max);
        if load.rate * self.seconds * most > MAX_REQUESTS {
            let line = check.line("load", "rate");
            check.report(line, format!("rate × seconds comes to more than {MAX_REQUESTS} lookups"));
        }
        for hot_keys in &load.hot_keys {
            check.within("load.hot", "share", hot_keys.share, 0.0, 1.0);
            check.within("load.hot", "keys", hot_keys.keys as f64, 1.0, load.keys as f64);
        }
        if self.classes.is_empty() {
            check.report(1, "there has to be a [[namespace]]".into());
        }
        for n in &self.classes {
            let (text, line) = (check.text, |at: usize, or: usize| if at == 0 { or } else { at });
            let place = |s: &Spanned<String>| match s.span() {
                span if span.is_empty() => 0,
                span => line_of(text, span.start),
            };
            if ![REPEATS_REPLAYABLE, REPEATS_TAGGED, REPEATS_SINGLE_USE]
                .contains(&n.repeats.get_ref().as_str())
            {
                let error = format!(
                    "repeats is \"{}\", and has to be \"{REPEATS_REPLAYABLE}\", \"{REPEATS_TAGGED}\" or \"{REPEATS_SINGLE_USE}\"",
                    n.repeats.get_ref()
                );
                check.report(line(place(&n.repeats), 1), error);
            }
            if !["all", "zone", "cell"].contains(&n.group.get_ref().as_str()) {
                let error = format!(
                    "group is \"{}\", and has to be \"all\", \"zone\" or \"cell\"",
                    n.group.get_ref()
                );
                check.report(line(place(&n.group), 1), error);
            } else if !n.group.span().is_empty() && n.repeats.get_ref() != REPEATS_TAGGED {
                let error = format!("namespace {} has a group, and only tagged ones have", n.name);
                check.report(place(&n.group), error);
            }
            if n.target_ms > n.limit_ms {
                let at = check.line("namespace", "target_ms");
                check.report(at, format!("namespace {}: the target time is over the time limit", n.name));
            }
            check.within("namespace", "limit_ms", n.limit_ms, 10.0, 30_000.0);
            check.within("namespace", "work_ms", n.work_ms, 0.0, 10_000.0);
            check.within("namespace", "bytes", n.bytes as f64, 64.0, 1_000_000.0);
        }
        let names: Vec<&str> = self.classes.iter().map(|n| n.name.as_str()).collect();
        if (1..names.len()).any(|i| names[..i].contains(&names[i])) {
            check.report(1, "two namespaces have one name".into());
        }
        for spanned in &self.faults {
            self.check_fault(spanned.get_ref(), line_of(check.text, spanned.span().start), check);
        }
    }

    fn check_fault(&self, t: &Fault, line: usize, check: &mut Check) {
        let (needed, allowed) = allowed_fields(t.kind);
        for (field, there) in t.present_fields() {
            if needed.contains(&field) && !there {
                check.report(line, format!("{} needs \"{field}\"", t.kind));
            } else if there && !needed.contains(&field) && !allowed.contains(&field) {
                check.report(line, format!("{} has no \"{field}\"", t.kind));
            }
        }
        let source = self.fleet.source.as_str();
        let of_etcd = t.kind.to_string().starts_with("etcd-");
        if (of_etcd && source != SOURCE_ETCD) || (t.kind == FaultKind::FileRewrites && source != SOURCE_FILE)
        {
            check.report(line, format!("{} is no trouble where the source is \"{source}\"", t.kind));
        }
        if matches!(t.kind, FaultKind::SlotsMove | FaultKind::Failover | FaultKind::OldMap)
            && self.fleet.protocol != PROTOCOL_RESP
        {
            check.report(
                line,
                format!("{} is no trouble where the door is \"{}\"", t.kind, self.fleet.protocol),
            );
        }
        if t.kind == FaultKind::Reload && self.fleet.operator.is_empty() {
            check.report(line, "reload needs operator's files in [fleet] operator".into());
        }
        if t.every.is_some_and(|every| every <= 0.0) {
            check.report(line, "every is above 0".into());
        }
        if t.servers.is_some() && t.zone.is_some() {
            check.report(line, format!("{} names caches and a zone; one of them is enough", t.kind));
        }
        if let Some(zone) = t.zone.as_ref().filter(|z| !self.world.zones.contains(z)) {
            check.report(line, format!("zone \"{zone}\" is none of the world's"));
        }
        for (what, named, count) in
            [("cache", &t.servers, self.world.servers), ("proxy", &t.proxies, self.fleet.proxies)]
        {
            if let Some(odd) = named.iter().flatten().find(|i| **i >= count) {
                check.report(
                    line,
                    format!("there is no {what} {odd}; they are numbered from 0 to {}", count - 1),
                );
            }
        }
        if t.share.is_some_and(|s| !(0.0..=1.0).contains(&s))
            || t.killed.is_some_and(|s| !(0.0..=1.0).contains(&s))
        {
            check.report(line, "a share is a part of one, from 0 to 1".into());
        }
        if t.factor.is_some_and(|f| f <= 0.0) {
            check.report(line, "a factor is above 0".into());
        }
        if !(0.0..=self.seconds).contains(&t.at) {
            check.report(
                line,
                format!("it begins at {} s, and lookups arrive from 0 to {} s", t.at, self.seconds),
            );
        }
    }

    /// The servers that a fault meets.
    pub fn targets(&self, t: &Fault) -> Vec<usize> {
        match (&t.servers, &t.zone) {
            (Some(servers), _) => servers.clone(),
            (None, Some(zone)) => (0..self.world.servers).filter(|c| self.zone_of(*c) == zone).collect(),
            (None, None) => (0..self.world.servers).collect(),
        }
    }

    /// The zone of a server, and of a proxy: both are dealt out in turn.
    pub fn zone_of(&self, i: usize) -> &str {
        &self.world.zones[i % self.world.zones.len()]
    }

    /// Two of one zone make a cell.
    pub fn cell_of(&self, server: usize) -> u64 {
        let zones = self.world.zones.len();
        ((server / zones / 2) * zones + server % zones) as u64 + 1
    }

    /// When nothing more can be open: the last arrival, the longest limit, and the tries after it.
    pub fn ends_at(&self) -> Micros {
        let limit = self.classes.iter().map(|n| n.limit_ms).fold(0.0, f64::max) / 1e3;
        let tries = f64::from(self.load.retries) * (limit + self.fleet.max_retry_after_s.max(1.0));
        micros(self.seconds + limit + tries.min(6.0)) + SECOND / 2
    }
}
