//! A long outage of discovery, whose calls end with 503 after a wait. Soon after its end a cache node drains.

use crate::common::*;
use crate::platform::Discovery;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const PROXIES: usize = 20;
const CACHES: usize = 3;
const OUTAGE: Duration = Duration::from_secs(78);
const CALM: Duration = Duration::from_secs(8);
/// "works through calls in turn. A call that fails, because it waited too long": 2 s at the deployment's list.
const QUEUE: Duration = Duration::from_secs(2);
const DRAIN_AFTER_MS: u64 = 200;
/// Told 6 s after discovery had it, a grace of 1 s, and 0.2 s more.
const LIMIT: Duration = Duration::from_millis(7200);
/// The longest rest between two calls is 12 s.
const WATCHED: Duration = Duration::from_millis(13_000);

type Begun = Arc<Mutex<Vec<(Instant, String)>>>;

fn node(begun: &Begun) -> CaseResult<SocketAddr> {
    let begun = begun.clone();
    http_server(Arc::new(move |line| {
        if line.contains("/api/") {
            begun.lock().unwrap().push((Instant::now(), line.to_string()));
        }
        sleep(ms(5));
        http_ok("value")
    }))
}

fn config(number: usize, listen: SocketAddr, discovery: SocketAddr, known: &str) -> String {
    format!(
        r#"{{"name":"n{number}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5b{number:04x}",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},
 "settings":{{"az":"dc-sousse","zones":["dc-sousse"],"kinds":["full-node","origin"],"position":{number},
  "balancers":{PROXIES},"discovery":"subscribe","familyInfo":{{"mode":"aside","originKind":1}},
  "ceilings":{{"mostShots":6,"secondCopies":true,"cancelling":true,"probes":false,"retryAfter":true,
   "maxRetryAfterNs":2000000000,"connIdleNs":30000000000,"connectTimeoutNs":150000000}},
  "rules":{{"drainGraceNs":1000000000,"askEveryNs":10000000000}},
  "namespaces":[{{"name":"catalogue-page","idempotency":"free","targetTimeNs":300000000,"timeLimitNs":600000000,
   "utility":5,"overdueUtility":0}}]}}}}"#
    )
}

/// A client of one proxy, which asks for one key after the other.
fn client(listen: SocketAddr, number: usize, stop: &AtomicBool, answered: &AtomicUsize) {
    let mut stream: Option<TcpStream> = None;
    let mut count = 0;
    while !stop.load(Ordering::SeqCst) {
        count += 1;
        sleep(ms(60));
        if stream.is_none() {
            stream = TcpStream::connect_timeout(&listen, ms(1000)).ok();
        }
        let Some(open) = &mut stream else { continue };
        _ = open.set_read_timeout(Some(ms(2000)));
        let head = format!(
            "GET /api/page-{number}-{count} HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {number}x{count}\r\n\
             X-Service-Class: catalogue-page\r\nX-Time-Left: 0.600\r\n\r\n"
        );
        match open.write_all(head.as_bytes()).and_then(|()| read_http(open)) {
            Ok(_) => _ = answered.fetch_add(1, Ordering::SeqCst),
            Err(_) => stream = None,
        }
    }
}

pub fn run(record: &Record) -> CaseResult<bool> {
    let folder = TempFolder::create()?;
    let logs: Vec<Begun> = (0..=CACHES).map(|_| Begun::default()).collect();
    let addrs = logs.iter().map(node).collect::<CaseResult<Vec<_>>>()?;
    let ids: Vec<String> = (0..CACHES).map(|number| format!("s-{number}")).collect();
    let mut servers: Vec<_> =
        ids.iter().zip(&addrs).map(|(id, addr)| (id.as_str(), *addr, "full-node")).collect();
    servers.push(("s-origin", addrs[CACHES], "origin"));
    let discovery = Discovery::start(record, "dc-sousse", &servers)?;
    let known = discovery.list(None);
    let mut proxies = Vec::new();
    for number in 0..PROXIES {
        let listen = free_addr()?;
        let text = config(number, listen, discovery.addr, &known);
        let file = folder.write(&format!("config-{number}.json"), &text)?;
        proxies.push((Proxy::start_named(record, &folder, &file, &format!("proxy-{number}"))?, listen));
    }
    for (proxy, listen) in &mut proxies {
        proxy.wait_until_up(*listen)?;
    }
    let (stop, answered) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let clients: Vec<_> = proxies
        .iter()
        .enumerate()
        .map(|(number, (_, listen))| {
            let (listen, stop, answered) = (*listen, stop.clone(), answered.clone());
            spawn(move || client(listen, number, &stop, &answered))
        })
        .collect();
    // All proxies have called by then.
    sleep(ms(4000));
    if trouble() {
        discovery.set_refusing(Some(QUEUE));
        sleep(OUTAGE);
        let refused = discovery.set_refusing(None);
        record.note(format!("discovery: {refused} calls were refused"));
    } else {
        sleep(CALM);
    }
    sleep(ms(DRAIN_AFTER_MS));
    discovery.set_state("s-0", "DRAINING");
    let drained_at = Instant::now();
    sleep(WATCHED);
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| _ = client.join());
    if let Some(status) = proxies.iter_mut().find_map(|(proxy, _)| proxy.has_ended()) {
        return Err(format!("a proxy ended: {status}"));
    }
    record.note(format!("{} requests answered", answered.load(Ordering::SeqCst)));
    let begun = logs[0].lock().unwrap();
    let late: Vec<_> = begun.iter().filter(|(at, _)| *at > drained_at + LIMIT).collect();
    for (at, line) in late.iter().take(20) {
        record.note(format!("s-0 got {line} {:.3} s after it drains", (*at - drained_at).as_secs_f64()));
    }
    let last = begun
        .iter()
        .map(|(at, _)| at.saturating_duration_since(drained_at).as_secs_f64())
        .fold(0.0, f64::max);
    record.note(format!(
        "s-0 got {} requests later than 7.2 s after it drains, the last after {last:.3} s",
        late.len()
    ));
    Ok(late.is_empty())
}
