//! Case 3: a RESP command with keys of two namespaces. One proxy before a cluster of three primaries
//! with a replica each; keys that begin with "loan:" are single-use. Some connections to servers are
//! reset under commands that have run.

#[path = "../kit/mod.rs"]
mod kit;

use kit::*;
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

const PRIMARIES: usize = 3;
const USERS: usize = 24;
/// Every so many users' first command at a server ends with a reset in place of its answer.
const RESET_EVERY: usize = 6;

/// Reads one RESP array of bulk strings.
fn read_command(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Vec<String>> {
    let line = |stream: &mut TcpStream, buffer: &mut Vec<u8>| loop {
        if let Some(end) = buffer.windows(2).position(|window| window == b"\r\n") {
            let line = String::from_utf8_lossy(&buffer[..end]).to_string();
            buffer.drain(..end + 2);
            return Some(line);
        }
        read_some(stream, buffer)?;
    };
    let count: usize = line(stream, buffer)?.strip_prefix('*')?.parse().ok()?;
    let mut words = Vec::new();
    for _ in 0..count {
        let length: usize = line(stream, buffer)?.strip_prefix('$')?.parse().ok()?;
        while buffer.len() < length + 2 {
            read_some(stream, buffer)?;
        }
        words.push(String::from_utf8_lossy(&buffer[..length]).to_string());
        buffer.drain(..length + 2);
    }
    Some(words)
}

fn slot(key: &str) -> usize {
    let tag = key.split_once('{').and_then(|(_, rest)| rest.split_once('}')).map_or(key, |(tag, _)| tag);
    let crc = tag.bytes().fold(0u16, |crc, byte| {
        (0..8).fold(crc ^ (u16::from(byte) << 8), |crc, _| {
            if crc & 0x8000 != 0 { (crc << 1) ^ 0x1021 } else { crc << 1 }
        })
    });
    usize::from(crc % 16384)
}

fn owner(slot: usize) -> usize {
    slot * PRIMARIES / 16384
}

/// What the servers of the cluster share: the addresses (primaries first), and how often each write
/// of a key has run.
struct Cluster {
    addresses: Vec<SocketAddr>,
    trouble: bool,
    runs: Mutex<HashMap<(String, String), usize>>,
}

impl Cluster {
    fn nodes(&self) -> String {
        let mut text = String::new();
        for (node, address) in self.addresses.iter().enumerate() {
            let primary = node % PRIMARIES;
            let id = format!("{node:040x}");
            if node < PRIMARIES {
                let first = (0..16384).find(|slot| owner(*slot) == primary).unwrap();
                let last = (0..16384).rfind(|slot| owner(*slot) == primary).unwrap();
                text += &format!("{id} {address}@1 master - 0 0 {} connected {first}-{last}\n", node + 1);
            } else {
                text += &format!("{id} {address}@1 slave {primary:040x} 0 0 {} connected\n", primary + 1);
            }
        }
        text
    }

    /// Whether the connection is to be reset in place of the answer.
    fn resets(&self, value: &str) -> bool {
        let user = value.rsplit('-').next().and_then(|user| user.parse::<usize>().ok()).unwrap_or(1);
        self.trouble && user % RESET_EVERY == 0
    }

    /// Serves one connection as a server of the public dialect does.
    fn serve(&self, node: usize, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(words) = read_command(&mut stream, &mut buffer) {
            let name = words[0].to_uppercase();
            let answer = match name.as_str() {
                "CLUSTER" => {
                    let nodes = self.nodes();
                    format!("${}\r\n{nodes}\r\n", nodes.len())
                }
                "PING" => "+PONG\r\n".into(),
                "READONLY" | "ASKING" => "+OK\r\n".into(),
                "SET" | "MSET" => {
                    let slot = slot(&words[1]);
                    if owner(slot) != node {
                        format!("-MOVED {slot} {}\r\n", self.addresses[owner(slot)])
                    } else {
                        let mut first_run = false;
                        for pair in words[1..].chunks_exact(2) {
                            let mut runs = self.runs.lock().unwrap();
                            let count = runs.entry((pair[0].clone(), pair[1].clone())).or_default();
                            *count += 1;
                            first_run |= *count == 1;
                            record(&format!(
                                "server {node}: runs {name}, writes {} = {}, run {count}",
                                pair[0], pair[1]
                            ));
                        }
                        if first_run && self.resets(&words[2]) {
                            record(&format!("server {node}: its connection is reset before the answer"));
                            return;
                        }
                        "+OK\r\n".into()
                    }
                }
                "GET" => "$-1\r\n".into(),
                _ => "-ERR unknown command\r\n".into(),
            };
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

fn command(words: &[&str]) -> Vec<u8> {
    let mut text = format!("*{}\r\n", words.len());
    for word in words {
        text += &format!("${}\r\n{word}\r\n", word.len());
    }
    text.into_bytes()
}

/// Sends one command on a kept connection and returns the one-line answer.
fn ask(stream: &mut TcpStream, buffer: &mut Vec<u8>, words: &[&str]) -> String {
    if stream.write_all(&command(words)).is_err() {
        return "connection closed".into();
    }
    loop {
        if let Some(end) = buffer.windows(2).position(|window| window == b"\r\n") {
            let line = String::from_utf8_lossy(&buffer[..end]).to_string();
            buffer.drain(..end + 2);
            return line;
        }
        if read_some(stream, buffer).is_none() {
            return "connection closed".into();
        }
    }
}

fn configuration(listen: SocketAddr) -> String {
    let class = |name: &str, effect: &str, aim: u64, limit: u64| {
        format!(
            r#"{{"name":"{name}","idempotency":"{effect}","group":"all","dedupWindowNs":1500000000,"targetTimeNs":{},"timeLimitNs":{},"utility":5.0,"overdueUtility":0.0,"streaming":false}}"#,
            aim * 1_000_000,
            limit * 1_000_000
        )
    };
    let classes =
        [class("catalogue-page", "free", 300, 600), class("loan-record", "single_shot", 1200, 2500)]
            .join(",");
    format!(
        r#"{{"name":"p1","listen":"{listen}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"settings":{{"az":"dc-sousse","zones":["dc-sousse"],"kinds":["cache"],"balancers":1,"position":0,"discovery":"subscribe",
"familyInfo":{{"mode":"through","originKind":-1}},
"ceilings":{{"mostShots":6,"secondCopies":true,"cancelling":true,"probes":true,"peers":false,"retryAfter":true,"maxRetryAfterNs":2000000000,"connIdleNs":30000000000,"connectTimeoutNs":150000000}},
"rules":{{"drainGraceNs":1000000000,"askEveryNs":10000000000}},
"namespaces":[{classes}]}}}}"#
    )
}

