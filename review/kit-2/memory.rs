//! Many RESP clients write long values at the same time; the platform kills a proxy that holds more than its memory.

use crate::common::*;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Within "32 to 192 MB" and "256 to 1,024 descriptors"; clients hold a third of the descriptors at most.
const MEMORY_MB: u64 = 64;
const SOCKETS: u64 = 512;
const CLIENTS: usize = 128;
/// "1 MiB a string".
const VALUE_BYTES: usize = 1 << 20;
const PART_BYTES: usize = 64 << 10;
/// Sixteen parts with these pauses take 1.6 s, of the 3 s that a whole command may take.
const PAUSE_MS: u64 = 100;
/// Clients at once without the disruption.
const CALM_CLIENTS: usize = 4;

/// Sends one SET at a steady rate, and returns the reply or how the connection ended.
fn write_long_value(addr: SocketAddr, number: usize, record: &Record) -> String {
    let Ok(mut client) = RespStream::connect(addr) else { return "not connected".to_string() };
    record.note(format!("client {number}: begins SET book:{number} of {VALUE_BYTES} bytes"));
    let text = command(&[b"SET", format!("book:{number}").as_bytes(), &vec![b'v'; VALUE_BYTES]]);
    for part in text.chunks(PART_BYTES) {
        if let Err(error) = client.stream.write_all(part) {
            return format!("ended while it sent: {error}");
        }
        sleep(ms(PAUSE_MS));
    }
    client.read_reply().unwrap_or_else(|error| format!("ended without a reply: {error}"))
}

pub fn run(record: &Record) -> CaseResult<bool> {
    let folder = TempFolder::create()?;
    let server = resp_server(record, Arc::new(|_| Answer { after: ms(20), ..Answer::at_once(b"+OK\r\n") }))?;
    let mut deployment = Deployment::new()?;
    (deployment.memory_mb, deployment.sockets) = (MEMORY_MB, SOCKETS);
    let mut proxy = deployment.start(record, &folder, server)?;
    record.note(format!(
        "memory of the proxy at rest: {} kB of {} kB",
        proxy.memory_kb("RssAnon"),
        MEMORY_MB * 1024
    ));

    let at_once = if trouble() { CLIENTS } else { CALM_CLIENTS };
    record.note(format!("{CLIENTS} clients write {VALUE_BYTES} bytes each, {at_once} at the same time"));
    let next = Arc::new(AtomicUsize::new(0));
    let replies: Arc<Mutex<Vec<String>>> = Arc::default();
    let finished = Arc::new(AtomicBool::new(false));
    let threads: Vec<_> = (0..at_once)
        .map(|_| {
            let (next, replies, addr) = (next.clone(), replies.clone(), deployment.resp);
            let record = record.clone();
            spawn(move || {
                loop {
                    let number = next.fetch_add(1, Ordering::SeqCst);
                    if number >= CLIENTS {
                        return;
                    }
                    let reply = write_long_value(addr, number, &record);
                    record.note(format!("client {number}: {reply}"));
                    replies.lock().unwrap().push(reply);
                }
            })
        })
        .collect();
    let ended = finished.clone();
    let waiter = spawn(move || {
        threads.into_iter().for_each(|thread| _ = thread.join());
        ended.store(true, Ordering::SeqCst);
    });
    // The platform: over `memory_mb` the proxy is killed. Anonymous memory alone is counted, a megabyte as 1,048,576.
    let (mut highest, mut killed) = (0, false);
    let end = Instant::now() + Duration::from_secs(80);
    while !finished.load(Ordering::SeqCst) && Instant::now() < end {
        let held = proxy.memory_kb("RssAnon");
        highest = highest.max(held);
        if held > MEMORY_MB * 1024 && !killed {
            record.note(format!("platform: the proxy holds {held} kB, more than {} kB", MEMORY_MB * 1024));
            proxy.signal("KILL")?;
            killed = true;
        }
        sleep(ms(10));
    }
    _ = waiter.join();
    // "When it exits ... the proxy has crashed."
    let ended = if killed { None } else { proxy.has_ended() };
    if let Some(status) = &ended {
        record.note(format!("the proxy ended by itself: {status}"));
    }
    record.note(format!("most memory seen: {highest} kB of {} kB", MEMORY_MB * 1024));
    let replies = replies.lock().unwrap();
    let without = replies.iter().filter(|reply| !reply.starts_with(['+', '-'])).count();
    record.note(format!("{} clients, {without} of them without a reply", replies.len()));
    // Who got no reply is told, not judged: a command that was not taken whole may end with a close.
    Ok(!killed && ended.is_none())
}
