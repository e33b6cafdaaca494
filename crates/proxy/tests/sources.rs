//! Endpoint lists from files, on one proxy process on loopback: accepted whole or not at all,
//! persisted, and captured.

use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Runs a server that answers every request with its name.
fn server(name: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    spawn(move || {
        for mut stream in listener.incoming().flatten() {
            spawn(move || {
                let mut buf = [0; 4096];
                while matches!(stream.read(&mut buf), Ok(1..)) {
                    let answer = format!(
                        "HTTP/1.1 200 OK\r\nX-Lookup: hit\r\nContent-Length: {}\r\n\r\n{name}",
                        name.len()
                    );
                    if stream.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

struct ProxySetup {
    proxy: Child,
    addr: SocketAddr,
    folder: PathBuf,
}

impl ProxySetup {
    fn new(folder: &Path) -> ProxySetup {
        static NTH: AtomicUsize = AtomicUsize::new(0);
        let (nth, pid) = (NTH.fetch_add(1, Ordering::SeqCst), std::process::id() as usize);
        let addr: SocketAddr =
            format!("127.{}.{}.{}:3200", 1 + pid % 250, pid / 250 % 250, 1 + nth % 250).parse().unwrap();
        let configuration = json!({"name": "p", "listen": addr.to_string(), "seed": "5eed", "limits": {"sockets": 256},
            "settings": {"az": "here", "zones": ["here"], "kinds": ["cache", "origin"], "discovery": "subscribe",
                "familyInfo": {"mode": "through"},
                "ceilings": {"mostShots": 4, "secondCopies": true, "connIdleNs": 30_000_000_000u64, "connectTimeoutNs": 150_000_000},
                "rules": {"drainGraceNs": 1_000_000_000},
                "namespaces": [{"name": "page", "idempotency": "free", "group": "all", "dedupWindowNs": 0,
                    "targetTimeNs": 500_000_000u64, "timeLimitNs": 900_000_000u64, "utility": 1.0, "overdueUtility": 0.0}]}});
        let path_of = |name: &str| folder.join(name).display().to_string();
        let operator = format!(
            "version = 1\n[membership]\nsource = \"file\"\nfile = \"{}\"\nkeep = \"{}\"\n[capture]\nfolder = \"{}\"\nkeys = true\n[end]\n",
            path_of("list.toml"),
            path_of("kept"),
            path_of("captures")
        );
        std::fs::write(folder.join("config.json"), configuration.to_string()).unwrap();
        std::fs::write(folder.join("operator.toml"), operator).unwrap();
        let log = std::fs::OpenOptions::new().create(true).append(true).open(folder.join("log")).unwrap();
        let proxy = Command::new(env!("CARGO_BIN_EXE_chalkwalk"))
            .args(["serve", "--config", &path_of("config.json"), "--operator", &path_of("operator.toml")])
            .stderr(Stdio::from(log))
            .spawn()
            .unwrap();
        ProxySetup { proxy, addr, folder: folder.to_path_buf() }
    }

    /// Returns the name of the server that answers a request, or `None` if none does.
    fn request(&self, id: usize) -> Option<String> {
        let mut stream = TcpStream::connect(self.addr).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        let text = format!(
            "GET /api/k{id} HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: {id}\r\nX-Service-Class: page\r\nX-Time-Left: 0.9\r\nConnection: close\r\n\r\n"
        );
        stream.write_all(text.as_bytes()).ok()?;
        let mut output = String::new();
        stream.read_to_string(&mut output).ok()?;
        let (head, body) = output.split_once("\r\n\r\n")?;
        head.starts_with("HTTP/1.1 200").then(|| body.to_string())
    }

    /// Waits until this server answers ten requests in a row.
    fn wait_for_answers_by(&self, name: &str) {
        let end = Instant::now() + Duration::from_secs(20);
        let all = || (0..10).all(|i| self.request(i).as_deref() == Some(name));
        while !all() {
            assert!(
                Instant::now() < end,
                "{name} did not answer ten requests in a row within 20 s; log:\n{}",
                self.log()
            );
            sleep(Duration::from_millis(20));
        }
    }

    fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap()
    }

    fn stop(mut self) {
        _ = Command::new("kill").args(["-TERM", &self.proxy.id().to_string()]).status();
        assert!(self.proxy.wait().unwrap().success());
    }
}

impl Drop for ProxySetup {
    fn drop(&mut self) {
        _ = self.proxy.kill();
        _ = self.proxy.wait();
    }
}

fn list_entry(id: &str, addr: SocketAddr, state: &str) -> String {
    format!(
        "[[cache]]\nid = \"{id}\"\naddr = \"{addr}\"\nzone = \"here\"\nkind = \"cache\"\nstate = \"{state}\"\n"
    )
}

#[test]
fn a_list_file_is_applied_whole_persisted_and_its_capture_replays_the_same() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("sources-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let (a, b) = (server("amber"), server("birch"));
    let write_list = |text: String| std::fs::write(folder.join("list.toml"), text).unwrap();
    let list = |state_of_a, state_of_b| {
        format!("version = 1\n{}{}[end]\n", list_entry("a", a, state_of_a), list_entry("b", b, state_of_b))
    };
    write_list(list("serving", "draining"));
    let setup = ProxySetup::new(&folder);
    setup.wait_for_answers_by("amber");
    // An invalid file and one without its end marker change nothing, and the log says so. A drained
    // server that is listed again stays drained.
    write_list(list("serving", "tired"));
    sleep(Duration::from_millis(250));
    write_list(list("draining", "serving").replace("[end]\n", ""));
    sleep(Duration::from_millis(250));
    write_list(list("serving", "serving"));
    sleep(Duration::from_millis(250));
    setup.wait_for_answers_by("amber");
    // Server b has restarted, and server a drains.
    write_list(format!(
        "version = 1\n{}{}started_ms = 7\n[end]\n",
        list_entry("a", a, "draining"),
        list_entry("b", b, "serving")
    ));
    setup.wait_for_answers_by("birch");
    let log = setup.log();
    for expected in [
        "the state must be serving or draining, found \"tired\"",
        "it may be truncated",
        "stays drained",
        "list file accepted",
    ] {
        assert!(log.contains(expected), "\"{expected}\" is not in the log:\n{log}");
    }
    sleep(Duration::from_millis(1500));
    setup.stop();
    // The file is gone: the proxy loads the list as it was last persisted, including drains.
    std::fs::remove_file(folder.join("list.toml")).unwrap();
    let setup = ProxySetup::new(&folder);
    setup.wait_for_answers_by("birch");
    assert!(setup.log().contains("persisted list loaded"));
    setup.stop();
    // The captures of both runs replay without a difference.
    let captures = folder.join("captures").display().to_string();
    let run = |args: &[&str]| {
        let out = Command::new(env!("CARGO_BIN_EXE_chalkwalk"))
            .arg("capture")
            .args(args)
            .arg(&captures)
            .output()
            .unwrap();
        (out.status.code(), String::from_utf8_lossy(&out.stdout).to_string())
    };
    let (code, output) = run(&["replay"]);
    assert!(
        code == Some(0)
            && output.contains("from 2 starts")
            && output.contains("0 differ, 0 calls skipped, 0 gaps"),
        "{code:?} {output}"
    );
    let (_, shown) = run(&["show", "--lookup", "0"]);
    assert!(
        shown.contains("RequestAccepted {")
            && shown.contains("StartAttempt {")
            && shown.contains("key: \"k0\""),
        "{shown}"
    );
    std::fs::remove_dir_all(&folder).unwrap();
}
