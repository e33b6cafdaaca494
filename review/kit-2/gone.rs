//! A RESP client leaves while its commands run. What it had sent behind them must not be begun any more.

use crate::common::*;
use std::collections::HashMap;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Instant;

/// An attempt may begin 0.1 s after the close at the latest, and 50 ms more on sockets.
const LIMIT_MS: u64 = 150;
/// Target time and time limit of the namespace. "A try is given up after 50 to 100% of the namespace's time limit."
const TIMES_MS: (u64, u64) = (650, 700);
const LEAVES_AFTER_MS: u64 = 360;
/// How long the server takes for the commands that fill the connection's eight places.
const SLOW_MS: u64 = 680;
const BUSY_MS: u64 = 600;
/// The key tag `{bar}` has slot 5061, which the first server owns, and `{foo}` slot 12182, which the second one owns.
/// Commands of a connection that are in flight at once, as docs/resp.md has it.
const IN_FLIGHT: usize = 8;

pub fn run(record: &Record) -> CaseResult<bool> {
    let folder = TempFolder::create()?;
    let begun: Arc<Mutex<Vec<(Instant, String)>>> = Arc::default();
    let values: Arc<Mutex<HashMap<Vec<u8>, Vec<u8>>>> = Arc::default();
    let (begun_log, store) = (begun.clone(), values.clone());
    let servers = resp_servers(
        record,
        Arc::new(move |words| {
            begun_log.lock().unwrap().push((Instant::now(), show(words)));
            let key = words.get(1).cloned().unwrap_or_default();
            if words[0] == b"SET" {
                store.lock().unwrap().insert(key.clone(), words[2].clone());
            }
            let after = match key.as_slice() {
                key if key.starts_with(b"slow:") => ms(SLOW_MS),
                key if key.starts_with(b"busy:") => ms(BUSY_MS),
                _ => ms(5),
            };
            let reply = match words[0].as_slice() {
                b"SET" => b"+OK\r\n".to_vec(),
                _ => store.lock().unwrap().get(&key).map_or(b"$-1\r\n".to_vec(), |value| bulk(value)),
            };
            Answer { after, reply }
        }),
        &["0-8191", "8192-16383"],
    )?;
    values.lock().unwrap().insert(b"warm".to_vec(), b"warm".to_vec());
    let mut deployment = Deployment::new()?;
    deployment.times_ms = TIMES_MS;
    let _proxy = deployment.start(record, &folder, servers[0])?;

    let mut first = RespStream::connect(deployment.resp)?;
    // The answer to PING is not read, so that the close below resets the connection: nobody is there any more.
    let mut text = command(&[b"PING"]);
    text.extend(command(&[b"GET", b"slow:{bar}:0"]));
    for number in 1..IN_FLIGHT {
        text.extend(command(&[b"GET", format!("busy:{{bar}}:{number}").as_bytes()]));
    }
    text.extend(command(&[b"SET", b"shelf:{foo}", b"old"]));
    first.stream.write_all(&text).map_err(|error| error.to_string())?;
    record.note(
        "client 1: PING, GET slow:{bar}:0, GET busy:{bar}:1 to 7, SET shelf:{foo} old, in one pipeline",
    );
    sleep(ms(LEAVES_AFTER_MS));
    let left_at = trouble().then(|| {
        drop(first);
        record.note("client 1: leaves, its connection is reset");
        Instant::now()
    });
    let mut second = RespStream::connect(deployment.resp)?;
    record.note(format!(
        "client 2: SET shelf:{{foo}} new -> {:?}",
        second.call(&["SET", "shelf:{foo}", "new"])
    ));
    sleep(ms(2500));
    record.note(format!("client 2: GET shelf:{{foo}} -> {:?}", second.call(&["GET", "shelf:{foo}"])));
    let Some(left_at) = left_at else { return Ok(true) };
    let begun = begun.lock().unwrap();
    let late: Vec<_> = begun.iter().filter(|(at, _)| *at > left_at + ms(LIMIT_MS)).collect();
    // What client 2 sends is not client 1's.
    let late: Vec<_> = late
        .iter()
        .filter(|(_, words)| !words.ends_with("shelf:{foo}") && !words.ends_with(" new"))
        .collect();
    for (at, words) in &late {
        record
            .note(format!("begun {:.3} s after its client had left: {words}", (*at - left_at).as_secs_f64()));
    }
    Ok(late.is_empty())
}
