//! A planned restart (SIGTERM) while a RESP client pipelines commands and reads at a steady rate.

use crate::common::*;
use std::collections::HashSet;
use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Commands that the client has sent and not read the replies of.
const OUTSTANDING: usize = 16;
const VALUE_BYTES: usize = 64 << 10;
/// Bytes a second at which the client reads: what is outstanding takes a second, of a time limit of 3 s.
const READ_RATE: u64 = 1_000_000;
/// When SIGTERM comes, and for how long the client sends.
const SIGNAL_AT: Duration = Duration::from_secs(2);
const SENDING: Duration = Duration::from_secs(7);

/// Each fourth command writes.
fn words_of(number: usize) -> Vec<Vec<u8>> {
    let key = format!("book:{number}").into_bytes();
    match number % 4 {
        3 => vec![b"SET".to_vec(), key, b"lent".to_vec()],
        _ => vec![b"GET".to_vec(), key],
    }
}

pub fn run(record: &Record) -> CaseResult<bool> {
    let folder = TempFolder::create()?;
    let ran: Arc<Mutex<HashSet<Vec<u8>>>> = Arc::default();
    let ran_log = ran.clone();
    let server = resp_server(
        record,
        Arc::new(move |words| {
            ran_log.lock().unwrap().insert(words[1].clone());
            if words[0] == b"SET" {
                return Answer { after: ms(20), ..Answer::at_once(b"+OK\r\n") };
            }
            let mut value = words[1].clone();
            value.resize(VALUE_BYTES, b'.');
            Answer { after: ms(20), reply: bulk(&value) }
        }),
    )?;
    let deployment = Deployment::new()?;
    let mut proxy = deployment.start(record, &folder, server)?;

    let mut client = RespStream::connect(deployment.resp)?;
    let mut sending = client.stream.try_clone().map_err(|error| error.to_string())?;
    let (sent, received) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let sender_done = Arc::new(AtomicBool::new(false));
    let start = Instant::now();
    let writer = {
        let (sent, received, done) = (sent.clone(), received.clone(), sender_done.clone());
        let writer_record = record.clone();
        spawn(move || {
            while start.elapsed() < SENDING {
                let number = sent.load(Ordering::SeqCst);
                if number >= received.load(Ordering::SeqCst) + OUTSTANDING {
                    sleep(ms(1));
                    continue;
                }
                let words = words_of(number);
                let words: Vec<&[u8]> = words.iter().map(Vec::as_slice).collect();
                if sending.write_all(&command(&words)).is_err() {
                    break;
                }
                writer_record.note(format!("client: sent command {number}: {}", show(&words_of(number))));
                sent.store(number + 1, Ordering::SeqCst);
            }
            done.store(true, Ordering::SeqCst);
        })
    };
    let reader = {
        let (sent, received, done, record) = (sent.clone(), received.clone(), sender_done, record.clone());
        spawn(move || {
            loop {
                let number = received.load(Ordering::SeqCst);
                if done.load(Ordering::SeqCst) && number >= sent.load(Ordering::SeqCst) {
                    return ("all replies were read".to_string(), false);
                }
                match client.read_reply() {
                    Ok(reply) => {
                        let shown: String = reply.chars().take(24).collect();
                        record.note(format!("client: reply {number}: {shown}"));
                        received.store(number + 1, Ordering::SeqCst);
                    }
                    Err(error) => {
                        return (format!("the connection ended: {error}"), client.has_begun_reply());
                    }
                }
                // The client reads at its rate.
                let due = Duration::from_secs_f64(client.read_bytes as f64 / READ_RATE as f64);
                sleep(due.saturating_sub(start.elapsed()));
            }
        })
    };
    sleep(SIGNAL_AT.saturating_sub(start.elapsed()));
    if trouble() {
        proxy.signal("TERM")?;
    }
    let (how, has_begun) = reader.join().map_err(|_| "the reader failed")?;
    writer.join().map_err(|_| "the writer failed")?;
    record.note(format!("client: {how}"));
    let (sent, received) = (sent.load(Ordering::SeqCst), received.load(Ordering::SeqCst));
    let ran = ran.lock().unwrap();
    // An answer that was begun and broken off, so that the client can tell, is not counted.
    let first_lost = received + usize::from(has_begun);
    if has_begun {
        record.note(format!("client: reply {received} was begun and broken off; it is not counted"));
    }
    let lost: Vec<usize> = (first_lost..sent).filter(|number| ran.contains(&words_of(*number)[1])).collect();
    record.note(format!(
        "{sent} commands sent, {received} replies, in order; no reply but run by the server: {lost:?}"
    ));
    let writes = lost.iter().filter(|number| *number % 4 == 3).count();
    record.note(format!("of these {writes} are writes"));
    if !trouble()
        && let Some(status) = proxy.has_ended()
    {
        return Err(format!("the proxy ended: {status}"));
    }
    Ok(lost.is_empty())
}
