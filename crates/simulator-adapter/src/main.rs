//! Connects balancers to the simulator: reads one batch of events per line from standard input and
//! writes one reply per line to standard output. The instances share no state, and the adapter
//! makes no decisions of its own.

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
    let mut line_number = 0u64;
    let error = loop {
        line.clear();
        line_number += 1;
        match input.read_line(&mut line) {
            Ok(0) => return ExitCode::SUCCESS,
            Ok(_) if line.trim().is_empty() => continue,
            Ok(_) => {}
            Err(error) => break format!("cannot read standard input: {error}"),
        }
        let reply = match instances.handle_batch(&line) {
            Ok(reply) => reply,
            Err(error) => break error.to_string(),
        };
        if let Err(error) = writeln!(output, "{reply}").and_then(|()| output.flush()) {
            break format!("cannot write standard output: {error}");
        }
    };
    eprintln!("chalkwalk-simulator-adapter: line {line_number}: {error}");
    ExitCode::from(2)
}
