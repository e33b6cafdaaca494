//! What the cases of this review share: the record, the proxy as a process, a stand-in for a server that speaks RESP,
//! clients for RESP and HTTP, and temporary files. Standard library only. Every address is a loopback address.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

pub type CaseResult<T> = Result<T, String>;

pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// The record of a run: what was sent, answered and run, each line with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record { file: Arc::new(Mutex::new(File::create(path)?)), start: Instant::now() })
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} s  {}", self.start.elapsed().as_secs_f64(), text.as_ref());
        _ = writeln!(self.file.lock().unwrap(), "{line}");
    }
}

/// A port that was free a moment ago.
pub fn free_addr() -> CaseResult<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| format!("no free port: {error}"))?;
    listener.local_addr().map_err(|error| error.to_string())
}

/// A folder that is removed with all its content.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn create() -> CaseResult<TempFolder> {
        let path = std::env::temp_dir().join(format!("chalkwalk-review-2-{}", std::process::id()));
        fs::create_dir_all(&path).map_err(|error| format!("no temporary folder: {error}"))?;
        Ok(TempFolder(path))
    }

    pub fn write(&self, name: &str, text: &str) -> CaseResult<PathBuf> {
        let path = self.0.join(name);
        fs::write(&path, text).map_err(|error| format!("{}: {error}", path.display()))?;
        Ok(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        _ = fs::remove_dir_all(&self.0);
    }
}

/// The command `run` of deploy/balancer.toml.
fn run_command() -> CaseResult<String> {
    let text = fs::read_to_string("deploy/balancer.toml").map_err(|error| format!("deploy file: {error}"))?;
    let line =
        text.lines().find_map(|line| line.strip_prefix("run = \"")).ok_or("deploy file without run")?;
    Ok(line.trim_end().trim_end_matches('"').to_string())
}

/// The processes that were started and not waited for yet.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the processes that are left, where a case was given up.
pub fn kill_all() {
    for pid in RUNNING.lock().unwrap().drain(..) {
        _ = Command::new("/bin/sh").args(["-c", &format!("kill -KILL {pid}")]).status();
    }
}

/// A proxy, started as the deploy file says; killed on drop.
pub struct Proxy {
    child: Child,
    log: PathBuf,
    record: Record,
    name: String,
}

impl Proxy {
    /// `extra` is added to the command: the operator's file.
    pub fn start(record: &Record, folder: &TempFolder, config: &Path, extra: &str) -> CaseResult<Proxy> {
        let command = format!("{} {extra}", run_command()?);
        Proxy::spawn(record, folder, config, &command, Stdio::null(), "proxy")
    }

    /// Starts one of several proxies.
    pub fn start_named(record: &Record, folder: &TempFolder, config: &Path, name: &str) -> CaseResult<Proxy> {
        Proxy::spawn(record, folder, config, &run_command()?, Stdio::null(), name)
    }

    /// Starts a proxy that inherits the clients' listening socket as descriptor 4, as DAYS.md has it.
    pub fn start_with_socket(
        record: &Record,
        folder: &TempFolder,
        config: &Path,
        socket: &TcpListener,
        name: &str,
    ) -> CaseResult<Proxy> {
        let socket = socket.try_clone().map_err(|error| error.to_string())?;
        let command = format!("exec 4<&0 0</dev/null; export ROUTER_FD=4; {}", run_command()?);
        Proxy::spawn(record, folder, config, &command, Stdio::from(OwnedFd::from(socket)), name)
    }

    fn spawn(
        record: &Record,
        folder: &TempFolder,
        config: &Path,
        command: &str,
        input: Stdio,
        name: &str,
    ) -> CaseResult<Proxy> {
        let log = folder.0.join(format!("{name}.log"));
        let log_file = File::create(&log).map_err(|error| error.to_string())?;
        // Processes of one proxy share a folder; proxies do not.
        let private = folder.0.join(if name.starts_with("proxy-") { name } else { "private" });
        fs::create_dir_all(&private).map_err(|error| error.to_string())?;
        record.note(format!("starts {name}: {command}"));
        let child = Command::new("/bin/sh")
            .args(["-c", command])
            .env("ROUTER_CONFIG", config)
            .env("TMPDIR", &private)
            .stdin(input)
            .stdout(Stdio::null())
            .stderr(log_file)
            .spawn()
            .map_err(|error| format!("cannot start the proxy: {error}"))?;
        RUNNING.lock().unwrap().push(child.id());
        Ok(Proxy { child, log, record: record.clone(), name: name.to_string() })
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) -> CaseResult<()> {
        self.record.note(format!("SIG{name} to {}", self.name));
        match Command::new("/bin/sh").args(["-c", &format!("kill -{name} {}", self.pid())]).status() {
            Ok(status) if status.success() => Ok(()),
            other => Err(format!("cannot signal the proxy: {other:?}")),
        }
    }

