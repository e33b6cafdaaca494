//! Stand-ins for the platform: discovery, which may be down for a while, and the wait for a proxy's yes.

use crate::common::*;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// One entry of the list, with the version in which it changed.
#[derive(Clone)]
struct Entry {
    id: String,
    addr: SocketAddr,
    kind: &'static str,
    state: &'static str,
    changed: u64,
}

struct State {
    version: u64,
    entries: Vec<Entry>,
    up: bool,
    /// Each call ends with 503 after this wait.
    refuses_after: Option<Duration>,
    refused: usize,
    connections: Vec<TcpStream>,
}

/// Discovery as the protocol page has it.
#[derive(Clone)]
pub struct Discovery {
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    zone: &'static str,
    record: Record,
}

impl Discovery {
    /// A list of these servers, all of them serving, by id, address and kind.
    pub fn start(
        record: &Record,
        zone: &'static str,
        servers: &[(&str, SocketAddr, &'static str)],
    ) -> CaseResult<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let addr = listener.local_addr().map_err(|error| error.to_string())?;
        let entry = |(id, addr, kind): &(&str, SocketAddr, &'static str)| Entry {
            id: id.to_string(),
            addr: *addr,
            kind,
            state: "SERVING",
            changed: 41,
        };
        let entries = servers.iter().map(entry).collect();
        let state = Arc::new(Mutex::new(State {
            version: 41,
            entries,
            up: true,
            refuses_after: None,
            refused: 0,
            connections: Vec::new(),
        }));
        let discovery = Discovery { addr, state, zone, record: record.clone() };
        let serving = discovery.clone();
        spawn(move || serving.run(listener));
        Ok(discovery)
    }

    fn run(&self, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            let up = self.state.lock().unwrap().up;
            match (up, &listener) {
                (false, Some(_)) => listener = None,
                (true, None) => listener = TcpListener::bind(self.addr).ok(),
                _ => {}
            }
            if let Some(listener) = &listener {
                _ = listener.set_nonblocking(true);
                if let Ok((stream, _)) = listener.accept() {
                    _ = stream.set_nonblocking(false);
                    _ = stream.set_nodelay(true);
                    let discovery = self.clone();
                    spawn(move || discovery.serve(stream));
                    continue;
                }
            }
            sleep(ms(2));
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        if let Ok(clone) = stream.try_clone() {
            self.state.lock().unwrap().connections.push(clone);
        }
        while let Ok((line, _)) = read_http(&mut stream) {
            let number = |name: &str| {
                let value = line.split_once(name)?.1;
                value.split(['&', ' ']).next()?.parse::<u64>().ok()
            };
            let refuses_after = self.state.lock().unwrap().refuses_after;
            if let Some(wait) = refuses_after {
                sleep(wait);
                self.state.lock().unwrap().refused += 1;
                if stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").is_err()
                {
                    return;
                }
                continue;
            }
            let (index, wait) = (number("index="), number("wait=").unwrap_or(0));
            let end = Instant::now() + ms(wait);
            while index.is_some_and(|index| self.state.lock().unwrap().version <= index)
                && Instant::now() < end
            {
                sleep(ms(2));
            }
            let body = self.list(index);
            if !self.state.lock().unwrap().up || stream.write_all(&http_ok(&body)).is_err() {
                return;
            }
            if !body.contains("\"servers\":[]") {
                self.record.note(format!("discovery: {line} -> {body}"));
            }
        }
    }

    /// The whole list, or what has changed since a version.
    pub fn list(&self, since: Option<u64>) -> String {
        let state = self.state.lock().unwrap();
        // What is deleted is told among changes only.
        let listed = |entry: &&Entry| match since {
            Some(since) => entry.changed > since,
            None => entry.state != "DELETED",
        };
        let entries = state.entries.iter().filter(listed);
        let entries = entries.map(|Entry { id, addr, kind, state, .. }| {
            let zone = self.zone;
            format!(
                r#"{{"id":"{id}","addr":"{addr}","zone":"{zone}","kind":"{kind}","cell":0,"state":"{state}","weight":1.0,"started_ms":0}}"#
            )
        });
        let entries = entries.collect::<Vec<_>>().join(",");
        format!(r#"{{"version":{},"full":{},"servers":[{entries}]}}"#, state.version, since.is_none())
    }

    pub fn set_state(&self, id: &str, new_state: &'static str) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        for entry in state.entries.iter_mut().filter(|entry| entry.id == id) {
            (entry.state, entry.changed) = (new_state, version);
        }
        self.record.note(format!("discovery: {id} is {new_state}, version {version}"));
    }

    /// Crowded: from now on each call ends with 503 after this wait, and open watches end; `None`: well again.
    /// Returns how many calls were refused so far.
    pub fn set_refusing(&self, wait: Option<Duration>) -> usize {
        let mut state = self.state.lock().unwrap();
        state.refuses_after = wait;
        if wait.is_some() {
            // Watches end when discovery goes down.
            state.connections.drain(..).for_each(|connection| _ = connection.shutdown(Shutdown::Both));
        }
        self.record.note(wait.map_or("discovery: is well again".to_string(), |wait| {
            format!("discovery: each call ends with 503 after {} s", wait.as_secs_f64())
        }));
        state.refused
    }

    /// Down: watches end, open connections are closed and new ones refused.
    pub fn set_up(&self, up: bool) {
        self.record.note(if up { "discovery: is back" } else { "discovery: goes down" });
        let mut state = self.state.lock().unwrap();
        state.up = up;
        for connection in state.connections.drain(..) {
            _ = connection.shutdown(Shutdown::Both);
        }
    }
}

/// Waits until `GET /control/ready` is answered yes.
pub fn wait_until_ready(proxy: &mut Proxy, console: SocketAddr) -> CaseResult<()> {
    let end = Instant::now() + Duration::from_secs(15);
    while Instant::now() < end {
        if let Some(status) = proxy.has_ended() {
            return Err(format!("a proxy ended: {status}: {}", proxy.log_text()));
        }
        if http_get(console, "/control/ready").0 == 200 {
            return Ok(());
        }
        sleep(ms(10));
    }
    Err("a proxy does not say that it is ready".to_string())
}
