//! Case 1: long answers to clients that take them at 64 kB a second. A small deployment of the shape
//! of sousse-lending: one proxy, nine cache nodes and the library store, none of them in any trouble.

#[path = "../kit/mod.rs"]
mod kit;

use kit::*;
use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// A long answer: the pages name up to 32 MB.
const LENGTH: usize = 24_000_000;
/// What a client takes, steadily: a little more than the 64 kB a second that the pages allow.
const BYTES_PER_SECOND: f64 = 70_000.0;
const TICK: Duration = Duration::from_millis(50);
/// For how long the clients go on. An answer that is under way then counts as well.
const WATCHED_FOR: Duration = Duration::from_secs(45);
/// The receive buffers of the clients' sockets in KiB; 0 is the system's own choice. Each is there
/// twice.
const RECEIVE_BUFFERS: [usize; 7] = [0, 64, 128, 200, 300, 512, 1024];

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

fn set_receive_buffer(stream: &TcpStream, kib: usize) {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let bytes = (kib * 1024) as i32;
    // SAFETY: the value is a live i32, and its length is that of an i32.
    _ = unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
}

/// What became of the answers at the cache nodes, by correlation id: how many bytes a node had written
/// when its connection ended under the answer.
type CutAnswers = Arc<Mutex<HashMap<String, (f64, usize)>>>;

fn serve_node(node: usize, mut stream: TcpStream, cut: &CutAnswers) {
    let mut buffer = Vec::new();
    let block = vec![b'v'; 64 << 10];
    while let Some(message) = read_message(&mut stream, &mut buffer) {
        let Some(id) = message.field("X-Correlation-Id").map(str::to_string) else {
            let status = if message.word(1) == "/alive" { "200 OK" } else { "404 Not Found" };
            if !write_response(&mut stream, status, b"") {
                return;
            }
            continue;
        };
        record(&format!("node {node}: begins its answer to {id}, {LENGTH} bytes"));
        sleep(Duration::from_millis(20));
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\n\r\n");
        if stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        let mut written = 0;
        while written < LENGTH {
            let part = &block[..block.len().min(LENGTH - written)];
            if let Err(error) = stream.write_all(part) {
                record(&format!(
                    "node {node}: the connection ends under the answer to {id}, {written} bytes given: {error}"
                ));
                cut.lock().unwrap().insert(id, (now_ms(), written));
                return;
            }
            written += part.len();
        }
        record(&format!("node {node}: has given the whole answer to {id}"));
    }
}

/// How an answer ended for its client.
#[derive(Debug, PartialEq)]
enum Ending {
    Whole,
    /// Still coming at the end of the case.
    UnderWay,
    /// The connection ended short of the stated length although the client took 70 kB a second.
    CutOff,
    /// No 200 at all.
    NotServed,
}

fn run_client(id: &str, address: SocketAddr, kib: usize, trouble: bool, cut: &CutAnswers) -> Ending {
    let Ok(mut stream) = TcpStream::connect(address) else { return Ending::NotServed };
    if kib > 0 {
        set_receive_buffer(&stream, kib);
    }
    _ = stream.set_read_timeout(Some(Duration::from_secs(12)));
    let text = format!(
        "GET /api/book{id} HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id}\r\nX-Service-Class: book-chunk\r\n\
         X-Time-Left: 4.000\r\n\r\n"
    );
    if stream.write_all(text.as_bytes()).is_err() {
        return Ending::NotServed;
    }
    // The head, byte by byte, so that nothing of the body is taken early.
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return Ending::NotServed,
        }
    }
    let status = String::from_utf8_lossy(&head).split(' ').nth(1).unwrap_or("").to_string();
    if status != "200" {
        record(&format!("client {id}: gets {status}"));
        return Ending::NotServed;
    }
    let began = Instant::now();
    let (mut taken, mut longest_pause, mut last) = (0, Duration::ZERO, Instant::now());
    let mut chunk = vec![0; 1 << 20];
    loop {
        let is_cut = cut.lock().unwrap().contains_key(id);
        if trouble && !is_cut {
            if began.elapsed() > WATCHED_FOR {
                record(&format!(
                    "client {id}: {taken} bytes in {:.1} s, more to come",
                    began.elapsed().as_secs_f64()
                ));
                return Ending::UnderWay;
            }
            sleep(TICK);
        }
        // Once the answer is cut off at the node, what was on its way is taken at once.
        let due = match trouble && !is_cut {
            true => {
                (((began.elapsed() + TICK).as_secs_f64() * BYTES_PER_SECOND) as usize).saturating_sub(taken)
            }
            false => chunk.len(),
        };
        if due == 0 {
            continue;
        }
        let room = due.min(chunk.len());
        match stream.read(&mut chunk[..room]) {
            Ok(0) => break,
            Ok(count) => {
                taken += count;
                longest_pause = longest_pause.max(last.elapsed());
                last = Instant::now();
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => {
                record(&format!("client {id}: {error}"));
                break;
            }
        }
        if taken == LENGTH {
            return Ending::Whole;
        }
    }
    record(&format!(
        "client {id}: the connection ends after {taken} of {LENGTH} bytes; its longest pause between two reads was {} ms",
        longest_pause.as_millis()
    ));
    Ending::CutOff
}