    pub fn has_ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// A line of /proc/PID/status, in kB.
    pub fn memory_kb(&self, field: &str) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix(field)?.strip_prefix(':'));
        line.and_then(|line| line.trim().trim_end_matches(" kB").trim().parse().ok()).unwrap_or(0)
    }

    /// Waits until `GET /up` is answered 200.
    pub fn wait_until_up(&mut self, listen: SocketAddr) -> CaseResult<()> {
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            if let Some(status) = self.has_ended() {
                return Err(format!("the proxy ended at its start: {status}: {}", self.log_text()));
            }
            if http_get(listen, "/up").0 == 200 {
                return Ok(());
            }
            sleep(ms(20));
        }
        Err(format!("the proxy is not ready: {}", self.log_text()))
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
        RUNNING.lock().unwrap().retain(|pid| *pid != self.child.id());
        for line in self.log_text().lines() {
            self.record.note(format!("log of {}: {line}", self.name));
        }
    }
}

/// One call over HTTP on a connection of its own; the status is 0 where there was no answer.
fn http_call(addr: SocketAddr, method: &str, path: &str) -> (u16, String) {
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, ms(1000)) else { return (0, String::new()) };
    _ = stream.set_read_timeout(Some(ms(3000)));
    let request = format!("{method} {path} HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n");
    let mut text = Vec::new();
    if stream.write_all(request.as_bytes()).is_err() || stream.read_to_end(&mut text).is_err() {
        return (0, String::new());
    }
    let text = String::from_utf8_lossy(&text).to_string();
    let status = text.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    (status, text)
}

pub fn http_get(addr: SocketAddr, path: &str) -> (u16, String) {
    http_call(addr, "GET", path)
}

pub fn http_post(addr: SocketAddr, path: &str) -> (u16, String) {
    http_call(addr, "POST", path)
}

/// Words of a command as an array of bulk strings.
pub fn command(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend(format!("${}\r\n", word.len()).bytes());
        out.extend(*word);
        out.extend(b"\r\n");
    }
    out
}

pub fn bulk(value: &[u8]) -> Vec<u8> {
    let mut out = format!("${}\r\n", value.len()).into_bytes();
    out.extend(value);
    out.extend(b"\r\n");
    out
}

/// Reads lines and lengths from a stream.
pub struct RespStream {
    pub stream: TcpStream,
    buf: Vec<u8>,
    /// Bytes read so far.
    pub read_bytes: u64,
    /// Bytes of the whole replies among them.
    whole_bytes: u64,
}

impl RespStream {
    pub fn new(stream: TcpStream) -> RespStream {
        _ = stream.set_nodelay(true);
        RespStream { stream, buf: Vec::new(), read_bytes: 0, whole_bytes: 0 }
    }

    pub fn connect(addr: SocketAddr) -> CaseResult<RespStream> {
        let stream =
            TcpStream::connect_timeout(&addr, ms(2000)).map_err(|error| format!("{addr}: {error}"))?;
        _ = stream.set_read_timeout(Some(Duration::from_secs(20)));
        Ok(RespStream::new(stream))
    }

