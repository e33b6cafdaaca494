//! A key-value store with revisions, as etcd's public API describes it: every write has a revision,
//! older states can be read until they are compacted, and the keys of a lease are deleted with it.
//! The store does no I/O, and times are passed in.

mod leases;

pub use leases::GrantedLease;

use crate::clock::Micros;
use leases::Lease;
use std::collections::BTreeMap;

/// A key's state from one revision on; the key is deleted if there is no value.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// The key.
    pub key: Vec<u8>,
    /// The value; `None` if the key was deleted.
    pub value: Option<Vec<u8>>,
    /// The revision that created the key.
    pub create_revision: i64,
    /// The revision of this state.
    pub mod_revision: i64,
    /// Number of writes to the key since it was created.
    pub version: i64,
    /// The id of the key's lease; 0 if it has none.
    pub lease: i64,
}

/// Why a call is rejected. The messages are those of etcd.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum StoreError {
    /// The revision is compacted. The field is the revision up to which the store is compacted.
    #[error("etcdserver: mvcc: required revision has been compacted")]
    Compacted(i64),
    /// The revision does not exist yet.
    #[error("etcdserver: mvcc: required revision is a future revision")]
    FutureRevision,
    /// There is no such lease.
    #[error("etcdserver: requested lease not found")]
    LeaseNotFound,
}

/// A condition of a transaction on one key.
#[derive(Clone, Debug)]
pub enum Condition {
    /// The key's version, which is the number of its writes; 0 if the key does not exist.
    Version(i64),
    /// The revision that created the key; 0 if the key does not exist.
    CreateRevision(i64),
    /// The revision that last wrote the key; 0 if the key does not exist.
    ModRevision(i64),
    /// The key's value.
    Value(Vec<u8>),
}

/// One write of a transaction.
#[derive(Clone, Debug)]
pub enum Write {
    /// Sets a key's value and lease.
    Put {
        /// The key to write.
        key: Vec<u8>,
        /// The new value.
        value: Vec<u8>,
        /// The id of the key's lease; 0 for none.
        lease: i64,
    },
    /// Deletes the keys of a range.
    Delete {
        /// The first key.
        key: Vec<u8>,
        /// The end of the range, in the form described at [`is_in_range`].
        end: Vec<u8>,
    },
}

/// The time at which a revision was written.
#[derive(Clone, Copy, Debug)]
struct RevisionTime {
    at: Micros,
    revision: i64,
}

/// The store.
#[derive(Clone, Debug)]
pub struct Store {
    revision: i64,
    compacted: i64,
    /// All states of all keys, in order of revision.
    log: Vec<Item>,
    /// By key, the indexes of its states in the log.
    keys: BTreeMap<Vec<u8>, Vec<usize>>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
    revision_times: Vec<RevisionTime>,
}

/// Whether a key is within a range as etcd's API defines it: a single key if the end is empty, or
/// all keys from the first on if the end is one zero byte.
pub fn is_in_range(key: &[u8], from: &[u8], end: &[u8]) -> bool {
    match end {
        [] => key == from,
        [0] => key >= from,
        end => key >= from && key < end,
    }
}

impl Default for Store {
    fn default() -> Store {
        Store {
            revision: 1,
            compacted: 0,
            log: Vec::new(),
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            next_lease: 1,
            revision_times: vec![RevisionTime { at: 0, revision: 1 }],
        }
    }
}

impl Store {
    /// The latest revision.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// The revision up to which the store is compacted.
    pub fn compacted(&self) -> i64 {
        self.compacted
    }

    /// The latest revision at a point in time.
    pub fn revision_at(&self, at: Micros) -> i64 {
        let i = self.revision_times.partition_point(|time| time.at <= at);
        i.checked_sub(1).map_or(1, |i| self.revision_times[i].revision)
    }

    /// A key's state as of a revision; `None` if the key does not exist at that revision.
    fn item_at(&self, log_indexes: &[usize], revision: i64) -> Option<&Item> {
        let items = log_indexes.iter().rev().map(|i| &self.log[*i]);
        items.into_iter().find(|item| item.mod_revision <= revision).filter(|item| item.value.is_some())
    }

    /// The keys of a range as of a revision, where 0 stands for the latest; and whether there are
    /// more keys than the limit. A limit of 0 means no limit.
    pub fn range(
        &self,
        from: &[u8],
        end: &[u8],
        revision: i64,
        limit: usize,
    ) -> Result<(Vec<&Item>, bool), StoreError> {
        let revision = if revision == 0 { self.revision } else { revision };
        if revision > self.revision {
            return Err(StoreError::FutureRevision);
        }
        if revision < self.compacted {
            return Err(StoreError::Compacted(self.compacted));
        }
        let keys = self.keys.range(from.to_vec()..).take_while(|(key, _)| is_in_range(key, from, end));
        let mut found = keys.filter_map(|(_, log_indexes)| self.item_at(log_indexes, revision));
        let items: Vec<&Item> = found.by_ref().take(if limit == 0 { usize::MAX } else { limit }).collect();
        let more = found.next().is_some();
        Ok((items, more))
    }

