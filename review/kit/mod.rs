//! What the cases share: the record, processes, HTTP messages and the discovery stand-in. Standard
//! library only. Every address is a loopback address.
#![allow(dead_code)]

use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio, exit};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// The exit status if the rule was broken, if it held, and if the case could not run.
pub const BROKEN: i32 = 1;
pub const HELD: i32 = 0;
pub const NOT_RUN: i32 = 2;

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();
static PIDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static FOLDER: OnceLock<PathBuf> = OnceLock::new();

/// Milliseconds since the start of the case.
pub fn now_ms() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64() * 1000.0
}

/// Writes one line to `record.txt`.
pub fn record(line: &str) {
    if let Some(file) = RECORD.get() {
        _ = writeln!(file.lock().unwrap(), "{:9.1} ms  {line}", now_ms());
    }
}

/// Ends all processes that the case has started, and the case.
pub fn finish(status: i32, verdict: &str) -> ! {
    record(&format!("verdict: {verdict}"));
    println!("{verdict}");
    kill_all();
    if let Some(folder) = FOLDER.get() {
        _ = std::fs::remove_dir_all(folder);
    }
    exit(status)
}

pub fn kill_all() {
    let pids: Vec<u32> = std::mem::take(&mut *PIDS.lock().unwrap());
    for pid in pids {
        signal(pid, "KILL");
    }
}

/// Opens the record in the folder that the first argument names, and bounds the case in time.
/// Returns whether the disruption is to happen.
pub fn begin(limit_s: u64) -> bool {
    now_ms();
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    let Ok(file) = File::create(Path::new(&folder).join("record.txt")) else {
        println!("cannot write record.txt");
        exit(NOT_RUN)
    };
    _ = RECORD.set(Mutex::new(file));
    std::panic::set_hook(Box::new(|info| {
        // A stand-in's thread that can't go on makes the case unable to run, not broken.
        record(&format!("stand-in failed: {info}"));
    }));
    spawn(move || {
        sleep(Duration::from_secs(limit_s));
        finish(NOT_RUN, "not run: the case took too long");
    });
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record(if trouble { "with the disruption" } else { "TROUBLE=0: without the disruption" });
    trouble
}

/// The `run` command of the deploy file.
pub fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    match line.and_then(|rest| rest.strip_suffix('"')) {
        Some(command) => command.to_string(),
        None => finish(NOT_RUN, "not run: deploy/balancer.toml has no run command"),
    }
}

/// The private folder of this run; removed at its end.
pub fn temporary_folder() -> PathBuf {
    let path = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), now_ms() as u64));
    if std::fs::create_dir_all(&path).is_err() {
        finish(NOT_RUN, "not run: no temporary folder");
    }
    FOLDER.get_or_init(|| path).clone()
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let Ok(listener) = TcpListener::bind("127.0.0.1:0") else { finish(NOT_RUN, "not run: cannot listen") };
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// An address that nobody listens on now, for a process to bind.
pub fn free_address() -> SocketAddr {
    listen().1
}

/// Starts a process by `/bin/sh -c`, as the platform does. `socket` becomes descriptor 4.
pub fn start(
    command: &str,
    environment: &[(&str, String)],
    socket: Option<&TcpListener>,
    log: &Path,
) -> Child {
    let log = File::create(log).unwrap();
    let mut shell = Command::new("/bin/sh");
    match socket {
        Some(socket) => {
            let inherited = std::os::fd::OwnedFd::from(socket.try_clone().unwrap());
            shell.args(["-c", &format!("exec 4<&0 </dev/null; {command}")]).stdin(Stdio::from(inherited));
        }
        None => _ = shell.args(["-c", command]).stdin(Stdio::null()),
    }
    for (name, value) in environment {
        shell.env(name, value);
    }
    let Ok(child) = shell.stdout(Stdio::null()).stderr(log).spawn() else {
        finish(NOT_RUN, "not run: the process cannot be started")
    };
    PIDS.lock().unwrap().push(child.id());
    child
}

/// Reaps a process that has ended, so that its id is not signalled any more.
pub fn has_ended(child: &mut Child) -> Option<String> {
    let status = child.try_wait().ok()??;
    PIDS.lock().unwrap().retain(|pid| *pid != child.id());
    Some(status.to_string())
}

pub fn signal(pid: u32, name: &str) {
    _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {pid}")]).stderr(Stdio::null()).status();
}

/// Waits for a condition, for at most so long.
pub fn wait_for(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        sleep(Duration::from_millis(10));
    }
    false
}

/// An HTTP message: its head, in text, and its body.
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    pub fn word(&self, index: usize) -> &str {
        self.head.split_whitespace().nth(index).unwrap_or("")
    }
}

/// Reads one message whole; `None` at the connection's end.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let head_end = loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break end;
        }
        read_some(stream, buffer)?;
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).to_string();
    buffer.drain(..head_end + 4);
    let mut message = Message { head, body: Vec::new() };
    let length: usize = message.field("Content-Length").and_then(|value| value.parse().ok()).unwrap_or(0);
    while buffer.len() < length {
        read_some(stream, buffer)?;
    }
    message.body = buffer.drain(..length).collect();
    Some(message)
}

pub fn read_some(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<usize> {
    let mut chunk = [0; 16384];
    match stream.read(&mut chunk) {
        Ok(count @ 1..) => {
            buffer.extend_from_slice(&chunk[..count]);
            Some(count)
        }
        _ => None,
    }
}

pub fn write_response(stream: &mut TcpStream, status: &str, body: &[u8]) -> bool {
    let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat()).is_ok()
}

/// Serves each connection in a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            _ = stream.set_nodelay(true);
            let handle = handle.clone();
            spawn(move || handle(stream));
        }
    });
}

/// The discovery stand-in. Its list never changes: it gives the whole list at once, and holds a
/// watch for as long as the watch says.
pub fn serve_discovery(listener: TcpListener, whole_list: String, no_change: String) {
    serve(listener, move |mut stream| {
        let mut buffer = Vec::new();
        while let Some(message) = read_message(&mut stream, &mut buffer) {
            let target = message.word(1).to_string();
            let wait = target.split_once("wait=").and_then(|(_, wait)| wait.parse().ok());
            let is_watch = target.contains("index=");
            if let Some(wait) = wait.filter(|_| is_watch) {
                sleep(Duration::from_millis(wait));
            }
            let body = if is_watch { &no_change } else { &whole_list };
            if !write_response(&mut stream, "200 OK", body.as_bytes()) {
                return;
            }
        }
    });
}

/// A server of the list that is in service since long ago.
pub fn list_entry(id: &str, address: SocketAddr, zone: &str, kind: &str) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{address}","zone":"{zone}","kind":"{kind}","cell":0,"state":"SERVING","weight":1.0,"started_ms":0}}"#
    )
}

/// The status of one call on a connection of its own.
pub fn call(address: SocketAddr, method: &str, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let text = format!("{method} {path} HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n");
    stream.write_all(text.as_bytes()).ok()?;
    Some(read_message(&mut stream, &mut Vec::new())?.word(1).to_string())
}
