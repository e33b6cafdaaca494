//! A fleet of proxy processes whose discovery service fails and recovers, while one server starts
//! draining at the moment of recovery.
//!
//! The drain counts as notified to every process 6 s after discovery has it and is reachable again,
//! regardless of the retry delay after the failed calls. The drain grace runs from then on, and
//! after it no new request may reach the draining server.

use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const PROCESSES: usize = 16;
/// Long enough for a retry delay that doubles with each failure to reach its maximum.
const OUTAGE_DURATION: Duration = Duration::from_secs(21);
/// A change counts as notified this long after discovery has it and is reachable.
const NOTIFY_DEADLINE: Duration = Duration::from_secs(6);
const DRAIN_GRACE: Duration = Duration::from_secs(1);
/// Delay that a loaded machine may add between a proxy's write and the test server's read.
const LOAD_SLACK: Duration = Duration::from_millis(200);
/// How many calls of each process a busy service refuses.
const BUSY_CALLS: usize = 2;
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
const SERVERS: [&str; 3] = ["draining", "steady-1", "steady-2"];

/// How discovery fails.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outage {
    /// Nothing listens on the address.
    Refuses,
    /// Nothing listens on the address, and the first [`BUSY_CALLS`] calls of each process after the
    /// recovery are answered with status 503 at once, as by a service that has too many callers.
    RefusesThenBusy,
    /// Connections are accepted and reset.
    Resets,
    /// Calls are answered with status 503 at once.
    Unavailable,
    /// Calls are read and never answered.
    Silent,
    /// The head and a part of the body are sent, then nothing more.
    HalfAnswer,
}

/// State of the discovery service, shared by the listeners for all processes.
struct Discovery {
    outage: Outage,
    down: AtomicBool,
    recovered_at: Mutex<Option<Instant>>,
    /// When each process got its first response after the recovery, by process number.
    first_answers: Mutex<Vec<Option<Instant>>>,
    /// How often each process has called a busy service, by process number.
    calls_since_recovery: Mutex<Vec<usize>>,
}

const UNAVAILABLE_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

impl Outage {
    fn closes_listener(self) -> bool {
        matches!(self, Outage::Refuses | Outage::RefusesThenBusy)
    }
}

impl Discovery {
    /// Whether this call of a process is refused because the service has too many callers.
    fn refuses_as_busy(&self, process: usize) -> bool {
        if self.outage != Outage::RefusesThenBusy || self.version() == 1 {
            return false;
        }
        let calls = &mut self.calls_since_recovery.lock().unwrap()[process];
        *calls += 1;
        *calls <= BUSY_CALLS
    }

    fn is_down(&self) -> bool {
        self.down.load(Ordering::SeqCst)
    }

    /// Version of the current list. Version 2 contains the drain.
    fn version(&self) -> u64 {
        1 + u64::from(self.recovered_at.lock().unwrap().is_some())
    }
}

/// Reads one message without a body. Returns `None` at the end of the connection.
fn read_head(stream: &mut TcpStream) -> Option<String> {
    let (mut received, mut buffer) = (Vec::new(), [0; 4096]);
    while !received.windows(4).any(|end| end == b"\r\n\r\n") {
        match stream.read(&mut buffer) {
            Ok(count @ 1..) => received.extend(&buffer[..count]),
            _ => return None,
        }
    }
    Some(String::from_utf8_lossy(&received).to_string())
}

fn query_parameter(head: &str, name: &str) -> Option<u64> {
    let target = head.split_whitespace().nth(1)?;
    let found = target.split(['?', '&']).find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
    found?.parse().ok()
}

fn server_list(servers: &[SocketAddr], version: u64) -> String {
    let entry = |(i, addr): (usize, &SocketAddr)| {
        let state = if i == 0 && version > 1 { "DRAINING" } else { "SERVING" };
        json!({"id": SERVERS[i], "addr": addr.to_string(), "zone": "here", "kind": "cache", "state": state})
    };
    let entries: Vec<Value> = servers.iter().enumerate().map(entry).collect();
    json!({"version": version, "full": true, "servers": entries}).to_string()
}

