//! A store of keys with revisions, as etcd's public API describes it: every write has a revision, older states can be read
//! until they are compacted, keys of a lease go with it. No I/O, and time is passed in.

mod leases;

pub use leases::GrantedLease;

use crate::clock::Micros;
use leases::Lease;
use std::collections::BTreeMap;

/// A key's state from one revision on; gone where it has no value.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// Its key.
    pub key: Vec<u8>,
    /// Its value; none where the key was deleted.
    pub value: Option<Vec<u8>>,
    /// The revision that created the key.
    pub created: i64,
    /// The revision of this state.
    pub modified: i64,
    /// How often it was written since it was created.
    pub version: i64,
    /// Its lease; 0: none.
    pub lease: i64,
}

/// Why a call is refused; the texts are those of etcd.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum StoreError {
    /// The revision is gone: the store is compacted up to the one that is named.
    #[error("etcdserver: mvcc: required revision has been compacted")]
    Compacted(i64),
    /// The revision is not there yet.
    #[error("etcdserver: mvcc: required revision is a future revision")]
    FutureRevision,
    /// There is no such lease.
    #[error("etcdserver: requested lease not found")]
    LeaseNotFound,
}

/// What a write compares first.
#[derive(Clone, Debug)]
pub enum Condition {
    /// The key was written so often; 0: it is not there.
    Version(i64),
    /// It was created by this revision; 0: it is not there.
    Created(i64),
    /// It was last written by this revision; 0: it is not there.
    Modified(i64),
    /// It has this value.
    Value(Vec<u8>),
}

/// One write of a transaction.
#[derive(Clone, Debug)]
pub enum Write {
    /// Sets a key's value and lease.
    Put {
        /// Which key.
        key: Vec<u8>,
        /// Its value.
        value: Vec<u8>,
        /// Its lease; 0: none.
        lease: i64,
    },
    /// Deletes the keys of a range.
    Delete {
        /// The first key.
        key: Vec<u8>,
        /// The end of the range, as the API has it.
        end: Vec<u8>,
    },
}

/// When a revision came about.
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
    /// Every state of every key, in order of revisions.
    log: Vec<Item>,
    /// The indexes of a key's states in the log.
    keys: BTreeMap<Vec<u8>, Vec<usize>>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
    times: Vec<RevisionTime>,
}

/// Whether a key is within a range as the API has it: one key where the end is empty, all keys from the first on where it is a
/// zero byte.
pub fn within(key: &[u8], from: &[u8], end: &[u8]) -> bool {
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
            times: vec![RevisionTime { at: 0, revision: 1 }],
        }
    }
}

impl Store {
    /// The newest revision.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// The revision that the store is compacted up to.
    pub fn compacted(&self) -> i64 {
        self.compacted
    }

    /// The revision as of a moment.
    pub fn revision_at(&self, at: Micros) -> i64 {
        let i = self.times.partition_point(|time| time.at <= at);
        i.checked_sub(1).map_or(1, |i| self.times[i].revision)
    }

    /// A key as of a revision, unless it is gone by then.
    fn at(&self, log_indexes: &[usize], revision: i64) -> Option<&Item> {
        let items = log_indexes.iter().rev().map(|i| &self.log[*i]);
        items.into_iter().find(|item| item.modified <= revision).filter(|item| item.value.is_some())
    }

    /// The keys of a range as of a revision, 0 for the present one; and whether there are more than the limit.
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
        let keys = self.keys.range(from.to_vec()..).take_while(|(key, _)| within(key, from, end));
        let mut found = keys.filter_map(|(_, log_indexes)| self.at(log_indexes, revision));
        let items: Vec<&Item> = found.by_ref().take(if limit == 0 { usize::MAX } else { limit }).collect();
        let more = found.next().is_some();
        Ok((items, more))
    }

    /// What changed within a range from one revision to another, both included, in order.
    pub fn changes(&self, from: &[u8], end: &[u8], first: i64, last: i64) -> Result<Vec<&Item>, StoreError> {
        if first <= self.compacted {
            return Err(StoreError::Compacted(self.compacted));
        }
        let start = self.log.partition_point(|item| item.modified < first);
        let own = |item: &&Item| item.modified <= last && within(&item.key, from, end);
        Ok(self.log[start..].iter().take_while(|item| item.modified <= last).filter(own).collect())
    }

    /// Drops the states before a revision.
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

    /// All writes of one transaction have one revision; with none that changes anything there is no new one.
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
            self.times.push(RevisionTime { at: now, revision: next });
            for item in items {
                self.append(item);
            }
        }
        Ok(self.revision)
    }

    /// The state that a put makes.
    fn put(&self, revision: i64, key: &[u8], value: &[u8], lease: i64) -> Result<Item, StoreError> {
        if lease != 0 && !self.leases.contains_key(&lease) {
            return Err(StoreError::LeaseNotFound);
        }
        let before = self.present(key);
        Ok(Item {
            key: key.to_vec(),
            value: Some(value.to_vec()),
            created: before.map_or(revision, |item| item.created),
            modified: revision,
            version: before.map_or(1, |item| item.version + 1),
            lease,
        })
    }

    /// The states that the delete of a range makes.
    fn delete(&self, revision: i64, key: &[u8], end: &[u8]) -> Result<Vec<Item>, StoreError> {
        let (deleted, _) = self.range(key, end, 0, 0)?;
        let gone =
            |item: &Item| Item { value: None, modified: revision, version: 0, lease: 0, ..item.clone() };
        Ok(deleted.into_iter().map(gone).collect())
    }

    /// A key as it is now.
    fn present(&self, key: &[u8]) -> Option<&Item> {
        self.keys.get(key).and_then(|log_indexes| self.at(log_indexes, self.revision))
    }

    fn append(&mut self, item: Item) {
        self.leases.values_mut().for_each(|lease| _ = lease.keys.remove(&item.key));
        if let Some(lease) = self.leases.get_mut(&item.lease) {
            lease.keys.insert(item.key.clone());
        }
        self.keys.entry(item.key.clone()).or_default().push(self.log.len());
        self.log.push(item);
    }

    /// Whether a key is as a condition has it.
    pub fn satisfies(&self, key: &[u8], condition: &Condition) -> bool {
        let item = self.present(key);
        match condition {
            Condition::Version(n) => item.map_or(0, |i| i.version) == *n,
            Condition::Created(n) => item.map_or(0, |i| i.created) == *n,
            Condition::Modified(n) => item.map_or(0, |i| i.modified) == *n,
            Condition::Value(value) => item.is_some_and(|i| i.value.as_ref() == Some(value)),
        }
    }

    /// As it was at an earlier moment, as from a backup: later revisions never were, and leases are as they are now.
    pub fn restore(&mut self, at: Micros) {
        let revision = self.revision_at(at).max(self.compacted);
        self.log.retain(|item| item.modified <= revision);
        self.times.retain(|time| time.revision <= revision);
        self.revision = revision;
        self.keys.clear();
        for (i, item) in self.log.iter().enumerate() {
            self.keys.entry(item.key.clone()).or_default().push(i);
        }
    }
}
