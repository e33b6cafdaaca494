//! The RESP frontend of one proxy process on loopback, between two scripted servers and clients
//! that also send malformed commands, disconnect early or never read.

#[path = "resp/guarantees.rs"]
mod guarantees;
#[path = "resp/leaving.rs"]
mod leaving;
#[path = "resp/long_replies.rs"]
mod long_replies;
#[path = "resp/many_clients.rs"]
mod many_clients;
#[path = "resp/replaced_servers.rs"]
mod replaced_servers;
#[path = "resp/shutdown.rs"]
mod shutdown;

use expect_test::expect;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const LONG_VALUE_BYTES: usize = 1_000_000;

type CommandLog = Arc<Mutex<Vec<String>>>;

/// Reads the words of one command. The proxy sends commands to servers only as RESP arrays.
fn read_command(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Vec<String>> {
    loop {
        let text = String::from_utf8_lossy(buf).to_string();
        let parts: Vec<&str> = text.split("\r\n").collect();
        if let Some(count) = parts[0].strip_prefix('*').and_then(|n| n.parse::<usize>().ok())
            && parts.len() > 2 * count + 1
        {
            let words: Vec<String> = (0..count).map(|i| parts[2 + 2 * i].to_string()).collect();
            let len: usize = parts[..=2 * count].iter().map(|p| p.len() + 2).sum();
            buf.drain(..len);
            return Some(words);
        }
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk) {
            Ok(n @ 1..) => buf.extend(&chunk[..n]),
            _ => return None,
        }
    }
}

