//! Keeps the order of one connection's commands on the same key.

#[cfg(test)]
mod tests;

use smol::channel::Receiver;
use std::cmp::Ordering;
use std::collections::VecDeque;
use std::hash::{BuildHasher, RandomState};
use std::rc::{Rc, Weak};

/// The hashes of a command's keys, in ascending order. Two keys with the same hash count as one key,
/// which only delays a command.
#[derive(Debug, PartialEq, Eq)]
pub struct KeyHashes(Vec<u64>);

impl KeyHashes {
    /// Whether the two sets have a hash in common.
    fn intersects(&self, other: &KeyHashes) -> bool {
        let (mut own, mut others) = (self.0.iter().peekable(), other.0.iter().peekable());
        while let (Some(own_hash), Some(other_hash)) = (own.peek(), others.peek()) {
            match own_hash.cmp(other_hash) {
                Ordering::Less => _ = own.next(),
                Ordering::Greater => _ = others.next(),
                Ordering::Equal => return true,
            }
        }
        false
    }
}

/// The commands of a connection that are not answered yet.
#[derive(Default)]
pub struct KeyOrder {
    hash_builder: RandomState,
    unanswered: VecDeque<UnansweredCommand>,
}

struct UnansweredCommand {
    /// Owned by the request, so that an answered command keeps no memory.
    keys: Weak<KeyHashes>,
    write: bool,
    /// A channel that closes once the command is answered.
    done: Receiver<()>,
}

impl KeyOrder {
    /// The hashes of a command's keys.
    pub fn hashes(&self, keys: &[String]) -> Rc<KeyHashes> {
        let mut hashes: Vec<u64> = keys.iter().map(|key| self.hash_builder.hash_one(key)).collect();
        hashes.sort_unstable();
        hashes.dedup();
        Rc::new(KeyHashes(hashes))
    }

    /// Waits until the earlier commands on any of these keys are answered, except where both
    /// commands read. A client that writes and then reads has to get the value that it wrote.
    pub async fn wait_for_earlier(&mut self, keys: &KeyHashes, write: bool) {
        self.unanswered.retain(|earlier| !earlier.done.is_closed());
        let conflicts = |earlier: &&UnansweredCommand| {
            (earlier.write || write) && earlier.keys.upgrade().is_some_and(|other| other.intersects(keys))
        };
        let conflicting: Vec<Receiver<()>> =
            self.unanswered.iter().filter(conflicts).map(|earlier| earlier.done.clone()).collect();
        for done in conflicting {
            _ = done.recv().await;
        }
    }

    /// Adds a command, for which later commands on its keys may have to wait.
    pub fn add(&mut self, keys: &Rc<KeyHashes>, write: bool, done: &Receiver<()>) {
        let keys = Rc::downgrade(keys);
        self.unanswered.push_back(UnansweredCommand { keys, write, done: done.clone() });
    }
}
