//! Keeps the order of one connection's commands on the same key.

#[cfg(test)]
mod tests;

use smol::channel::Receiver;
use std::collections::VecDeque;

/// The commands of a connection that are not answered yet, with one entry per key.
#[derive(Default)]
pub struct KeyOrder {
    unanswered: VecDeque<UnansweredCommand>,
}

struct UnansweredCommand {
    key: String,
    write: bool,
    /// A channel that closes once the command is answered.
    done: Receiver<()>,
}

impl KeyOrder {
    /// Waits until the earlier commands on any of these keys are answered, except where both
    /// commands read. A client that writes and then reads has to get the value that it wrote.
    pub async fn wait_for_earlier(&mut self, keys: &[String], write: bool) {
        self.unanswered.retain(|earlier| !earlier.done.is_closed());
        let conflicts =
            |earlier: &&UnansweredCommand| (earlier.write || write) && keys.contains(&earlier.key);
        let conflicting: Vec<Receiver<()>> =
            self.unanswered.iter().filter(conflicts).map(|earlier| earlier.done.clone()).collect();
        for done in conflicting {
            _ = done.recv().await;
        }
    }

    /// Adds a command, for which later commands on its keys may have to wait.
    pub fn add(&mut self, keys: Vec<String>, write: bool, done: &Receiver<()>) {
        self.unanswered.extend(keys.into_iter().map(|key| UnansweredCommand {
            key,
            write,
            done: done.clone(),
        }));
    }
}