    /// The changes within a range from one revision to another, both included, in order.
    pub fn changes(&self, from: &[u8], end: &[u8], first: i64, last: i64) -> Result<Vec<&Item>, StoreError> {
        if first <= self.compacted {
            return Err(StoreError::Compacted(self.compacted));
        }
        let start = self.log.partition_point(|item| item.mod_revision < first);
        let is_in_changes = |item: &&Item| item.mod_revision <= last && is_in_range(&item.key, from, end);
        Ok(self.log[start..]
            .iter()
            .take_while(|item| item.mod_revision <= last)
            .filter(is_in_changes)
            .collect())
    }

    /// Compacts the store: states before the revision can no longer be read.
    pub fn compact(&mut self, revision: i64) -> Result<(), StoreError> {
        if revision > self.revision {
            return Err(StoreError::FutureRevision);
        }
        if revision <= self.compacted {
            return Err(StoreError::Compacted(self.compacted));
        }
        self.compacted = revision;
        Ok(())
    }

    /// Applies the writes of a transaction, which all get one revision. If no write changes
    /// anything, there is no new revision. Returns the latest revision.
    pub fn write(&mut self, now: Micros, writes: &[Write]) -> Result<i64, StoreError> {
        let next = self.revision + 1;
        let mut items = Vec::new();
        for write in writes {
            match write {
                Write::Put { key, value, lease } => items.push(self.put(next, key, value, *lease)?),
                Write::Delete { key, end } => items.extend(self.delete(next, key, end)?),
            }
        }
        if !items.is_empty() {
            self.revision = next;
            self.revision_times.push(RevisionTime { at: now, revision: next });
            for item in items {
                self.append(item);
            }
        }
        Ok(self.revision)
    }

    /// The key's state that a put results in.
    fn put(&self, revision: i64, key: &[u8], value: &[u8], lease: i64) -> Result<Item, StoreError> {
        if lease != 0 && !self.leases.contains_key(&lease) {
            return Err(StoreError::LeaseNotFound);
        }
        let previous = self.current(key);
        Ok(Item {
            key: key.to_vec(),
            value: Some(value.to_vec()),
            create_revision: previous.map_or(revision, |item| item.create_revision),
            mod_revision: revision,
            version: previous.map_or(1, |item| item.version + 1),
            lease,
        })
    }

    /// The states that the deletion of a range results in.
    fn delete(&self, revision: i64, key: &[u8], end: &[u8]) -> Result<Vec<Item>, StoreError> {
        let (deleted, _) = self.range(key, end, 0, 0)?;
        let tombstone =
            |item: &Item| Item { value: None, mod_revision: revision, version: 0, lease: 0, ..item.clone() };
        Ok(deleted.into_iter().map(tombstone).collect())
    }

    /// A key's latest state; `None` if the key does not exist.
    fn current(&self, key: &[u8]) -> Option<&Item> {
        self.keys.get(key).and_then(|log_indexes| self.item_at(log_indexes, self.revision))
    }

    fn append(&mut self, item: Item) {
        self.leases.values_mut().for_each(|lease| _ = lease.keys.remove(&item.key));
        if let Some(lease) = self.leases.get_mut(&item.lease) {
            lease.keys.insert(item.key.clone());
        }
        self.keys.entry(item.key.clone()).or_default().push(self.log.len());
        self.log.push(item);
    }

    /// Whether a key satisfies a condition.
    pub fn satisfies(&self, key: &[u8], condition: &Condition) -> bool {
        let item = self.current(key);
        match condition {
            Condition::Version(n) => item.map_or(0, |i| i.version) == *n,
            Condition::CreateRevision(n) => item.map_or(0, |i| i.create_revision) == *n,
            Condition::ModRevision(n) => item.map_or(0, |i| i.mod_revision) == *n,
            Condition::Value(value) => item.is_some_and(|i| i.value.as_ref() == Some(value)),
        }
    }

    /// Restores the store to its state at an earlier time, as from a backup: later revisions are
    /// dropped, but leases stay as they are now.
    pub fn restore(&mut self, at: Micros) {
        let revision = self.revision_at(at).max(self.compacted);
        self.log.retain(|item| item.mod_revision <= revision);
        self.revision_times.retain(|time| time.revision <= revision);
        self.revision = revision;
        self.keys.clear();
        for (i, item) in self.log.iter().enumerate() {
            self.keys.entry(item.key.clone()).or_default().push(i);
        }
    }
}