/// Answers one call, or during an outage fails it as `Outage` says. Returns whether the connection
/// stays open.
fn answer_call(
    discovery: &Discovery,
    process: usize,
    servers: &[SocketAddr],
    stream: &mut TcpStream,
) -> bool {
    let Some(head) = read_head(stream) else { return false };
    if let Some(index) = query_parameter(&head, "index") {
        let wait = Duration::from_millis(query_parameter(&head, "wait").unwrap_or(0));
        let end = Instant::now() + wait;
        while index >= discovery.version() && Instant::now() < end && !discovery.is_down() {
            sleep(Duration::from_millis(5));
        }
    }
    if discovery.refuses_as_busy(process) {
        return stream.write_all(UNAVAILABLE_RESPONSE).is_ok();
    }
    let version = discovery.version();
    let body = server_list(servers, version);
    let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    if !discovery.is_down() {
        let written = stream.write_all(response.as_bytes()).is_ok();
        if written && version > 1 {
            discovery.first_answers.lock().unwrap()[process].get_or_insert_with(Instant::now);
        }
        return written;
    }
    match discovery.outage {
        Outage::Refuses | Outage::RefusesThenBusy | Outage::Resets => false,
        Outage::Unavailable => stream.write_all(UNAVAILABLE_RESPONSE).is_ok(),
        Outage::Silent => read_head(stream).is_some(),
        Outage::HalfAnswer => {
            _ = stream.write_all(&response.as_bytes()[..response.len() / 2]);
            read_head(stream).is_some()
        }
    }
}

/// Runs the discovery service as one process reaches it.
fn serve_discovery(
    discovery: Arc<Discovery>,
    process: usize,
    servers: Arc<Vec<SocketAddr>>,
    listen_addr: SocketAddr,
) {
    spawn(move || {
        loop {
            let Ok(listener) = TcpListener::bind(listen_addr) else {
                sleep(Duration::from_millis(2));
                continue;
            };
            listener.set_nonblocking(true).unwrap();
            while !(discovery.is_down() && discovery.outage.closes_listener()) {
                let Ok((mut stream, _)) = listener.accept() else {
                    sleep(Duration::from_millis(2));
                    continue;
                };
                stream.set_nonblocking(false).unwrap();
                if discovery.is_down() && discovery.outage == Outage::Resets {
                    // Closing a socket with unread bytes resets the connection.
                    _ = stream.peek(&mut [0]);
                    continue;
                }
                let (discovery, servers) = (discovery.clone(), servers.clone());
                spawn(move || while answer_call(&discovery, process, &servers, &mut stream) {});
            }
            drop(listener);
            while discovery.is_down() {
                sleep(Duration::from_millis(2));
            }
        }
    });
}

/// When each process last sent a request to the draining server, by process number.
type LastSends = Arc<Mutex<Vec<Option<Instant>>>>;

