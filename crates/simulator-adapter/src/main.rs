//! Speaks the simulator's wire: a batch of events a line in, a reply a line out. Hosts instances that share
//! nothing and decides nothing.

mod actions;
mod fields;
mod instance;
mod instances;
mod names;

use instances::Instances;
use std::io::{BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut input = std::io::stdin().lock();
    let mut output = std::io::stdout().lock();
    let mut instances = Instances::default();
    let mut line = String::new();
    let mut number = 0u64;
    let error = loop {
        line.clear();
        number += 1;
        match input.read_line(&mut line) {
            Ok(0) => return ExitCode::SUCCESS,
            Ok(_) if line.trim().is_empty() => continue,
            Ok(_) => {}
            Err(error) => break format!("cannot read: {error}"),
        }
        let reply = match instances.handle_batch(&line) {
            Ok(reply) => reply,
            Err(error) => break error.to_string(),
        };
        if let Err(error) = writeln!(output, "{reply}").and_then(|()| output.flush()) {
            break format!("cannot write: {error}");
        }
    };
    eprintln!("chalkwalk-simulator-adapter: line {number}: {error}");
    ExitCode::from(2)
}