    /// Whether a part of the next reply has been read.
    pub fn has_begun_reply(&self) -> bool {
        self.read_bytes > self.whole_bytes
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 16384];
        match self.stream.read(&mut chunk)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            len => {
                self.read_bytes += len as u64;
                self.buf.extend(&chunk[..len]);
                Ok(())
            }
        }
    }

    pub fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(len) = self.buf.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..len]).to_string();
                self.buf.drain(..len + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    fn read_exact(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < len + 2 {
            self.fill()?;
        }
        let rest = self.buf.split_off(len + 2);
        let mut value = std::mem::replace(&mut self.buf, rest);
        value.truncate(len);
        Ok(value)
    }

    /// Reads a command: an array of bulk strings.
    pub fn read_command(&mut self) -> io::Result<Vec<Vec<u8>>> {
        let line = self.read_line()?;
        let count: usize =
            line.strip_prefix('*').and_then(|n| n.parse().ok()).ok_or(io::ErrorKind::InvalidData)?;
        (0..count)
            .map(|_| {
                let line = self.read_line()?;
                let len =
                    line.strip_prefix('$').and_then(|n| n.parse().ok()).ok_or(io::ErrorKind::InvalidData)?;
                self.read_exact(len)
            })
            .collect()
    }

    /// Reads a reply that is a line or a bulk string, and returns it as text ("nil" for none).
    pub fn read_reply(&mut self) -> io::Result<String> {
        let reply = self.read_one_reply()?;
        self.whole_bytes = self.read_bytes - self.buf.len() as u64;
        Ok(reply)
    }

    fn read_one_reply(&mut self) -> io::Result<String> {
        let line = self.read_line()?;
        match line.strip_prefix('$').map(|n| n.parse::<i64>()) {
            None => Ok(line),
            Some(Ok(len)) if len >= 0 => {
                Ok(String::from_utf8_lossy(&self.read_exact(len as usize)?).to_string())
            }
            Some(_) => Ok("nil".to_string()),
        }
    }

    pub fn send(&mut self, words: &[&str]) -> io::Result<()> {
        let words: Vec<&[u8]> = words.iter().map(|word| word.as_bytes()).collect();
        self.stream.write_all(&command(&words))
    }

    pub fn call(&mut self, words: &[&str]) -> io::Result<String> {
        self.send(words)?;
        self.read_reply()
    }
}

/// How the stand-in answers one command with a key: with these bytes, after this time.
pub struct Answer {
    pub after: Duration,
    pub reply: Vec<u8>,
}

impl Answer {
    pub fn at_once(reply: &[u8]) -> Answer {
        Answer { after: Duration::ZERO, reply: reply.to_vec() }
    }
}

type Script = Arc<dyn Fn(&[Vec<u8>]) -> Answer + Send + Sync>;

/// A server that owns all slots and speaks RESP. `script` says how commands with keys are answered, in the order in
/// which a connection brings them.
pub fn resp_server(record: &Record, script: Script) -> CaseResult<SocketAddr> {
    Ok(resp_servers(record, script, &["0-16383"])?[0])
}

/// Servers that own these ranges of slots each, with one script.
pub fn resp_servers(record: &Record, script: Script, slots: &[&str]) -> CaseResult<Vec<SocketAddr>> {
    let bind = |_: &&str| TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string());
    let listeners = slots.iter().map(bind).collect::<CaseResult<Vec<_>>>()?;
    let local = |listener: &TcpListener| listener.local_addr().map_err(|error| error.to_string());
    let addrs = listeners.iter().map(local).collect::<CaseResult<Vec<_>>>()?;
    let line = |(number, (addr, slots)): (usize, (&SocketAddr, &&str))| {
        format!("node{number} {addr}@1 master - 0 0 {} connected {slots}\n", number + 1)
    };
    let nodes: String = addrs.iter().zip(slots).enumerate().map(line).collect();
    for (number, listener) in listeners.into_iter().enumerate() {
        let (record, script, nodes) = (record.clone(), script.clone(), nodes.clone());
        spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let (script, record, nodes) = (script.clone(), record.clone(), nodes.clone());
                let name = format!("server {number}, connection {connection}");
                spawn(move || serve_resp(stream, &nodes, &name, &record, &script));
            }
        });
    }
    Ok(addrs)
}

fn serve_resp(stream: TcpStream, nodes: &str, server: &str, record: &Record, script: &Script) {
    let mut stream = RespStream::new(stream);
    while let Ok(words) = stream.read_command() {
        let name = String::from_utf8_lossy(&words[0]).to_uppercase();
        let answer = match name.as_str() {
            "CLUSTER" => Answer::at_once(&bulk(nodes.as_bytes())),
            "PING" => Answer::at_once(b"+PONG\r\n"),
            "READONLY" | "ASKING" => Answer::at_once(b"+OK\r\n"),
            _ => {
                record.note(format!("{server}: begins {}", show(&words)));
                script(&words)
            }
        };
        sleep(answer.after);
        if stream.stream.write_all(&answer.reply).is_err() {
            return;
        }
    }
}

/// A command's words, long ones as their length.
pub fn show(words: &[Vec<u8>]) -> String {
    let show_one = |word: &Vec<u8>| match word.len() {
        0..=40 => String::from_utf8_lossy(word).to_string(),
        len => format!("({len} bytes)"),
    };
    words.iter().map(show_one).collect::<Vec<_>>().join(" ")
}