/// Runs a server that records which process sent to it, and rejects every request once it drains.
fn serve_requests(discovery: Arc<Discovery>, will_drain: bool, last_sends: LastSends) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (discovery, last_sends) = (discovery.clone(), last_sends.clone());
            spawn(move || {
                while let Some(head) = read_head(&mut stream) {
                    let draining = will_drain && discovery.version() > 1;
                    let process = head.lines().find_map(|line| {
                        line.strip_prefix("X-Correlation-Id: ")?.split('x').next()?.parse::<usize>().ok()
                    });
                    if let Some(process) = process.filter(|_| draining) {
                        last_sends.lock().unwrap()[process] = Some(Instant::now());
                    }
                    let answer = match draining {
                        true => "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n",
                        false => "HTTP/1.1 200 OK\r\nX-Lookup: hit\r\nContent-Length: 5\r\n\r\nvalue",
                    };
                    if stream.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

/// Returns an address that is unique to this test. Other tests use other ports on these hosts.
fn process_address(outage: Outage, process: usize, port: u16) -> SocketAddr {
    let pid = std::process::id() as usize;
    let host = 1 + outage as usize * 40 + process;
    format!("127.{}.{}.{host}:{port}", 1 + pid % 250, pid / 250 % 250).parse().unwrap()
}

fn configuration(process: usize, listen: SocketAddr, discovery: SocketAddr, servers: &[SocketAddr]) -> Value {
    let initial_list: Value = serde_json::from_str(&server_list(servers, 1)).unwrap();
    json!({"name": format!("process-{process}"), "listen": listen.to_string(),
        "discovery": discovery.to_string(), "seed": format!("{:x}", 7919 * (process + 1)),
        "limits": {"sockets": 256}, "known": initial_list,
        "settings": {"az": "here", "zones": ["here"], "kinds": ["cache", "origin"], "discovery": "subscribe",
            "familyInfo": {"mode": "through"},
            "ceilings": {"mostShots": 4, "secondCopies": true, "connIdleNs": 30_000_000_000u64,
                "connectTimeoutNs": 150_000_000},
            "rules": {"drainGraceNs": DRAIN_GRACE.as_nanos() as u64, "askEveryNs": 10_000_000_000u64},
            "namespaces": [{"name": "page", "idempotency": "free", "group": "all", "dedupWindowNs": 0,
                "targetTimeNs": 500_000_000u64, "timeLimitNs": 900_000_000u64, "utility": 1.0,
                "overdueUtility": 0.0}]}})
}

fn start(path: &str, configuration: &Value) -> Child {
    std::fs::write(path, configuration.to_string()).unwrap();
    Command::new(env!("CARGO_BIN_EXE_chalkwalk"))
        .args(["serve", "--config", path])
        .stderr(Stdio::null())
        .spawn()
        .unwrap()
}

fn start_process(outage: Outage, process: usize, servers: &[SocketAddr]) -> (Child, SocketAddr) {
    let (listen, discovery) =
        (process_address(outage, process, 3400), process_address(outage, process, 3401));
    let path =
        format!("{}/outage-{}-{outage:?}-{process}.json", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    (start(&path, &configuration(process, listen, discovery, servers)), listen)
}

/// Sends requests one after the other, each with a different key, until `stop` is set.
fn send_requests(process: usize, addr: SocketAddr, stop: Arc<AtomicBool>) {
    spawn(move || {
        let mut connection: Option<TcpStream> = None;
        for id in 0.. {
            if stop.load(Ordering::SeqCst) {
                return;
            }
            sleep(REQUEST_INTERVAL);
            let stream = connection.take().or_else(|| TcpStream::connect(addr).ok());
            let Some(mut stream) = stream else { continue };
            let request = format!(
                "GET /api/key-{id} HTTP/1.1\r\nX-Correlation-Id: {process}x{id}\r\n\
                 X-Service-Class: page\r\nX-Time-Left: 0.8\r\n\r\n"
            );
            let mut buffer = [0; 4096];
            if stream.write_all(request.as_bytes()).is_ok() && matches!(stream.read(&mut buffer), Ok(1..)) {
                connection = Some(stream);
            }
        }
    });
}

/// The processes of a test. They are killed when the test ends, also when it fails.
struct Processes(Vec<Child>);

impl Drop for Processes {
    fn drop(&mut self) {
        for child in &mut self.0 {
            _ = child.kill();
            _ = child.wait();
        }
    }
}

/// Runs one outage. Fails unless every process is notified of the drain in time and none sends to
/// the draining server after the grace.
fn run_outage(outage: Outage) {
    let discovery = Arc::new(Discovery {
        outage,
        down: AtomicBool::new(false),
        recovered_at: Mutex::new(None),
        first_answers: Mutex::new(vec![None; PROCESSES]),
        calls_since_recovery: Mutex::new(vec![0; PROCESSES]),
    });
    let last_sends: LastSends = Arc::new(Mutex::new(vec![None; PROCESSES]));
    let servers: Vec<SocketAddr> =
        (0..SERVERS.len()).map(|i| serve_requests(discovery.clone(), i == 0, last_sends.clone())).collect();
    let servers = Arc::new(servers);
    let stop = Arc::new(AtomicBool::new(false));
    let mut processes = Processes(Vec::new());
    for process in 0..PROCESSES {
        serve_discovery(discovery.clone(), process, servers.clone(), process_address(outage, process, 3401));
        let (child, addr) = start_process(outage, process, &servers);
        processes.0.push(child);
        send_requests(process, addr, stop.clone());
    }
    // The processes spread their first calls over 3 s.
    sleep(Duration::from_secs(4));
    discovery.down.store(true, Ordering::SeqCst);
    sleep(OUTAGE_DURATION);
    let recovered_at = Instant::now();
    *discovery.recovered_at.lock().unwrap() = Some(recovered_at);
    discovery.down.store(false, Ordering::SeqCst);
    sleep(NOTIFY_DEADLINE + DRAIN_GRACE + LOAD_SLACK + Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    let since_recovery = |times: &Mutex<Vec<Option<Instant>>>| -> Vec<Option<Duration>> {
        times.lock().unwrap().iter().map(|time| time.map(|time| time.duration_since(recovered_at))).collect()
    };
    let (notified, sent) = (since_recovery(&discovery.first_answers), since_recovery(&last_sends));
    assert!(
        sent.iter().any(Option::is_some),
        "no process ever sent to the draining server, so the test shows nothing"
    );
    let late_notified: Vec<_> = notified
        .iter()
        .enumerate()
        .filter(|(_, delay)| delay.is_none_or(|delay| delay > NOTIFY_DEADLINE))
        .collect();
    let late_sent: Vec<_> = sent
        .iter()
        .enumerate()
        .filter(|(_, delay)| delay.is_some_and(|delay| delay > NOTIFY_DEADLINE + DRAIN_GRACE + LOAD_SLACK))
        .collect();
    assert!(
        late_notified.is_empty() && late_sent.is_empty(),
        "{outage:?}: after the recovery, notified late: {late_notified:?}, sent to the draining server late: {late_sent:?}"
    );
}

#[test]
fn after_refused_connections_a_drain_is_notified_in_time() {
    run_outage(Outage::Refuses);
}

/// Guards against a backoff after a refused call that is as long as after a failed one: both
/// together exceed the time within which a drain counts as notified.
#[test]
fn after_refused_connections_and_refused_calls_a_drain_is_notified_in_time() {
    run_outage(Outage::RefusesThenBusy);
}

#[test]
fn after_reset_connections_a_drain_is_notified_in_time() {
    run_outage(Outage::Resets);
}

#[test]
fn after_error_responses_a_drain_is_notified_in_time() {
    run_outage(Outage::Unavailable);
}

#[test]
fn after_unanswered_calls_a_drain_is_notified_in_time() {
    run_outage(Outage::Silent);
}

#[test]
fn after_partial_responses_a_drain_is_notified_in_time() {
    run_outage(Outage::HalfAnswer);
}

/// A new configuration moves discovery to another address while a call waits at the old one, and
/// the new address rejects calls. A list that the old address sends just after that counts as
/// notified.
#[test]
fn a_list_from_the_old_address_after_a_move_is_applied() {
    let discovery = Arc::new(Discovery {
        outage: Outage::Unavailable,
        down: AtomicBool::new(false),
        recovered_at: Mutex::new(None),
        first_answers: Mutex::new(vec![None]),
        calls_since_recovery: Mutex::new(vec![0]),
    });
    let last_sends: LastSends = Arc::new(Mutex::new(vec![None]));
    let servers: Vec<SocketAddr> =
        (0..SERVERS.len()).map(|i| serve_requests(discovery.clone(), i == 0, last_sends.clone())).collect();
    let servers = Arc::new(servers);
    let rejecting = TcpListener::bind("127.0.0.1:0").unwrap();
    let (moved_to, calls) = (rejecting.local_addr().unwrap(), Arc::new(AtomicUsize::new(0)));
    let rejected = calls.clone();
    spawn(move || {
        for mut stream in rejecting.incoming().flatten() {
            while read_head(&mut stream).is_some() {
                rejected.fetch_add(1, Ordering::SeqCst);
                _ = stream.write_all(UNAVAILABLE_RESPONSE);
            }
        }
    });
    let address = |port| process_address(Outage::HalfAnswer, PROCESSES, port);
    serve_discovery(discovery.clone(), 0, servers.clone(), address(3401));
    let path = format!("{}/moved-{}.json", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    let process = start(&path, &configuration(0, address(3400), address(3401), &servers));
    let pid = process.id().to_string();
    let _processes = Processes(vec![process]);
    // The process makes its first call within 3 s, and that call waits for a change.
    sleep(Duration::from_secs(4));
    std::fs::write(&path, configuration(0, address(3400), moved_to, &servers).to_string()).unwrap();
    Command::new("kill").args(["-HUP", &pid]).status().unwrap();
    let end = Instant::now() + Duration::from_secs(5);
    while calls.load(Ordering::SeqCst) == 0 && Instant::now() < end {
        sleep(Duration::from_millis(1));
    }
    assert!(calls.load(Ordering::SeqCst) > 0, "the proxy never called the new address");
    *discovery.recovered_at.lock().unwrap() = Some(Instant::now());
    sleep(Duration::from_millis(200));
    let stop = Arc::new(AtomicBool::new(false));
    send_requests(0, address(3400), stop.clone());
    sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    assert!(last_sends.lock().unwrap()[0].is_none(), "the proxy sent to the draining server");
}