/// Runs a scripted server, whose response depends on the prefix of the key. If `owns` is set, this
/// server owns all slots, otherwise the server at `other` does.
fn server(listener: TcpListener, name: &'static str, other: SocketAddr, owns: bool, commands: CommandLog) {
    let own = listener.local_addr().unwrap();
    let (first, second) = if owns { (own, other) } else { (other, own) };
    spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let commands = commands.clone();
            spawn(move || {
                let (mut buf, mut asking) = (Vec::new(), false);
                while let Some(words) = read_command(&mut stream, &mut buf) {
                    let key = words.get(1).cloned().unwrap_or_default();
                    if words[0] != "CLUSTER" && words[0] != "PING" {
                        commands.lock().unwrap().push(format!("{name}: {}", words.join(" ")));
                    }
                    let answer = match words[0].as_str() {
                        "CLUSTER" => {
                            let nodes = format!(
                                "a {first}@1 master - 0 0 1 connected 0-16383\nb {second}@1 master - 0 0 1 connected\n"
                            );
                            format!("${}\r\n{nodes}\r\n", nodes.len())
                        }
                        "PING" => "+PONG\r\n".into(),
                        "ASKING" => {
                            asking = true;
                            "+OK\r\n".into()
                        }
                        _ if owns && key.starts_with("ask") => {
                            format!("-ASK 0 {other}\r\n").replace(" 0 ", &format!(" {} ", slot(&key)))
                        }
                        _ if owns && key.starts_with("moved") => format!("-MOVED {} {other}\r\n", slot(&key)),
                        _ if !owns && key.starts_with("ask") && !std::mem::take(&mut asking) => {
                            format!("-MOVED {} {other}\r\n", slot(&key))
                        }
                        _ if key.starts_with("circle") => format!("-MOVED {} {other}\r\n", slot(&key)),
                        _ if key.starts_with("again") => "-TRYAGAIN keys on both sides\r\n".into(),
                        _ if key.starts_with("type") => "-WRONGTYPE not a string\r\n".into(),
                        _ if key.starts_with("breaks") => return,
                        _ if key.contains("hangs") => {
                            _ = stream.read(&mut [0]);
                            return;
                        }
                        _ if key.starts_with("slow") => {
                            sleep(Duration::from_millis(150));
                            "+slow\r\n".into()
                        }
                        _ if key.starts_with("drip") => drip(&mut stream, key.contains("broken")),
                        "SET" | "MSET" => "+OK\r\n".into(),
                        "MGET" => {
                            let values: String =
                                words[1..].iter().map(|k| format!("${}\r\n{k}\r\n", k.len())).collect();
                            format!("*{}\r\n{values}", words.len() - 1)
                        }
                        _ if key.starts_with("long") => {
                            format!("${LONG_VALUE_BYTES}\r\n{}\r\n", "v".repeat(LONG_VALUE_BYTES))
                        }
                        _ if key.starts_with("none") => "$-1\r\n".into(),
                        _ => format!("${}\r\n{key}\r\n", key.len()),
                    };
                    if stream.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// Writes a long value over 1.2 s, all but its last part, which is returned. A broken one ends early.
fn drip(stream: &mut TcpStream, broken: bool) -> String {
    const PARTS: usize = 12;
    _ = stream.write_all(format!("${LONG_VALUE_BYTES}\r\n").as_bytes());
    let part = vec![b'v'; LONG_VALUE_BYTES / PARTS];
    for _ in 0..PARTS {
        _ = stream.write_all(&part);
        sleep(Duration::from_millis(100));
    }
    if broken {
        _ = stream.shutdown(std::net::Shutdown::Both);
    }
    "v".repeat(LONG_VALUE_BYTES - PARTS * part.len()) + "\r\n"
}

/// Returns the slot of a key: CRC16 bit by bit, independent of the implementation under test.
fn slot(key: &str) -> u16 {
    let tag = key.split_once('{').and_then(|(_, k)| k.split_once('}')).map_or(key, |(k, _)| k);
    tag.bytes().fold(0u16, |crc, b| {
        (0..8)
            .fold(crc ^ (u16::from(b) << 8), |c, _| if c & 0x8000 != 0 { (c << 1) ^ 0x1021 } else { c << 1 })
    }) % 16384
}

struct ProxySetup {
    proxy: Child,
    resp_addr: SocketAddr,
    commands: CommandLog,
}

fn unique_addr(nth: usize) -> SocketAddr {
    let pid = std::process::id() as usize;
    format!("127.{}.{}.{}:3100", 1 + pid % 250, pid / 250 % 250, 1 + nth % 250).parse().unwrap()
}

impl ProxySetup {
    fn new(extra_operator_toml: &str) -> ProxySetup {
        ProxySetup::with_memory_limit(extra_operator_toml, None)
    }

    /// A proxy that learns of its servers from this one, in place of the scripted servers.
    fn with_seed(seed: SocketAddr) -> ProxySetup {
        ProxySetup::with_options("", None, Some(seed))
    }

    /// A proxy whose process may hold so many megabytes.
    fn with_memory_limit(extra_operator_toml: &str, memory_mb: Option<usize>) -> ProxySetup {
        ProxySetup::with_options(extra_operator_toml, memory_mb, None)
    }

    fn with_options(
        extra_operator_toml: &str,
        memory_mb: Option<usize>,
        seed: Option<SocketAddr>,
    ) -> ProxySetup {
        static NTH: AtomicUsize = AtomicUsize::new(0);
        let nth = NTH.fetch_add(2, Ordering::SeqCst);
        let commands = CommandLog::default();
        let (a, b) = (TcpListener::bind("127.0.0.1:0").unwrap(), TcpListener::bind("127.0.0.1:0").unwrap());
        let (addr_a, addr_b) = (a.local_addr().unwrap(), b.local_addr().unwrap());
        server(a, "a", addr_b, true, commands.clone());
        server(b, "b", addr_a, false, commands.clone());
        let namespace = |name: &str, repeats: &str| {
            json!({"name": name, "idempotency": repeats, "group": "all", "dedupWindowNs": 300_000_000u64,
                "targetTimeNs": 500_000_000u64, "timeLimitNs": 600_000_000u64, "utility": 1.0, "overdueUtility": 0.0})
        };
        let mut ordered = namespace("ordered", "single_shot");
        ordered["keepOrder"] = true.into();
        // Commands that wait for their turn are answered in time on a busy machine, too.
        ordered["targetTimeNs"] = 5_000_000_000u64.into();
        ordered["timeLimitNs"] = 6_000_000_000u64.into();
        let mut configuration = json!({"name": "p", "listen": unique_addr(nth).to_string(), "seed": "5eed", "limits": {"sockets": 1024},
            "settings": {"az": "here", "zones": ["here"], "kinds": ["cache", "origin"], "discovery": "subscribe",
                "familyInfo": {"mode": "aside", "originKind": 1},
                "ceilings": {"mostShots": 6, "secondCopies": false, "cancelling": true, "probes": true, "retryAfter": true,
                    "maxRetryAfterNs": 2_000_000_000u64, "connIdleNs": 30_000_000_000u64, "connectTimeoutNs": 150_000_000},
                "rules": {"drainGraceNs": 1_000_000_000},
                "namespaces": [namespace("page", "free"), namespace("once", "single_shot"), ordered]}});
        if let Some(memory_mb) = memory_mb {
            configuration["limits"]["memory_mb"] = memory_mb.into();
        }
        let resp_addr = unique_addr(nth + 1);
        let operator = format!(
            "version = 1\n[resp]\nlisten = \"{resp_addr}\"\nseeds = [\"{}\"]\nnamespace = \"page\"\n{}[[resp.prefix]]\n\
             prefix = \"breaks:once\"\nnamespace = \"once\"\n{}[end]\n",
            seed.unwrap_or(addr_a),
            if extra_operator_toml.starts_with('[') { "" } else { extra_operator_toml },
            if extra_operator_toml.starts_with('[') { extra_operator_toml } else { "" },
        );
        let file = |name: &str, text: String| {
            let path = format!("{}/{}-resp-{nth}.{name}", env!("CARGO_TARGET_TMPDIR"), std::process::id());
            std::fs::write(&path, text).unwrap();
            path
        };
        let (config, operator) = (file("json", configuration.to_string()), file("toml", operator));
        let proxy = Command::new(env!("CARGO_BIN_EXE_chalkwalk"))
            .args(["serve", "--config", &config, "--operator", &operator])
            .stderr(std::process::Stdio::null())
            .spawn()
            .unwrap();
        let setup = ProxySetup { proxy, resp_addr, commands };
        let end = Instant::now() + Duration::from_secs(20);
        // Until the proxy has loaded the slot map, it rejects every command.
        while !setup.is_ready() && Instant::now() < end {
            sleep(Duration::from_millis(10));
        }
        setup.commands.lock().unwrap().clear();
        setup
    }

    /// Whether the proxy has loaded the slot map.
    fn is_ready(&self) -> bool {
        let reply = self.request("AUTH lib s3\r\nGET ready\r\n");
        reply.contains("\r\n$5\r\n") || reply.contains("\r\n+")
    }

    fn connect(&self) -> Option<TcpStream> {
        let stream = TcpStream::connect(self.resp_addr).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        Some(stream)
    }

    /// Sends the text, shuts down the sending side, and reads until the proxy closes.
    fn request(&self, text: &str) -> String {
        let Some(mut stream) = self.connect() else { return String::new() };
        stream.write_all(text.as_bytes()).unwrap();
        stream.shutdown(std::net::Shutdown::Write).unwrap();
        let mut output = Vec::new();
        _ = stream.read_to_end(&mut output);
        String::from_utf8_lossy(&output).to_string()
    }

    fn take_commands(&self) -> String {
        std::mem::take(&mut *self.commands.lock().unwrap()).join("\n") + "\n"
    }
}

impl Drop for ProxySetup {
    fn drop(&mut self) {
        _ = self.proxy.kill();
        _ = self.proxy.wait();
    }
}

/// Removes the retry delay, which is random, from the text of a rejection, and joins the lines.
fn without_retry_delay(text: &str) -> String {
    let lines = text.split("\r\n").map(|l| match l.split_once(", come back in ") {
        Some((head, _)) => format!("{head}, come back later"),
        None => l.to_string(),
    });
    lines.collect::<Vec<_>>().join("\n")
}

/// Sends each line to a new proxy, and returns the responses and what the servers received.
fn run_redirections() -> String {
    let setup = ProxySetup::new("");
    let mut observed = String::new();
    for command in [
        "SET a 1",
        "GET a",
        "GET none",
        "GET ask:1",
        "GET ask:1",
        "GET moved:1",
        "GET moved:1",
        "GET again:1",
        "GET type:1",
        "MGET {x}a {y}b",
        "FLUSHALL",
    ] {
        observed += &format!(
            "> {command}\n{}{}",
            without_retry_delay(&setup.request(&format!("{command}\r\n"))),
            setup.take_commands()
        );
    }
    observed
}

#[test]
fn redirections_are_followed_and_other_resp_errors_are_passed_on() {
    // The sequence is expected to have one rejection. On a busy machine a server may be delayed by
    // 50 ms: the proxy then treats it as silent and rejects another request, and the whole sequence
    // runs again.
    let mut observed = run_redirections();
    for _ in 0..5 {
        if observed.matches("deferred").count() == 1 {
            break;
        }
        observed = run_redirections();
    }
    expect![[r#"
        > SET a 1
        +OK
        a: SET a 1
        > GET a
        $1
        a
        a: GET a
        > GET none
        $-1
        a: GET none
        > GET ask:1
        $5
        ask:1
        a: GET ask:1
        b: ASKING
        b: GET ask:1
        > GET ask:1
        $5
        ask:1
        a: GET ask:1
        b: ASKING
        b: GET ask:1
        > GET moved:1
        $7
        moved:1
        a: GET moved:1
        b: GET moved:1
        > GET moved:1
        $7
        moved:1
        b: GET moved:1
        > GET again:1
        -TRYAGAIN deferred, come back later
        a: GET again:1
        > GET type:1
        -WRONGTYPE not a string
        a: GET type:1
        > MGET {x}a {y}b
        -CROSSSLOT Keys in request don't hash to the same slot

        > FLUSHALL
        -ERR unknown command 'flushall'

    "#]]
    .assert_eq(&observed);
}

#[test]
fn a_redirection_loop_ends_and_a_command_that_may_have_run_is_not_retried() {
    let setup = ProxySetup::new("");
    let redirection_loop = without_retry_delay(&setup.request("GET circle:1\r\n"));
    let attempts = setup.take_commands().lines().count();
    let broken = setup.request("SET breaks:once:1 x\r\n") + &setup.request("GET breaks:1\r\n");
    expect![[r#"
        -TRYAGAIN deferred, come back later
        6 attempts
        -ERR abandoned: it may have run
        -TRYAGAIN deferred, come back later
        a: SET breaks:once:1 x
        a: GET breaks:1
        a: GET breaks:1
        a: GET breaks:1
        a: GET breaks:1
    "#]]
    .assert_eq(&format!(
        "{redirection_loop}{attempts} attempts\n{}{}",
        without_retry_delay(&broken),
        setup.take_commands()
    ));
}

#[test]
fn a_command_over_several_slots_is_split_where_the_operator_allows_it() {
    let setup = ProxySetup::new("split = true\n");
    let mut observed = String::new();
    for command in ["MGET a {a}b c", "MGET a again:1", "MSET {q}a 1 breaks:once:1 2"] {
        observed +=
            &format!("> {command}\n{}", without_retry_delay(&setup.request(&format!("{command}\r\n"))));
    }
    expect![[r#"
        > MGET a {a}b c
        *3
        $1
        a
        $4
        {a}b
        $1
        c
        > MGET a again:1
        -TRYAGAIN deferred, come back later
        > MSET {q}a 1 breaks:once:1 2
        -ERR abandoned: it may have run
    "#]]
    .assert_eq(&observed);
}

#[test]
fn a_pipeline_is_answered_in_order_and_a_slow_command_delays_no_attempt() {
    let setup = ProxySetup::new("");
    let started = Instant::now();
    let output =
        setup.request("GET slow:1\r\nGET b\r\nGET slow:2\r\nSET c 1\r\nGET c\r\nPING\r\nGET slow:3\r\n");
    let elapsed = started.elapsed();
    assert!(elapsed < Duration::from_millis(400), "three slow commands took {elapsed:?}");
    expect![[r#"
        +slow
        $1
        b
        +slow
        +OK
        $1
        c
        +PONG
        +slow
    "#]]
    .assert_eq(&without_retry_delay(&output));
    // A pipeline of a thousand commands gets all of its responses.
    let many: String = (0..1000).map(|i| format!("GET k{i}\r\n")).collect();
    let output = setup.request(&many);
    let expected: String = (0..1000).map(|i| format!("${}\r\nk{i}\r\n", format!("k{i}").len())).collect();
    assert!(output == expected, "received {} bytes, expected {}", output.len(), expected.len());
}

#[test]
fn a_client_that_disconnects_or_never_reads_blocks_no_other() {
    let setup = ProxySetup::new("");
    // One client sends a thousand commands to a server that hangs (the one that does not own the
    // slots) and disconnects. Another sends commands and never reads a response.
    let mut disconnected = setup.connect().unwrap();
    disconnected.write_all("GET moved:hangs\r\n".repeat(1000).as_bytes()).unwrap();
    let mut stalled = setup.connect().unwrap();
    stalled.set_write_timeout(Some(Duration::from_millis(300))).unwrap();
    let long = format!("GET {}\r\n", "x".repeat(4000));
    while stalled.write_all(long.as_bytes()).is_ok() {}
    drop(disconnected);
    let started = Instant::now();
    assert_eq!(setup.request("GET a\r\n"), "$1\r\na\r\n");
    assert!(started.elapsed() < Duration::from_millis(300));
    let status = std::fs::read_to_string(format!("/proc/{}/status", setup.proxy.id())).unwrap();
    let resident_kb: usize = status
        .lines()
        .find_map(|l| l.strip_prefix("VmRSS:"))
        .unwrap()
        .trim()
        .trim_end_matches(" kB")
        .parse()
        .unwrap();
    assert!(resident_kb < 40_000, "resident memory is {resident_kb} kB");
}

/// Guards against disconnecting a client that reads long replies at 70 kB per second: its
/// connection may accept nothing for many seconds.
#[test]
fn a_client_that_reads_long_replies_slowly_but_steadily_is_not_disconnected() {
    const SLOW_BYTES_PER_MS: usize = 70;
    const REPLIES: usize = 12;
    let setup = ProxySetup::new("");
    let mut stream = setup.connect().unwrap();
    let mut commands = stream.try_clone().unwrap();
    spawn(move || {
        for _ in 0..REPLIES {
            commands.write_all(b"GET long\r\n").unwrap();
            sleep(Duration::from_millis(50));
        }
    });
    let (mut buf, mut read_bytes, started) = (vec![0; LONG_VALUE_BYTES], 0, Instant::now());
    while started.elapsed() < Duration::from_secs(25) {
        sleep(Duration::from_millis(50));
        let due_bytes = started.elapsed().as_millis() as usize * SLOW_BYTES_PER_MS - read_bytes;
        read_bytes += stream.read(&mut buf[..due_bytes]).unwrap_or(0);
    }
    _ = stream.shutdown(std::net::Shutdown::Write);
    let mut rest = Vec::new();
    _ = stream.read_to_end(&mut rest);
    let reply_bytes = format!("${LONG_VALUE_BYTES}\r\n\r\n").len() + LONG_VALUE_BYTES;
    assert_eq!(read_bytes + rest.len(), REPLIES * reply_bytes);
}

#[test]
fn malformed_commands_get_an_error_and_a_close_and_users_must_authenticate() {
    let setup = ProxySetup::new(
        "[[resp.user]]\nname = \"lib\"\nsecret = \"sha256:41242b9fae56fad4e6e77dfe33cb18d1c3fc583f988cf25ef9f2d9be0d440bbb\"\n",
    );
    let mut observed = String::new();
    for text in [
        "GET a\r\n",
        "AUTH lib wrong\r\nGET a\r\n",
        "AUTH lib s3\r\nGET a\r\n",
        "AUTH lib s3\r\nCLIENT SETNAME a b\r\nGET none\r\n",
        "*1\r\n:1\r\n",
        "*1\r\n$99999999\r\n",
        "*99999\r\n",
        "*1\r\n$1\r\nxyz\r\n",
    ] {
        observed +=
            &format!("> {}\n{}", text.replace("\r\n", " "), without_retry_delay(&setup.request(text)));
    }
    assert!(setup.request(&"x".repeat(10_000)).starts_with("-ERR Protocol error"));
    expect![[r#"
        > GET a 
        -NOAUTH Authentication required.
        > AUTH lib wrong GET a 
        -WRONGPASS invalid username-password pair or user is disabled.
        -NOAUTH Authentication required.
        > AUTH lib s3 GET a 
        +OK
        $1
        a
        > AUTH lib s3 CLIENT SETNAME a b GET none 
        +OK
        -ERR unknown subcommand 'setname'. Try CLIENT HELP.
        $-1
        > *1 :1 
        -ERR Protocol error: expected bulk strings
        > *1 $99999999 
        -ERR Protocol error: too long a bulk string
        > *99999 
        -ERR Protocol error: too many parts
        > *1 $1 xyz 
        -ERR Protocol error: a bulk string of another length
    "#]]
    .assert_eq(&observed);
}