/// Reads the head and the body of one message over HTTP. Returns the first line and the body.
pub fn read_http(stream: &mut TcpStream) -> io::Result<(String, Vec<u8>)> {
    let mut buf = Vec::new();
    let mut chunk = [0; 4096];
    let head_len = loop {
        if let Some(len) = buf.windows(4).position(|window| window == b"\r\n\r\n") {
            break len + 4;
        }
        match stream.read(&mut chunk)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            len => buf.extend(&chunk[..len]),
        }
    };
    let head = String::from_utf8_lossy(&buf[..head_len]).to_string();
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
    });
    while buf.len() < head_len + length.unwrap_or(0) {
        match stream.read(&mut chunk)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            len => buf.extend(&chunk[..len]),
        }
    }
    Ok((head.lines().next().unwrap_or("").to_string(), buf.split_off(head_len)))
}

/// A stand-in that speaks HTTP: `answer` gets the first line of a request and returns the whole response.
pub fn http_server(answer: Arc<dyn Fn(&str) -> Vec<u8> + Send + Sync>) -> CaseResult<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    let addr = listener.local_addr().map_err(|error| error.to_string())?;
    spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let answer = answer.clone();
            _ = stream.set_nodelay(true);
            spawn(move || {
                while let Ok((line, _)) = read_http(&mut stream) {
                    if stream.write_all(&answer(&line)).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(addr)
}

pub fn http_ok(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// A platform's configuration in the form of the kit's pages, for one proxy of a small deployment.
pub struct Deployment {
    pub listen: SocketAddr,
    pub console: SocketAddr,
    pub resp: SocketAddr,
    pub memory_mb: u64,
    pub sockets: u64,
    /// Target time and time limit of the first namespace, in milliseconds.
    pub times_ms: (u64, u64),
}

impl Deployment {
    pub fn new() -> CaseResult<Deployment> {
        Ok(Deployment {
            listen: free_addr()?,
            console: free_addr()?,
            resp: free_addr()?,
            memory_mb: 192,
            sockets: 1024,
            times_ms: (1000, 3000),
        })
    }

    /// Two namespaces like those of the first site: one that may be repeated and a tagged one.
    pub fn config(&self) -> String {
        let Deployment { listen, console, memory_mb, sockets, times_ms: (target, limit), .. } = self;
        format!(
            r#"{{"name":"n1","listen":"{listen}","console":"{console}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
 "settings":{{"az":"dc-sousse","zones":["dc-sousse"],"kinds":["full-node","origin"],"position":0,"balancers":1,
  "discovery":"subscribe","familyInfo":{{"mode":"aside","originKind":1}},
  "ceilings":{{"mostShots":6,"secondCopies":true,"cancelling":true,"probes":true,"retryAfter":true,
   "maxRetryAfterNs":2000000000,"connIdleNs":30000000000,"connectTimeoutNs":150000000}},
  "rules":{{"drainGraceNs":1000000000,"askEveryNs":10000000000}},
  "namespaces":[
   {{"name":"book-chunk","idempotency":"free","targetTimeNs":{target}000000,"timeLimitNs":{limit}000000,"utility":5,"overdueUtility":0}},
   {{"name":"loan-record","idempotency":"guarded","group":"all","dedupWindowNs":1500000000,
    "targetTimeNs":1200000000,"timeLimitNs":2500000000,"utility":8,"overdueUtility":0}}]}}}}"#
        )
    }

    /// The operator's file: RESP as docs/resp.md has it, all keys in the first namespace but those of `loan:`.
    pub fn operator(&self, seed: SocketAddr) -> String {
        let resp = self.resp;
        format!(
            "version = 1\n[resp]\nlisten = \"{resp}\"\nseeds = [\"{seed}\"]\nnamespace = \"book-chunk\"\n\
             [[resp.prefix]]\nprefix = \"loan:\"\nnamespace = \"loan-record\"\n[end]\n"
        )
    }

    /// Starts a proxy that speaks RESP to `seed`, and waits until it serves a command.
    pub fn start(&self, record: &Record, folder: &TempFolder, seed: SocketAddr) -> CaseResult<Proxy> {
        let config = folder.write("config.json", &self.config())?;
        let operator = folder.write("operator.toml", &self.operator(seed))?;
        let mut proxy = Proxy::start(record, folder, &config, &format!("--operator {}", operator.display()))?;
        proxy.wait_until_up(self.listen)?;
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            let reply = RespStream::connect(self.resp)?.call(&["GET", "warm"]).unwrap_or_default();
            if !reply.is_empty() && !reply.starts_with('-') {
                return Ok(proxy);
            }
            sleep(ms(50));
        }
        Err("the proxy serves no command".to_string())
    }
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
