//! The order of one connection's commands on the same key.

#[cfg(test)]
mod tests;

use smol::channel::Receiver;
use std::collections::VecDeque;

/// The commands of a connection that are not yet answered, by key.
#[derive(Default)]
pub struct KeyOrder {
    earlier: VecDeque<EarlierCommand>,
}

struct EarlierCommand {
    key: String,
    write: bool,
    /// Closes once the command is answered.
    done: Receiver<()>,
}

impl KeyOrder {
    /// Waits for earlier commands on the same keys, where one of the two writes: a client that
    /// writes and then reads has to find what it wrote.
    pub async fn wait_for_earlier(&mut self, keys: &[String], write: bool) {
        self.earlier.retain(|earlier| !earlier.done.is_closed());
        let conflicts = |earlier: &&EarlierCommand| (earlier.write || write) && keys.contains(&earlier.key);
        let conflicting: Vec<Receiver<()>> =
            self.earlier.iter().filter(conflicts).map(|earlier| earlier.done.clone()).collect();
        for done in conflicting {
            _ = done.recv().await;
        }
    }

    /// Adds a command, which later ones on its keys may have to wait for.
    pub fn add(&mut self, keys: Vec<String>, write: bool, done: &Receiver<()>) {
        self.earlier.extend(keys.into_iter().map(|key| EarlierCommand { key, write, done: done.clone() }));
    }
}
