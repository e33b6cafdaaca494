//! An upgrade: two processes of one proxy serve at the same time, and lookups with one key come to both.

use crate::common::*;
use crate::platform::{Discovery, wait_until_ready};
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// How long a node takes for a write of the keys that are looked at: 170 ms of work on a machine of half the usual speed
/// that runs 1.8 times slower. And for those before them, which only keep the connections in use.
const WORK_MS: u64 = 600;
const QUICK_WORK_MS: u64 = 40;
/// From the moment in which the first clients may send the writes that are looked at, to SIGTERM.
const BEFORE_SIGNAL_MS: u64 = 100;
/// From SIGTERM to the second clients' writes.
const AFTER_SIGNAL_MS: u64 = 100;
const KEYS: usize = 5;

/// When a node began and ended a request, by key and number of the client.
type Runs = Arc<Mutex<HashMap<(usize, usize), (Instant, Option<Instant>)>>>;

/// The numbers in a path `/api/item-KEY?client=N`.
fn numbers(line: &str) -> Option<(usize, usize)> {
    let (key, client) = line.split_once("/item-")?.1.split_once("?client=")?;
    Some((key.parse().ok()?, client.split(' ').next()?.parse().ok()?))
}

fn node(record: &Record, runs: &Runs) -> CaseResult<SocketAddr> {
    let (record, runs) = (record.clone(), runs.clone());
    http_server(Arc::new(move |line| {
        let Some((key, client)) = numbers(line) else {
            sleep(ms(QUICK_WORK_MS));
            return http_ok("done");
        };
        runs.lock().unwrap().insert((key, client), (Instant::now(), None));
        record.note(format!("node: begins {line}"));
        sleep(ms(WORK_MS));
        record.note(format!("node: answers {line}"));
        runs.lock().unwrap().entry((key, client)).and_modify(|run| run.1 = Some(Instant::now()));
        http_ok("done")
    }))
}

fn config(listen: SocketAddr, console: SocketAddr, discovery: SocketAddr, known: &str, seed: u64) -> String {
    format!(
        r#"{{"name":"n1","listen":"{listen}","console":"{console}","discovery":"{discovery}","seed":"{seed:x}",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},
 "settings":{{"az":"bratislava-dc","zones":["bratislava-dc"],"kinds":["std-1c"],"position":0,"balancers":1,
  "discovery":"subscribe","familyInfo":{{"mode":"through"}},
  "ceilings":{{"mostShots":3,"secondCopies":false,"cancelling":true,"probes":false,"retryAfter":true,
   "maxRetryAfterNs":2000000000,"connIdleNs":30000000000,"connectTimeoutNs":150000000}},
  "rules":{{"drainGraceNs":1500000000,"askEveryNs":10000000000,"keyQuietNs":0}},
  "namespaces":[{{"name":"dispatch","idempotency":"single_shot","keepOrder":true,"targetTimeNs":2500000000,
   "timeLimitNs":5000000000,"utility":8,"overdueUtility":0}}]}}}}"#
    )
}

/// Sends a write on the connection and returns the first line of the answer.
fn write(stream: &mut TcpStream, path: &str, id: &str) -> String {
    let head = format!(
        "PUT {path} HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id}\r\nX-Service-Class: dispatch\r\n\
         X-Time-Left: 5.000\r\nContent-Length: 1\r\n\r\n1"
    );
    let answer = stream.write_all(head.as_bytes()).and_then(|()| read_http(stream));
    answer.map_or_else(|error| format!("no answer: {error}"), |(line, _)| line)
}

/// A client that writes quick keys of its own, one after the other, and then the key that is looked at.
fn first_client(mut stream: TcpStream, key: usize, go: Arc<AtomicBool>, record: Record) -> String {
    let mut number = 0;
    while !go.load(Ordering::SeqCst) {
        let line = write(&mut stream, &format!("/api/quick-{key}-{number}"), &format!("a{key}{number:06}"));
        if !line.contains(" 200 ") {
            return format!("could not run: its write {number} was answered: {line}");
        }
        number += 1;
    }
    record.note(format!("client 0 of key {key}: PUT item-{key}, after {number} others on its connection"));
    write(&mut stream, &format!("/api/item-{key}?client=0"), &format!("b{key}"))
}

pub fn run(record: &Record) -> CaseResult<bool> {
    let folder = TempFolder::create()?;
    let runs = Runs::default();
    let nodes = [node(record, &runs)?, node(record, &runs)?];
    let discovery = Discovery::start(
        record,
        "bratislava-dc",
        &[("s-0", nodes[0], "std-1c"), ("s-1", nodes[1], "std-1c")],
    )?;
    let known = discovery.list(None);
    // The platform holds the clients' listening socket.
    let socket = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    let listen = socket.local_addr().map_err(|error| error.to_string())?;
    let consoles = [free_addr()?, free_addr()?];
    let file = |number: usize| {
        let text = config(listen, consoles[number], discovery.addr, &known, 0x5eed + number as u64);
        folder.write(&format!("config-{number}.json"), &text)
    };
    let mut old = Proxy::start_with_socket(record, &folder, &file(0)?, &socket, "the old process")?;
    wait_until_ready(&mut old, consoles[0])?;
    let connect = || {
        let stream = TcpStream::connect(listen).map_err(|error| error.to_string())?;
        _ = stream.set_read_timeout(Some(Duration::from_secs(8)));
        _ = stream.set_nodelay(true);
        Ok::<TcpStream, String>(stream)
    };
    // The first clients' connections are there before the upgrade, and in use all the time.
    let go = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for key in 0..KEYS {
        let (stream, go, record) = (connect()?, go.clone(), record.clone());
        clients.push(((key, 0), spawn(move || first_client(stream, key, go, record))));
    }
    sleep(ms(300));
    let mut new = None;
    if trouble() {
        let mut started = Proxy::start_with_socket(record, &folder, &file(1)?, &socket, "the new process")?;
        wait_until_ready(&mut started, consoles[1])?;
        record.note("operator: the new process says that it is ready");
        new = Some(started);
    }
    go.store(true, Ordering::SeqCst);
    sleep(ms(BEFORE_SIGNAL_MS));
    if trouble() {
        old.signal("TERM")?;
    }
    sleep(ms(AFTER_SIGNAL_MS));
    for key in 0..KEYS {
        let mut stream = connect()?;
        record.note(format!("client 1 of key {key}: PUT item-{key}, on a new connection"));
        let send = move || write(&mut stream, &format!("/api/item-{key}?client=1"), &format!("c{key}"));
        clients.push(((key, 1), spawn(send)));
    }
    for ((key, client), thread) in clients {
        record.note(format!("client {client} of key {key}: {}", thread.join().unwrap_or_default()));
    }
    if let Some(status) = new.as_mut().and_then(Proxy::has_ended) {
        return Err(format!("the new process ended: {status}"));
    }
    let runs = runs.lock().unwrap();
    let (mut broken, mut compared) = (0, 0);
    for key in 0..KEYS {
        let (Some((first, Some(first_end))), Some((second, _))) = (runs.get(&(key, 0)), runs.get(&(key, 1)))
        else {
            record.note(format!("key {key}: not both of its writes came to a node"));
            continue;
        };
        compared += 1;
        if first < second && second < first_end {
            broken += 1;
            let early = (*first_end - *second).as_secs_f64();
            record.note(format!(
                "key {key}: the second write began {early:.3} s before the first had an outcome"
            ));
        }
    }
    record.note(format!("{broken} of {KEYS} keys had two writes out at once"));
    if compared == 0 {
        return Err("no key had two writes".to_string());
    }
    Ok(broken == 0)
}
