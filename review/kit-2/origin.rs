//! The origin is replaced: its entry goes, and a new one comes two seconds later. In between a cache node joins.

use crate::common::*;
use crate::platform::Discovery;
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

const WRITES: usize = 40;
const BETWEEN_WRITES: Duration = Duration::from_millis(100);
/// The writes before which the list changes: the old origin drains, is gone, a cache node joins, a new origin comes.
const DRAINS: usize = 8;
const GONE: usize = 18;
const JOINS: usize = 22;
const BACK: usize = 32;

type Store = Arc<Mutex<HashMap<String, String>>>;

fn key_of(line: &str) -> Option<String> {
    Some(line.split(' ').nth(1)?.strip_prefix("/api/")?.to_string())
}

/// A cache node or an origin. A cache node has a store of its own; all origins have one behind them. Both store what is
/// written to them; a cache node answers a key that it lacks with a miss.
fn node(record: &Record, name: &'static str, store: &Store) -> CaseResult<SocketAddr> {
    let (record, store) = (record.clone(), store.clone());
    http_server(Arc::new(move |line, body| {
        let Some(key) = key_of(line) else { return http_ok("") };
        if line.starts_with("PUT") {
            let value = String::from_utf8_lossy(body).to_string();
            record.note(format!("{name}: runs {line}"));
            store.lock().unwrap().insert(key, value);
            return http_ok("stored");
        }
        let value = store.lock().unwrap().get(&key).cloned();
        record.note(format!("{name}: {line} -> {value:?}"));
        value.map_or(HTTP_MISS.to_vec(), |value| http_ok(&value))
    }))
}

fn config(listen: SocketAddr, discovery: SocketAddr, known: &str) -> String {
    format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},
 "settings":{{"az":"dc-sousse","zones":["dc-sousse"],"kinds":["full-node","origin"],"position":0,"balancers":1,
  "discovery":"subscribe","familyInfo":{{"mode":"aside","originKind":1}},
  "ceilings":{{"mostShots":6,"secondCopies":true,"cancelling":true,"probes":false,"retryAfter":true,
   "maxRetryAfterNs":2000000000,"connIdleNs":30000000000,"connectTimeoutNs":150000000}},
  "rules":{{"drainGraceNs":1000000000,"askEveryNs":10000000000}},
  "namespaces":[{{"name":"loan-record","idempotency":"guarded","group":"all","dedupWindowNs":1500000000,
   "targetTimeNs":1200000000,"timeLimitNs":2500000000,"utility":8,"overdueUtility":0}}]}}}}"#
    )
}

/// One request on a connection of its own; the status and the body of the answer.
fn call(listen: SocketAddr, method: &str, key: &str, id: &str, body: &str) -> CaseResult<(String, String)> {
    let mut stream = TcpStream::connect_timeout(&listen, ms(2000)).map_err(|error| error.to_string())?;
    _ = stream.set_read_timeout(Some(ms(5000)));
    let head = format!(
        "{method} /api/{key} HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id}\r\nX-Service-Class: loan-record\r\n\
         X-Time-Left: 2.500\r\nIdempotency-Key: {id}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).map_err(|error| error.to_string())?;
    let (line, body) = read_http(&mut stream).map_err(|error| error.to_string())?;
    let status = line.split(' ').nth(1).unwrap_or("").to_string();
    Ok((status, String::from_utf8_lossy(&body).to_string()))
}

pub fn run(record: &Record) -> CaseResult<bool> {
    let folder = TempFolder::create()?;
    let (library, caches) = (Store::default(), [Store::default(), Store::default(), Store::default()]);
    for number in 0..WRITES {
        library.lock().unwrap().insert(format!("loan-{number}"), "before".to_string());
    }
    let cache_addrs = [
        node(record, "cache 0", &caches[0])?,
        node(record, "cache 1", &caches[1])?,
        node(record, "cache 2", &caches[2])?,
    ];
    let origins = [node(record, "old origin", &library)?, node(record, "new origin", &library)?];
    let servers = [
        ("s-0", cache_addrs[0], "full-node"),
        ("s-origin-1", origins[0], "origin"),
        ("s-1", cache_addrs[1], "full-node"),
    ];
    let discovery = Discovery::start(record, "dc-sousse", &servers)?;
    let listen = free_addr()?;
    let text = config(listen, discovery.addr, &discovery.list(None));
    let mut proxy = Proxy::start(record, &folder, &folder.write("config.json", &text)?, "")?;
    proxy.wait_until_up(listen)?;
    // The first watch is open by then.
    sleep(ms(4000));
    let mut acknowledged = Vec::new();
    for number in 0..WRITES {
        match number {
            DRAINS if trouble() => discovery.set_state("s-origin-1", "DRAINING"),
            GONE if trouble() => discovery.set_state("s-origin-1", "DELETED"),
            JOINS => discovery.add("s-2", cache_addrs[2], "full-node"),
            BACK if trouble() => discovery.add("s-origin-2", origins[1], "origin"),
            _ => {}
        }
        sleep(BETWEEN_WRITES);
        let (key, value) = (format!("loan-{number}"), format!("lent-{number}"));
        let (status, _) = call(listen, "PUT", &key, &format!("a{number}"), &value)?;
        record.note(format!("client: PUT {key} {value} -> {status}"));
        if status == "200" {
            acknowledged.push((key, value));
        }
    }
    sleep(ms(500));
    let lost: Vec<_> = {
        let library = library.lock().unwrap();
        acknowledged.iter().filter(|(key, value)| library.get(key) != Some(value)).cloned().collect()
    };
    for (key, value) in &lost {
        let (status, read) = call(listen, "GET", key, &format!("b{key}"), "")?;
        record.note(format!("the origin never got {key} {value}; client: GET {key} -> {status} {read}"));
    }
    record.note(format!(
        "{} of {WRITES} writes answered 200, {} of them never came to an origin",
        acknowledged.len(),
        lost.len()
    ));
    if let Some(status) = proxy.has_ended() {
        return Err(format!("the proxy ended: {status}"));
    }
    Ok(lost.is_empty())
}
