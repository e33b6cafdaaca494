//! A store of keys with revisions, as etcd's public API describes it: every write has a revision, older states can be asked
//! for until they are compacted, leases take their keys with them. No I/O, and time is passed in.

use crate::clock::{Micros, SECOND};
use std::collections::{BTreeMap, BTreeSet};

/// A key's state from one revision on; gone where it has no value.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    pub key: Vec<u8>,
    pub value: Option<Vec<u8>>,
    pub created: i64,
    pub modified: i64,
    pub version: i64,
    pub lease: i64,
}

#[derive(Debug, PartialEq)]
pub enum StoreError {
    /// The revision is gone, or not there yet.
    Compacted(i64),
    FutureRevision,
    LeaseNotFound,
}

#[derive(Clone, Debug)]
struct Lease {
    ttl: Micros,
    until: Micros,
    keys: BTreeSet<Vec<u8>>,
}

/// What a write compares first.
#[derive(Clone, Debug)]
pub enum Condition {
    Version(i64),
    Created(i64),
    Modified(i64),
    Value(Vec<u8>),
}

#[derive(Clone, Debug)]
pub enum Write {
    Put { key: Vec<u8>, value: Vec<u8>, lease: i64 },
    Delete { key: Vec<u8>, end: Vec<u8> },
}

#[derive(Clone, Debug)]
pub struct Store {
    revision: i64,
    compacted: i64,
    log: Vec<Item>,                      // in order of their revisions
    keys: BTreeMap<Vec<u8>, Vec<usize>>, // the places of their items in the log
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
    times: Vec<(Micros, i64)>, // when a revision came about
}

/// Whether a key is within a range as the API has it: one key where no end is said.
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
            times: vec![(0, 1)],
        }
    }
}

impl Store {
    pub fn revision(&self) -> i64 {
        self.revision
    }

    pub fn compacted(&self) -> i64 {
        self.compacted
    }

    /// The revision as of a moment.
    pub fn revision_at(&self, at: Micros) -> i64 {
        let i = self.times.partition_point(|(time, _)| *time <= at);
        i.checked_sub(1).map_or(1, |i| self.times[i].1)
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
                Write::Put { key, value, lease } => {
                    if *lease != 0 && !self.leases.contains_key(lease) {
                        return Err(StoreError::LeaseNotFound);
                    }
                    let before =
                        self.keys.get(key).and_then(|log_indexes| self.at(log_indexes, self.revision));
                    items.push(Item {
                        key: key.clone(),
                        value: Some(value.clone()),
                        created: before.map_or(next, |item| item.created),
                        modified: next,
                        version: before.map_or(1, |item| item.version + 1),
                        lease: *lease,
                    });
                }
                Write::Delete { key, end } => {
                    let (deleted, _) = self.range(key, end, 0, 0)?;
                    items.extend(deleted.into_iter().map(|item| Item {
                        value: None,
                        modified: next,
                        version: 0,
                        lease: 0,
                        ..item.clone()
                    }));
                }
            }
        }
        if !items.is_empty() {
            self.revision = next;
            self.times.push((now, next));
            items.into_iter().for_each(|item| self.append(item));
        }
        Ok(self.revision)
    }

    fn append(&mut self, item: Item) {
        self.leases.values_mut().for_each(|lease| _ = lease.keys.remove(&item.key));
        if let Some(lease) = self.leases.get_mut(&item.lease) {
            lease.keys.insert(item.key.clone());
        }
        self.keys.entry(item.key.clone()).or_default().push(self.log.len());
        self.log.push(item);
    }

    /// Whether a key is as wanted.
    pub fn satisfies(&self, key: &[u8], condition: &Condition) -> bool {
        let item = self.keys.get(key).and_then(|log_indexes| self.at(log_indexes, self.revision));
        match condition {
            Condition::Version(n) => item.map_or(0, |i| i.version) == *n,
            Condition::Created(n) => item.map_or(0, |i| i.created) == *n,
            Condition::Modified(n) => item.map_or(0, |i| i.modified) == *n,
            Condition::Value(value) => item.is_some_and(|i| i.value.as_ref() == Some(value)),
        }
    }

    // ---- leases ----

    /// The new lease's number and its time in seconds.
    pub fn grant(&mut self, now: Micros, ttl_s: i64) -> (i64, i64) {
        let id = self.next_lease;
        self.next_lease += 1;
        let ttl_s = ttl_s.max(1);
        let ttl = ttl_s as Micros * SECOND;
        self.leases.insert(id, Lease { ttl, until: now + ttl, keys: BTreeSet::new() });
        (id, ttl_s)
    }

    /// Its time in seconds from now on; 0 where there is none.
    pub fn keep_alive(&mut self, now: Micros, id: i64) -> i64 {
        self.expire(now);
        let Some(lease) = self.leases.get_mut(&id) else { return 0 };
        lease.until = now + lease.ttl;
        (lease.ttl / SECOND) as i64
    }

    pub fn revoke(&mut self, now: Micros, id: i64) -> Result<(), StoreError> {
        let lease = self.leases.remove(&id).ok_or(StoreError::LeaseNotFound)?;
        let writes: Vec<Write> =
            lease.keys.into_iter().map(|key| Write::Delete { key, end: vec![] }).collect();
        _ = self.write(now, &writes);
        Ok(())
    }

    /// Takes the keys of leases that have run out.
    pub fn expire(&mut self, now: Micros) {
        let expired: Vec<i64> =
            self.leases.iter().filter(|(_, lease)| lease.until <= now).map(|(id, _)| *id).collect();
        expired.into_iter().for_each(|id| _ = self.revoke(now, id));
    }

    /// When the next lease runs out.
    pub fn next_expiry(&self) -> Option<Micros> {
        self.leases.values().map(|lease| lease.until).min()
    }

    /// As it was at an earlier moment, as from a backup: later revisions never were, and leases are as they are now.
    pub fn restore(&mut self, at: Micros) {
        let revision = self.revision_at(at).max(self.compacted);
        self.log.retain(|item| item.modified <= revision);
        self.times.retain(|(_, of)| *of <= revision);
        self.revision = revision;
        self.keys.clear();
        for (i, item) in self.log.iter().enumerate() {
            self.keys.entry(item.key.clone()).or_default().push(i);
        }
    }
}