fn configuration(listen: SocketAddr, discovery: SocketAddr, list: &str) -> String {
    let class = |name: &str, effect: &str, window: u64, aim: u64, limit: u64| {
        format!(
            r#"{{"name":"{name}","idempotency":"{effect}","group":"all","dedupWindowNs":{},"targetTimeNs":{},"timeLimitNs":{},"utility":5.0,"overdueUtility":0.0,"streaming":false}}"#,
            window * 1_000_000,
            aim * 1_000_000,
            limit * 1_000_000
        )
    };
    let classes = [
        class("catalogue-page", "free", 5000, 300, 600),
        class("book-chunk", "free", 5000, 1000, 4000),
        class("cover-batch", "free", 5000, 1500, 3000),
        class("loan-record", "guarded", 1500, 1200, 2500),
    ]
    .join(",");
    format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{list},
"settings":{{"az":"dc-sousse","zones":["dc-sousse","dc-monastir","dc-sfax"],"kinds":["full-node","half-node","origin"],
"balancers":3,"position":0,"discovery":"subscribe","weightKind":"nominal","utilityBasis":"request",
"familyInfo":{{"mode":"aside","originKind":2,"originFallMultiple":0.0}},
"ceilings":{{"mostShots":6,"secondCopies":true,"cancelling":true,"probes":true,"peers":false,"retryAfter":true,"maxRetryAfterNs":2000000000,"connIdleNs":30000000000,"connectTimeoutNs":150000000}},
"rules":{{"drainGraceNs":1000000000,"askEveryNs":10000000000,"coldNs":7800000000,"fallMultiple":3.0,"fallNs":1500000000,"startCapacity":0.31,"answerSlackNs":16000000}},
"namespaces":[{classes}]}}}}"#
    )
}

fn main() {
    let trouble = begin(115);
    let run = run_command();
    let folder = temporary_folder();
    let cut = CutAnswers::default();
    let mut entries = Vec::new();
    for node in 0..10 {
        let (listener, address) = listen();
        let zone = ["dc-sousse", "dc-monastir", "dc-sfax"][node % 3];
        let (id, kind) = match node {
            9 => ("o-1".to_string(), "origin"),
            _ => (format!("s-{node:08x}"), ["full-node", "half-node"][node % 2]),
        };
        entries.push(list_entry(&id, address, zone, kind));
        let cut = cut.clone();
        serve(listener, move |stream| serve_node(node, stream, &cut));
    }
    let list = format!(r#"{{"version":7,"full":true,"servers":[{}]}}"#, entries.join(","));
    let (listener, discovery) = listen();
    serve_discovery(listener, list.clone(), r#"{"version":7,"full":false,"servers":[]}"#.into());
    let address = free_address();
    let path = folder.join("config.json");
    std::fs::write(&path, configuration(address, discovery, &list)).unwrap();
    let environment = [
        ("ROUTER_NAME", "n1".to_string()),
        ("ROUTER_LISTEN", address.to_string()),
        ("ROUTER_DISCOVERY", discovery.to_string()),
        ("ROUTER_CONFIG", path.display().to_string()),
        ("TMPDIR", folder.display().to_string()),
    ];
    let mut proxy = start(&run, &environment, None, &folder.join("proxy.log"));
    if !wait_for(Duration::from_secs(20), || call(address, "GET", "/up").as_deref() == Some("200")) {
        finish(NOT_RUN, "not run: the proxy did not get ready");
    }
    let clients: Vec<_> = (0..2 * RECEIVE_BUFFERS.len())
        .map(|client| {
            sleep(Duration::from_millis(100));
            let cut = cut.clone();
            let kib = RECEIVE_BUFFERS[client % RECEIVE_BUFFERS.len()];
            let id = format!("c{client}b{kib}");
            spawn(move || {
                let ending = run_client(&id, address, kib, trouble, &cut);
                record(&format!("client {id}: {ending:?}"));
                ending
            })
        })
        .collect();
    let endings: Vec<Ending> =
        clients.into_iter().map(|client| client.join().unwrap_or(Ending::NotServed)).collect();
    if let Some(status) = has_ended(&mut proxy) {
        finish(NOT_RUN, &format!("not run: the proxy ended by itself, {status}"));
    }
    let count = |wanted: Ending| endings.iter().filter(|ending| **ending == wanted).count();
    let (whole, coming, off, not) =
        (count(Ending::Whole), count(Ending::UnderWay), count(Ending::CutOff), count(Ending::NotServed));
    let text = format!(
        "of {} long answers {whole} are whole, {coming} are still coming, {off} were cut off, {not} not begun",
        endings.len()
    );
    if off > 0 {
        finish(BROKEN, &format!("broken: {text}"));
    }
    if not == endings.len() {
        finish(NOT_RUN, &format!("not run: {text}"));
    }
    finish(HELD, &format!("held: {text}"));
}
