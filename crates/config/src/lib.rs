//! The operator's file: what an installation sets beside what the platform says. Read whole, with the line of every value,
//! and checked by `limits` before any of it is used.
//!
//! It may use serde, toml and `limits`; nothing of the running proxy enters it.

use chalkwalk_limits::{
    ClientRetries, ConfigError, LimitOverrides, LimitTable, Limits, Located, PlatformLimits,
    RequestAttributes, Route, RouteMatch, UncheckedLimits, check,
};
use chalkwalk_time::Span;
use serde::Deserialize;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use toml::Spanned;

/// The format's version; one that is not known is refused, as its fields may mean something else.
const VERSION: u64 = 1;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    version: Spanned<u64>,
    #[serde(default)]
    defaults: Fields,
    #[serde(default, rename = "class")]
    classes: Vec<ClassFields>,
    #[serde(default, rename = "route")]
    routes: Vec<Spanned<RouteFields>>,
    clients: Option<ClientFields>,
    membership: Option<Spanned<MembershipFields>>,
    resp: Option<Spanned<RespFields>>,
    capture: Option<Spanned<CaptureFields>>,
    #[serde(rename = "end")]
    _end: Option<End>,
}

/// The last table, and empty: a file that was cut short has none.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct End {}

/// Settings as they are written. Times in milliseconds, shares as parts of one.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Fields {
    time_limit_ms: Option<Spanned<f64>>,
    target_ms: Option<Spanned<f64>>,
    #[serde(rename = "most_shots")]
    max_attempts: Option<Spanned<u64>>,
    #[serde(rename = "shot_wait_ms")]
    attempt_timeout_ms: Option<Spanned<f64>>,
    #[serde(rename = "second_copies")]
    hedging: Option<Spanned<bool>>,
    #[serde(rename = "copies_after")]
    hedge_after: Option<Spanned<f64>>,
    #[serde(rename = "further_shots")]
    retry_budget: Option<Spanned<f64>>,
    open: Option<Spanned<u64>>,
    #[serde(rename = "longest_body")]
    max_body_bytes: Option<Spanned<u64>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ClassFields {
    namespace: Spanned<String>,
    #[serde(default)]
    limits: Fields,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RouteFields {
    name: String,
    path: Option<String>,
    namespace: Option<String>,
    tenant: Option<String>,
    #[serde(rename = "door")]
    frontend: Option<String>,
    #[serde(default)]
    limits: Fields,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ClientFields {
    tries: Spanned<u64>,
    amplification: Spanned<f64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct MembershipFields {
    source: Spanned<String>,
    file: Option<PathBuf>,
    #[serde(default)]
    endpoints: Vec<Spanned<String>>,
    prefix: Option<Spanned<String>>,
    lease_s: Option<Spanned<u64>>,
    #[serde(default)]
    count: bool,
    keep: Option<PathBuf>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RespFields {
    listen: Spanned<String>,
    seeds: Vec<Spanned<String>>,
    namespace: Spanned<String>,
    writes: Option<Spanned<String>>,
    #[serde(default)]
    stale_reads: Vec<Spanned<String>>,
    #[serde(default)]
    split: bool,
    #[serde(default)]
    prefix: Vec<PrefixFields>,
    #[serde(default)]
    instance: Vec<InstanceFields>,
    #[serde(default)]
    user: Vec<UserFields>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PrefixFields {
    prefix: String,
    namespace: Spanned<String>,
    writes: Option<Spanned<String>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct InstanceFields {
    name: String,
    addr: Spanned<String>,
    slots: Option<Spanned<String>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct UserFields {
    name: String,
    secret: Spanned<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CaptureFields {
    folder: PathBuf,
    #[serde(default)]
    keys: bool,
    segment_mb: Option<u64>,
    most_mb: Option<u64>,
}

/// Whether and where all that the balancer is told is written down.
#[derive(Clone, Debug, PartialEq)]
pub struct CaptureConfig {
    pub folder: PathBuf,
    /// Whether the texts of keys are kept; their points are in any case.
    pub keys: bool,
    /// In bytes.
    pub segment_bytes: u64,
    pub max_bytes: u64,
}

/// A segment holds some minutes of a busy proxy; all of them an evening.
const USUAL_MB: (u64, u64) = (32, 1024);

fn capture(c: &Spanned<CaptureFields>, lines: &Lines) -> Result<CaptureConfig, Vec<ConfigError>> {
    let CaptureFields { folder, keys, segment_mb, most_mb } = c.get_ref();
    let (segment, most) = (segment_mb.unwrap_or(USUAL_MB.0), most_mb.unwrap_or(USUAL_MB.1));
    if segment == 0 || most < 2 * segment || most > 1 << 24 {
        let text = "capture keeps two segments at the least, of 1 MB or more each".to_string();
        return Err(vec![ConfigError { line: lines.at(c.span().start), message: text }]);
    }
    Ok(CaptureConfig {
        folder: folder.clone(),
        keys: *keys,
        segment_bytes: segment << 20,
        max_bytes: most << 20,
    })
}

/// The RESP door: its addresses, and how keys are of namespaces.
#[derive(Clone, Debug, PartialEq)]
pub struct RespConfig {
    pub listen: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    /// Namespaces by their numbers.
    pub namespace: usize,
    /// Of commands that write.
    pub write_namespace: usize,
    pub prefixes: Vec<KeyPrefix>,
    pub stale_reads: Vec<usize>,
    pub split: bool,
    pub instances: Vec<ProxyInstance>,
    pub users: Vec<RespUser>,
}

/// The namespaces of keys with one prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyPrefix {
    pub prefix: String,
    pub namespace: usize,
    /// Of commands that write.
    pub write_namespace: usize,
}

/// A proxy that clients of the dialect are told of.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyInstance {
    pub name: String,
    pub address: SocketAddr,
    /// The hash slots that it answers for, ends included.
    pub slots: (u16, u16),
}

/// A user of the RESP frontend.
#[derive(Clone, Debug, PartialEq)]
pub struct RespUser {
    pub name: String,
    /// SHA-256 of the secret.
    pub secret: [u8; 32],
}

/// Hash slots of the dialect, by its public specification.
const SLOTS: u16 = 16384;
/// Instances that clients are told of at the most, and servers that are asked first: as many as a slot map has nodes.
const MOST_INSTANCES: usize = 4096;

fn hex(text: &str) -> Option<[u8; 32]> {
    let text = text.strip_prefix("sha256:").filter(|t| t.len() == 64 && t.is_ascii())?;
    let mut out = [0; 32];
    for (i, byte) in out.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).ok()?;
    }
    Some(out)
}

fn slots(text: &str) -> Option<(u16, u16)> {
    let (first, last) = text.split_once('-')?;
    let (first, last) = (first.parse().ok()?, last.parse().ok()?);
    (first <= last && last < SLOTS).then_some((first, last))
}

fn resp(
    r: &Spanned<RespFields>,
    platform_limits: &PlatformLimits,
    lines: &Lines,
) -> Result<RespConfig, Vec<ConfigError>> {
    let fields = r.get_ref();
    let faults = std::cell::RefCell::new(Vec::new());
    let say =
        |at: usize, text: String| faults.borrow_mut().push(ConfigError { line: lines.at(at), message: text });
    let addr = |word: &Spanned<String>| {
        let read = word.get_ref().parse::<SocketAddr>();
        read.unwrap_or_else(|_| {
            say(word.span().start, format!("\"{}\" is no address with a port", word.get_ref()));
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    };
    let namespace = |word: &Spanned<String>| {
        let place = platform_limits.namespaces.iter().position(|n| n.name == *word.get_ref());
        place.unwrap_or_else(|| {
            say(word.span().start, format!("\"{}\" is no namespace of the house", word.get_ref()));
            0
        })
    };
    let prefix = |p: &PrefixFields| {
        let write_namespace = namespace(p.writes.as_ref().unwrap_or(&p.namespace));
        KeyPrefix { prefix: p.prefix.clone(), namespace: namespace(&p.namespace), write_namespace }
    };
    let instance = |i: &InstanceFields| {
        let own = i.slots.as_ref().map_or(Some((0, SLOTS - 1)), |s| slots(s.get_ref()));
        let own = own.unwrap_or_else(|| {
            let at = i.slots.as_ref().map_or(0, |s| s.span().start);
            say(at, format!("slots are FIRST-LAST, from 0 to {}", SLOTS - 1));
            (0, 0)
        });
        ProxyInstance { name: i.name.clone(), address: addr(&i.addr), slots: own }
    };
    let user = |u: &UserFields| {
        let secret = hex(u.secret.get_ref()).unwrap_or_else(|| {
            say(u.secret.span().start, "a secret is written as sha256: and 64 hexadecimal digits".into());
            [0; 32]
        });
        RespUser { name: u.name.clone(), secret }
    };
    let told = RespConfig {
        listen: addr(&fields.listen),
        seeds: fields.seeds.iter().map(addr).collect(),
        namespace: namespace(&fields.namespace),
        write_namespace: namespace(fields.writes.as_ref().unwrap_or(&fields.namespace)),
        prefixes: fields.prefix.iter().map(prefix).collect(),
        stale_reads: fields.stale_reads.iter().map(namespace).collect(),
        split: fields.split,
        instances: fields.instance.iter().map(instance).collect(),
        users: fields.user.iter().map(user).collect(),
    };
    let here = r.span().start;
    if told.seeds.is_empty() || told.seeds.len() > MOST_INSTANCES || told.instances.len() > MOST_INSTANCES {
        say(here, format!("resp needs 1 to {MOST_INSTANCES} seeds, and has as many instances at the most"));
    }
    if !told.instances.is_empty() {
        let answered = |slot: u16| told.instances.iter().any(|i| (i.slots.0..=i.slots.1).contains(&slot));
        if let Some(slot) = (0..SLOTS).find(|slot| !answered(*slot)) {
            say(here, format!("no instance answers for slot {slot}"));
        }
        if !told.instances.iter().any(|i| i.address == told.listen) {
            say(here, "no instance is at the address that this one listens on".into());
        }
    }
    let faults = faults.into_inner();
    if faults.is_empty() { Ok(told) } else { Err(faults) }
}

/// Where the list of servers comes from, instead of the platform's.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipConfig {
    pub source: MembershipSource,
    /// Where the list is kept on disk.
    pub persist_path: Option<PathBuf>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum MembershipSource {
    File(PathBuf),
    Etcd(EtcdConfig),
}

#[derive(Clone, Debug, PartialEq)]
pub struct EtcdConfig {
    pub endpoints: Vec<SocketAddr>,
    /// Of every key, `/` at its end.
    pub prefix: String,
    /// How long a proxy counts that says nothing any more, in seconds.
    pub lease_s: u64,
    /// Whether proxies are counted by it.
    pub count_proxies: bool,
}

/// What an operator's file says, checked.
#[derive(Clone, Debug, Default)]
pub struct OperatorConfig {
    pub limits: LimitTable,
    pub membership: Option<MembershipConfig>,
    pub resp: Option<RespConfig>,
    pub capture: Option<CaptureConfig>,
}

/// Five endpoints are etcd's largest advised cluster; some more while one is moved.
const MOST_ENDPOINTS: usize = 9;
/// Below three seconds a busy machine loses its lease; above a minute a dead proxy counts too long.
const LEASES: std::ops::RangeInclusive<u64> = 3..=60;
const USUAL_LEASE: u64 = 10;

fn membership(m: &Spanned<MembershipFields>, lines: &Lines) -> Result<MembershipConfig, Vec<ConfigError>> {
    let (fields, mut faults) = (m.get_ref(), Vec::new());
    let mut say = |at: usize, text: String| faults.push(ConfigError { line: lines.at(at), message: text });
    let here = m.span().start;
    let mut endpoints = Vec::new();
    for e in &fields.endpoints {
        match e.get_ref().parse() {
            Ok(addr) => endpoints.push(addr),
            Err(_) => say(e.span().start, format!("\"{}\" is no address with a port", e.get_ref())),
        }
    }
    let mut prefix = fields.prefix.as_ref().map_or("/chalkwalk/".into(), |p| p.get_ref().clone());
    if !prefix.starts_with('/') || !prefix.is_ascii() {
        say(
            fields.prefix.as_ref().map_or(here, |p| p.span().start),
            "a prefix is ASCII and begins with /".into(),
        );
    }
    if !prefix.ends_with('/') {
        prefix.push('/');
    }
    let lease_s = fields.lease_s.as_ref().map_or(USUAL_LEASE, |l| *l.get_ref());
    if !LEASES.contains(&lease_s) {
        let at = fields.lease_s.as_ref().map_or(here, |l| l.span().start);
        say(at, format!("lease_s is from {} to {}", LEASES.start(), LEASES.end()));
    }
    let from = match fields.source.get_ref().as_str() {
        "file" => {
            if !fields.endpoints.is_empty() || fields.prefix.is_some() || fields.count {
                say(here, "endpoints, prefix and count are for the source \"etcd\"".into());
            }
            if fields.file.is_none() {
                say(here, "the source \"file\" needs a file".into());
            }
            MembershipSource::File(fields.file.clone().unwrap_or_default())
        }
        "etcd" => {
            if fields.endpoints.is_empty() || fields.endpoints.len() > MOST_ENDPOINTS {
                say(here, format!("the source \"etcd\" needs 1 to {MOST_ENDPOINTS} endpoints"));
            }
            if fields.file.is_some() {
                say(here, "file is for the source \"file\"".into());
            }
            MembershipSource::Etcd(EtcdConfig { endpoints, prefix, lease_s, count_proxies: fields.count })
        }
        other => {
            say(fields.source.span().start, format!("there is no source \"{other}\", only file and etcd"));
            MembershipSource::File(PathBuf::new())
        }
    };
    if faults.is_empty() {
        Ok(MembershipConfig { source: from, persist_path: fields.keep.clone() })
    } else {
        Err(faults)
    }
}

/// The lines of a text, by the place of a byte.
struct Lines<'a>(&'a str);

impl Lines<'_> {
    fn at(&self, byte: usize) -> usize {
        self.0.as_bytes()[..byte.min(self.0.len())].iter().filter(|b| **b == b'\n').count() + 1
    }

    fn said<T, U>(&self, value: &Option<Spanned<T>>, to: impl Fn(&T) -> U) -> Option<Located<U>> {
        value.as_ref().map(|s| Located::new(to(s.get_ref()), self.at(s.span().start)))
    }

    fn settings(&self, f: &Fields) -> LimitOverrides {
        // Below zero and what is no number come out as 0, which is refused.
        let span = |ms: &f64| Span::from_ticks((ms * 10.0).round() as u64);
        let thousandths = |share: &f64| (share * 1000.0).round() as u64;
        let same = |n: &u64| *n;
        LimitOverrides {
            time_limit: self.said(&f.time_limit_ms, span),
            latency_objective: self.said(&f.target_ms, span),
            max_attempts: self.said(&f.max_attempts, same),
            attempt_timeout: self.said(&f.attempt_timeout_ms, span),
            hedging: self.said(&f.hedging, |b| *b),
            hedge_after: self.said(&f.hedge_after, thousandths),
            retry_budget: self.said(&f.retry_budget, thousandths),
            max_in_flight: self.said(&f.open, same),
            max_body_bytes: self.said(&f.max_body_bytes, same),
        }
    }
}

/// Reads a file's text and holds it against the platform's settings. Faults come all at once, by line.
pub fn read(text: &str, platform_limits: &PlatformLimits) -> Result<OperatorConfig, Vec<ConfigError>> {
    let lines = Lines(text);
    let file: File = toml::from_str(text).map_err(|e| {
        let line = e.span().map_or(1, |span| lines.at(span.start));
        vec![ConfigError { line, message: e.message().replace('\n', " ") }]
    })?;
    // Much of a file that is still being written reads well.
    let written =
        text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty() && !l.trim().starts_with('#'));
    let (last, said) = written.last().unwrap_or((0, ""));
    if said.split('#').next().unwrap_or("").trim() != "[end]" {
        let text = "the file does not end with [end]: it may have been cut short".to_string();
        return Err(vec![ConfigError { line: last + 1, message: text }]);
    }
    if *file.version.get_ref() != VERSION {
        let line = lines.at(file.version.span().start);
        let text =
            format!("version {} is not known; this program reads version {VERSION}", file.version.get_ref());
        return Err(vec![ConfigError { line, message: text }]);
    }
    let class = |c: &ClassFields| {
        let name = Located::new(c.namespace.get_ref().clone(), lines.at(c.namespace.span().start));
        (name, lines.settings(&c.limits))
    };
    let route = |spanned: &Spanned<RouteFields>| {
        let r = spanned.get_ref();
        let when = RouteMatch {
            path: r.path.clone(),
            namespace: r.namespace.clone(),
            tenant: r.tenant.clone(),
            frontend: r.frontend.clone(),
        };
        let line = lines.at(spanned.span().start);
        Route { name: r.name.clone(), line, when, settings: lines.settings(&r.limits) }
    };
    let clients = |c: &ClientFields| ClientRetries {
        tries: Located::new(*c.tries.get_ref(), lines.at(c.tries.span().start)),
        amplification: Located::new(
            (c.amplification.get_ref() * 1000.0).round() as u64,
            lines.at(c.amplification.span().start),
        ),
    };
    let draft = UncheckedLimits {
        defaults: lines.settings(&file.defaults),
        classes: file.classes.iter().map(class).collect(),
        routes: file.routes.iter().map(route).collect(),
        clients: file.clients.as_ref().map(clients),
    };
    let membership = file.membership.as_ref().map(|m| membership(m, &lines)).transpose();
    let resp = file.resp.as_ref().map(|r| resp(r, platform_limits, &lines)).transpose();
    let capture = file.capture.as_ref().map(|c| capture(c, &lines)).transpose();
    match (check(&draft, platform_limits), membership, resp, capture) {
        (Ok(limits), Ok(membership), Ok(resp), Ok(capture)) => {
            Ok(OperatorConfig { limits, membership, resp, capture })
        }
        (limits, membership, resp, capture) => {
            let mut faults = limits.err().unwrap_or_default();
            faults.extend(membership.err().unwrap_or_default());
            faults.extend(resp.err().unwrap_or_default());
            faults.extend(capture.err().unwrap_or_default());
            faults.sort();
            faults.dedup();
            Err(faults)
        }
    }
}

/// Faults as lines of text, each with the file's name.
pub fn format_errors(path: &str, faults: &[ConfigError]) -> String {
    let lines: Vec<String> = faults.iter().map(|f| format!("{path}:{}: {}", f.line, f.message)).collect();
    lines.join("\n")
}

/// What holds for a request, and which line said so.
pub fn explain(table: &LimitTable, request: RequestAttributes) -> String {
    let class = table.find(request);
    let l: &Limits = &table.classes()[class].limits;
    let ms = |span: Span| format!("{} ms", span.as_millis_f64());
    let part = |thousandths: u64| format!("{}", thousandths as f64 / 1000.0);
    let or = |said: Option<String>, else_: &str| said.unwrap_or_else(|| else_.to_string());
    let rows = [
        ("time limit", ms(Span::from_ticks(l.time_limit.value.ticks())), &l.time_limit.source),
        ("target time", ms(Span::from_ticks(l.latency_objective.value.ticks())), &l.latency_objective.source),
        ("most shots", l.max_attempts.value.to_string(), &l.max_attempts.source),
        (
            "wait for a shot",
            or(l.attempt_timeout.value.map(ms), "up to the time limit"),
            &l.attempt_timeout.source,
        ),
        ("second copies", if l.hedging.value { "allowed" } else { "never" }.into(), &l.hedging.source),
        ("copies after", or(l.hedge_after.value.map(part), "silence or loss alone"), &l.hedge_after.source),
        (
            "further shots",
            or(l.retry_budget.value.map(part), "the module's own budget"),
            &l.retry_budget.source,
        ),
        (
            "open at once",
            or(l.max_in_flight.value.map(|n| n.to_string()), "as many as come"),
            &l.max_in_flight.source,
        ),
        ("longest body", format!("{} bytes", l.max_body_bytes.value), &l.max_body_bytes.source),
    ];
    let mut out = String::new();
    let of = table.route_of(class).map_or("no route takes it".to_string(), |name| format!("route {name}"));
    _ = writeln!(out, "{of}");
    for (name, value, from) in rows {
        _ = writeln!(out, "{name:<16} {value:<24} {from}");
    }
    out
}
