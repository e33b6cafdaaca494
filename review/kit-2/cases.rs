//! The cases of this review, one by name: `cases NAME RECORD`. Run from the repository's root. Exits with 1 if the rule
//! was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.

mod common;
mod drain;
mod gone;
mod handover;
mod memory;
mod outage;
mod platform;
mod restart;

use common::{CaseResult, Record};
use std::path::Path;
use std::process::exit;
use std::sync::mpsc::channel;
use std::thread::spawn;
use std::time::Duration;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, record] = &args[..] else {
        eprintln!("usage: cases NAME RECORD");
        exit(2);
    };
    let record = Record::create(Path::new(record)).unwrap_or_else(|error| {
        eprintln!("{error}");
        exit(2);
    });
    // True: the rule held.
    let run: fn(&Record) -> CaseResult<bool> = match name.as_str() {
        "memory" => memory::run,
        "restart" => restart::run,
        "handover" => handover::run,
        "outage" => outage::run,
        "gone" => gone::run,
        "drain" => drain::run,
        _ => {
            eprintln!("no case {name}");
            exit(2);
        }
    };
    let (sender, receiver) = channel();
    let case_record = record.clone();
    spawn(move || sender.send(run(&case_record)));
    let result = receiver.recv_timeout(Duration::from_secs(115));
    let result = result.unwrap_or_else(|_| Err("it took too long, or panicked".to_string()));
    common::kill_all();
    let (text, status) = match result {
        Ok(true) => ("the rule held".to_string(), 0),
        Ok(false) => ("THE RULE WAS BROKEN".to_string(), 1),
        Err(error) => (format!("could not run: {error}"), 2),
    };
    record.note(&text);
    println!("{name}: {text}");
    exit(status);
}
