//! An operator takes a proxy out of service while a RESP client's connection rests that has carried a command.

use crate::common::*;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// "4 s after the call, ... holding a client's connection idle", and half a second more.
const LIMIT: Duration = Duration::from_millis(4500);
/// How long the connections are watched.
const WATCHED: Duration = Duration::from_secs(10);

/// Reads until the other side ends the connection; `None` if it is open at `end`.
fn ended_at(mut stream: TcpStream, end: Instant) -> Option<Instant> {
    _ = stream.set_read_timeout(Some(ms(20)));
    let mut buffer = [0; 256];
    while Instant::now() < end {
        match stream.read(&mut buffer) {
            Ok(1..) => {}
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Ok(0) | Err(_) => return Some(Instant::now()),
        }
    }
    None
}

pub fn run(record: &Record) -> CaseResult<bool> {
    let folder = TempFolder::create()?;
    let server = resp_server(record, Arc::new(|_| Answer::at_once(b"$5\r\nvalue\r\n")))?;
    let deployment = Deployment::new()?;
    let mut proxy = deployment.start(record, &folder, server)?;
    let mut used = RespStream::connect(deployment.resp)?;
    let reply = used.call(&["GET", "book:1"]).map_err(|error| error.to_string())?;
    record.note(format!("client 1, RESP: GET book:1 -> {reply}; its connection rests from now on"));
    let unused = TcpStream::connect(deployment.resp).map_err(|error| error.to_string())?;
    record.note("client 2, RESP: connects and sends nothing (to compare)");
    let mut http = TcpStream::connect(deployment.listen).map_err(|error| error.to_string())?;
    http.write_all(b"GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n").map_err(|error| error.to_string())?;
    record.note("client 3, HTTP: GET /up, then its connection rests (to compare)");
    sleep(ms(1000));
    let called_at = Instant::now();
    if trouble() {
        let (status, _) = http_post(deployment.console, "/control/out-of-service");
        record.note(format!("operator: POST /control/out-of-service -> {status}"));
        if status != 200 {
            return Err("the operator's call was not answered yes".to_string());
        }
        record.note(format!("front: GET /up -> {}", http_get(deployment.listen, "/up").0));
    }
    let end = called_at + WATCHED;
    let watched =
        [("client 1, RESP, used", used.stream), ("client 2, RESP, unused", unused), ("client 3, HTTP", http)];
    let watched = watched.map(|(name, stream)| (name, spawn(move || ended_at(stream, end))));
    let ends = watched.map(|(name, thread)| (name, thread.join().ok().flatten()));
    for (name, end) in ends {
        let shown = end.map(|at| format!("ended {:.3} s after the call", (at - called_at).as_secs_f64()));
        record.note(format!(
            "{name}: {}",
            shown.unwrap_or(format!("open {} s after the call", WATCHED.as_secs()))
        ));
    }
    if let Some(status) = proxy.has_ended() {
        return Err(format!("the proxy ended: {status}"));
    }
    Ok(!trouble() || ends.iter().all(|(_, end)| end.is_some_and(|at| at <= called_at + LIMIT)))
}
