//! Leases: their time, and the keys that go with them.

use super::{Store, StoreError, Write};
use crate::clock::{Micros, SECOND};
use std::collections::BTreeSet;

/// A lease and its keys.
#[derive(Clone, Debug)]
pub(super) struct Lease {
    pub ttl: Micros,
    pub until: Micros,
    pub keys: BTreeSet<Vec<u8>>,
}

/// A new lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantedLease {
    /// Its number.
    pub id: i64,
    /// Its time in seconds.
    pub ttl_s: i64,
}

impl Store {
    /// A new lease, of a second at the least.
    pub fn grant(&mut self, now: Micros, ttl_s: i64) -> GrantedLease {
        let id = self.next_lease;
        self.next_lease += 1;
        let ttl_s = ttl_s.max(1);
        let ttl = ttl_s as Micros * SECOND;
        self.leases.insert(id, Lease { ttl, until: now + ttl, keys: BTreeSet::new() });
        GrantedLease { id, ttl_s }
    }

    /// Renews a lease. Its time in seconds from now on; 0 where there is none.
    pub fn keep_alive(&mut self, now: Micros, id: i64) -> i64 {
        self.expire(now);
        let Some(lease) = self.leases.get_mut(&id) else { return 0 };
        lease.until = now + lease.ttl;
        (lease.ttl / SECOND) as i64
    }

    /// Ends a lease, and deletes its keys.
    pub fn revoke(&mut self, now: Micros, id: i64) -> Result<(), StoreError> {
        let lease = self.leases.remove(&id).ok_or(StoreError::LeaseNotFound)?;
        let writes: Vec<Write> =
            lease.keys.into_iter().map(|key| Write::Delete { key, end: vec![] }).collect();
        _ = self.write(now, &writes);
        Ok(())
    }

    /// Ends the leases that have run out.
    pub fn expire(&mut self, now: Micros) {
        let expired: Vec<i64> =
            self.leases.iter().filter(|(_, lease)| lease.until <= now).map(|(id, _)| *id).collect();
        for id in expired {
            _ = self.revoke(now, id);
        }
    }

    /// When the next lease runs out.
    pub fn next_expiry(&self) -> Option<Micros> {
        self.leases.values().map(|lease| lease.until).min()
    }
}
