//! Leases: their expiry, and the keys attached to them.

use super::{Store, StoreError, Write};
use crate::clock::{Micros, SECOND};
use std::collections::BTreeSet;

/// A lease and the keys attached to it.
#[derive(Clone, Debug)]
pub(super) struct Lease {
    pub ttl: Micros,
    pub expires_at: Micros,
    pub keys: BTreeSet<Vec<u8>>,
}

/// A lease that was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantedLease {
    /// The lease's id.
    pub id: i64,
    /// The lease's time to live in seconds.
    pub ttl_s: i64,
}

impl Store {
    /// Grants a lease with a time to live of at least one second.
    pub fn grant(&mut self, now: Micros, ttl_s: i64) -> GrantedLease {
        let id = self.next_lease;
        self.next_lease += 1;
        let ttl_s = ttl_s.max(1);
        let ttl = ttl_s as Micros * SECOND;
        self.leases.insert(id, Lease { ttl, expires_at: now + ttl, keys: BTreeSet::new() });
        GrantedLease { id, ttl_s }
    }

    /// Renews a lease. Returns its time to live in seconds; 0 if there is no such lease.
    pub fn keep_alive(&mut self, now: Micros, id: i64) -> i64 {
        self.expire(now);
        let Some(lease) = self.leases.get_mut(&id) else { return 0 };
        lease.expires_at = now + lease.ttl;
        (lease.ttl / SECOND) as i64
    }

    /// Revokes a lease and deletes its keys.
    pub fn revoke(&mut self, now: Micros, id: i64) -> Result<(), StoreError> {
        let lease = self.leases.remove(&id).ok_or(StoreError::LeaseNotFound)?;
        let writes: Vec<Write> =
            lease.keys.into_iter().map(|key| Write::Delete { key, end: vec![] }).collect();
        _ = self.write(now, &writes);
        Ok(())
    }

    /// Revokes the leases that have expired.
    pub fn expire(&mut self, now: Micros) {
        let expired: Vec<i64> =
            self.leases.iter().filter(|(_, lease)| lease.expires_at <= now).map(|(id, _)| *id).collect();
        for id in expired {
            _ = self.revoke(now, id);
        }
    }

    /// When the next lease expires.
    pub fn next_expiry(&self) -> Option<Micros> {
        self.leases.values().map(|lease| lease.expires_at).min()
    }
}
