//! An upgrade while discovery is down: the old process was told that a cache node drains, the new one was not.

use crate::common::*;
use crate::platform::{Discovery, wait_until_ready};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const CACHES: usize = 3;
/// Discovery is down for 8 s.
const DOWN: Duration = Duration::from_secs(8);
/// "News of discovery binds from 2 s after the yes", the grace on drains of 1 s from then on, and 50 ms on sockets.
const BINDS_AFTER_MS: u64 = 3050;
const GRACE_MS: u64 = 1050;
const CLIENTS: usize = 4;

type Begun = Arc<Mutex<Vec<(Instant, String)>>>;

fn node(record: &Record, name: String, begun: &Begun) -> CaseResult<SocketAddr> {
    let (record, begun) = (record.clone(), begun.clone());
    http_server(Arc::new(move |line| {
        if line.contains("/api/") {
            record.note(format!("{name}: begins {line}"));
            begun.lock().unwrap().push((Instant::now(), line.to_string()));
        }
        sleep(ms(10));
        http_ok("value")
    }))
}

fn config(listen: SocketAddr, console: SocketAddr, discovery: SocketAddr, known: &str, seed: u64) -> String {
    format!(
        r#"{{"name":"n1","listen":"{listen}","console":"{console}","discovery":"{discovery}","seed":"{seed:x}",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},
 "settings":{{"az":"dc-sousse","zones":["dc-sousse"],"kinds":["full-node","origin"],"position":0,"balancers":1,
  "discovery":"subscribe","familyInfo":{{"mode":"aside","originKind":1}},
  "ceilings":{{"mostShots":6,"secondCopies":true,"cancelling":true,"probes":false,"retryAfter":true,
   "maxRetryAfterNs":2000000000,"connIdleNs":30000000000,"connectTimeoutNs":150000000}},
  "rules":{{"drainGraceNs":1000000000,"askEveryNs":10000000000}},
  "namespaces":[{{"name":"catalogue-page","idempotency":"free","targetTimeNs":300000000,"timeLimitNs":600000000,
   "utility":5,"overdueUtility":0}}]}}}}"#
    )
}

/// A client that asks for one key after the other, each on a new connection.
fn client(listen: SocketAddr, number: usize, stop: &AtomicBool, answered: &AtomicUsize, record: &Record) {
    let mut count = 0;
    while !stop.load(Ordering::SeqCst) {
        let Ok(mut stream) = TcpStream::connect_timeout(&listen, ms(1000)) else { continue };
        _ = stream.set_read_timeout(Some(ms(2000)));
        let head = format!(
            "GET /api/page-{number}-{count} HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {number}x{count}\r\n\
             X-Service-Class: catalogue-page\r\nX-Time-Left: 0.600\r\nConnection: close\r\n\r\n"
        );
        let answer = stream.write_all(head.as_bytes()).and_then(|()| read_http(&mut stream));
        if answer.is_ok() {
            answered.fetch_add(1, Ordering::SeqCst);
        }
        record.note(format!("client: GET page-{number}-{count} -> {:?}", answer.map(|(line, _)| line)));
        count += 1;
        sleep(ms(20));
    }
}

pub fn run(record: &Record) -> CaseResult<bool> {
    let folder = TempFolder::create()?;
    let logs: Vec<Begun> = (0..=CACHES).map(|_| Begun::default()).collect();
    let names =
        (0..=CACHES).map(|number| if number == CACHES { "s-origin".into() } else { format!("s-{number}") });
    let addrs =
        names.zip(&logs).map(|(name, log)| node(record, name, log)).collect::<CaseResult<Vec<_>>>()?;
    let ids: Vec<String> = (0..CACHES).map(|number| format!("s-{number}")).collect();
    let mut servers: Vec<_> =
        ids.iter().zip(&addrs).map(|(id, addr)| (id.as_str(), *addr, "full-node")).collect();
    servers.push(("s-origin", addrs[CACHES], "origin"));
    let discovery = Discovery::start(record, "dc-sousse", &servers)?;
    let known = discovery.list(None);
    let socket = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    let listen = socket.local_addr().map_err(|error| error.to_string())?;
    let consoles = [free_addr()?, free_addr()?];
    let file = |number: usize| {
        let text = config(listen, consoles[number], discovery.addr, &known, 0x5eed + number as u64);
        folder.write(&format!("config-{number}.json"), &text)
    };
    let mut old = Proxy::start_with_socket(record, &folder, &file(0)?, &socket, "the old process")?;
    wait_until_ready(&mut old, consoles[0])?;
    let (stop, answered) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (stop, answered) = (stop.clone(), answered.clone());
            let record = record.clone();
            spawn(move || client(listen, number, &stop, &answered, &record))
        })
        .collect();
    sleep(ms(1500));
    discovery.set_state("s-0", "DRAINING");
    let told_at = Instant::now();
    sleep(ms(1500));
    let quiet = logs[0].lock().unwrap().iter().filter(|(at, _)| *at > told_at + ms(GRACE_MS)).count();
    record.note(format!("s-0 got {quiet} requests later than the grace, from the old process"));
    let down_at = Instant::now();
    if trouble() {
        discovery.set_up(false);
    }
    sleep(ms(100));
    let mut new = Proxy::start_with_socket(record, &folder, &file(1)?, &socket, "the new process")?;
    wait_until_ready(&mut new, consoles[1])?;
    let yes_at = Instant::now();
    record.note("operator: the new process says that it is ready");
    old.signal("TERM")?;
    sleep(DOWN.saturating_sub(down_at.elapsed()));
    let back_at = Instant::now();
    if trouble() {
        discovery.set_up(true);
    }
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| _ = client.join());
    if let Some(status) = new.has_ended() {
        return Err(format!("the new process ended: {status}"));
    }
    record.note(format!("{} requests answered", answered.load(Ordering::SeqCst)));
    let begun = logs[0].lock().unwrap();
    let binding_from = (yes_at + ms(BINDS_AFTER_MS)).max(told_at + ms(GRACE_MS));
    let late: Vec<_> = begun.iter().filter(|(at, _)| *at > binding_from && *at < back_at).collect();
    for (at, line) in late.iter().take(10) {
        let since = |from: Instant| (*at - from).as_secs_f64();
        record.note(format!(
            "s-0 got {line} {:.3} s after the drain was told, {:.3} s after the yes",
            since(told_at),
            since(yes_at)
        ));
    }
    record.note(format!("s-0, which drains, got {} requests from 3.05 s after the yes on", late.len()));
    Ok(late.is_empty() && quiet == 0)
}