fn main() {
    let trouble = begin(60);
    let run = run_command();
    let folder = temporary_folder();
    let listeners: Vec<_> = (0..2 * PRIMARIES).map(|_| listen()).collect();
    let addresses: Vec<SocketAddr> = listeners.iter().map(|(_, address)| *address).collect();
    let cluster = Arc::new(Cluster { addresses: addresses.clone(), trouble, runs: Mutex::default() });
    for (node, (listener, _)) in listeners.into_iter().enumerate() {
        let cluster = cluster.clone();
        serve(listener, move |stream| cluster.serve(node, stream));
    }
    let (address, resp_address) = (free_address(), free_address());
    let (config, operator) = (folder.join("config.json"), folder.join("operator.toml"));
    std::fs::write(&config, configuration(address)).unwrap();
    let seeds =
        addresses[..PRIMARIES].iter().map(|seed| format!("\"{seed}\"")).collect::<Vec<_>>().join(", ");
    let operator_file = format!(
        "version = 1\n\n[resp]\nlisten = \"{resp_address}\"\nseeds = [{seeds}]\nnamespace = \"catalogue-page\"\n\n\
         [[resp.prefix]]\nprefix = \"loan:\"\nnamespace = \"loan-record\"\n\n[end]\n"
    );
    std::fs::write(&operator, operator_file).unwrap();
    let environment = [
        ("ROUTER_NAME", "p1".to_string()),
        ("ROUTER_LISTEN", address.to_string()),
        ("ROUTER_CONFIG", config.display().to_string()),
        ("TMPDIR", folder.display().to_string()),
    ];
    let command_line = format!("{run} --operator {}", operator.display());
    let mut proxy = start(&command_line, &environment, None, &folder.join("proxy.log"));
    let connect = || {
        let stream = TcpStream::connect(resp_address).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        Some(stream)
    };
    let ready = wait_for(Duration::from_secs(20), || {
        connect()
            .is_some_and(|mut stream| ask(&mut stream, &mut Vec::new(), &["GET", "page:{ready}"]) == "$-1")
    });
    if !ready {
        finish(NOT_RUN, "not run: the proxy did not get ready");
    }
    let Some(mut stream) = connect() else { finish(NOT_RUN, "not run: no connection to the proxy") };
    let mut buffer = Vec::new();
    let mut answered = 0;
    for user in 0..USERS {
        // A loan alone, and a loan together with the page that shows it: all keys are in one slot.
        let (page, loan) = (format!("page:{{u{user}}}"), format!("loan:{{u{user}}}"));
        let (alone, shown, value) =
            (format!("alone-{user}"), format!("shown-{user}"), format!("both-{user}"));
        for words in [vec!["SET", &loan, &alone], vec!["MSET", &page, &shown, &loan, &value]] {
            let answer = ask(&mut stream, &mut buffer, &words);
            record(&format!("client: {} gets {answer}", words.join(" ")));
            answered += usize::from(answer.starts_with('+') || answer.starts_with('-'));
            if answer == "connection closed" {
                match connect() {
                    Some(next) => (stream, buffer) = (next, Vec::new()),
                    None => finish(NOT_RUN, "not run: the proxy is gone"),
                }
            }
        }
        sleep(Duration::from_millis(20));
    }
    if let Some(status) = has_ended(&mut proxy) {
        finish(NOT_RUN, &format!("not run: the proxy ended by itself, {status}"));
    }
    let runs = cluster.runs.lock().unwrap();
    let mut twice: Vec<_> =
        runs.iter().filter(|((key, _), count)| key.starts_with("loan:") && **count > 1).collect();
    twice.sort();
    for ((key, value), count) in &twice {
        record(&format!("single-use key {key}: the one write of {value} has run {count} times"));
    }
    if answered < USERS {
        finish(NOT_RUN, &format!("not run: only {answered} commands were answered"));
    }
    match twice.len() {
        0 => finish(
            HELD,
            &format!("held: {answered} commands answered, no write of a single-use key ran twice"),
        ),
        count => finish(BROKEN, &format!("broken: {count} writes of single-use keys ran more than once")),
    }
}
