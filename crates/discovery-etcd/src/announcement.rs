//! This proxy's own key in etcd, bound to a lease that expires soon after the process ends.

use crate::call::Connection;
use crate::error::SessionError;
use chalkwalk_engine::engine::Engine;
use chalkwalk_engine::lifecycle::Phase;
use chalkwalk_etcd_wire::{api, path};
use chalkwalk_membership::format::{ProxyRecord, encode_proxy};
use slog::info;
use smol::Timer;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Keep-alives per lease duration. With 3, two in a row may be lost.
const KEEP_ALIVES_PER_LEASE: u32 = 3;

/// A lease's id, which etcd assigns; never 0.
type LeaseId = i64;

/// The record that a proxy publishes about itself, and its lease if it holds one.
pub struct Announcement {
    engine: Rc<Engine>,
    key: String,
    record: ProxyRecord,
    lease_s: u64,
    lease: Cell<Option<LeaseId>>,
}

impl Announcement {
    /// Announces this proxy below the prefix, with a lease of `lease_s` seconds. It does not send
    /// anything yet.
    pub fn new(engine: &Rc<Engine>, prefix: &str, record: ProxyRecord, lease_s: u64) -> Announcement {
        let key = format!("{prefix}proxies/{}", engine.config.name);
        Announcement { engine: engine.clone(), key, record, lease_s, lease: Cell::new(None) }
    }

    /// Keeps the key alive until the proxy drains, and then revokes the lease. An error ends the
    /// session on this connection.
    pub(crate) async fn maintain(&self, connection: &Connection) -> Result<(), SessionError> {
        let draining = async {
            self.engine.lifecycle.wait_for_phase(Phase::Draining).await;
            Ok(())
        };
        smol::future::or(draining, self.keep_alive(connection)).await?;
        if let Some(lease) = self.lease.take() {
            info!(self.engine.log, "own lease revoked"; "key" => &self.key);
            let revoke_request = api::LeaseRevokeRequest { id: lease };
            // If the call fails, the lease expires by itself.
            _ = connection.call::<api::LeaseRevokeResponse>(path::LEASE_REVOKE, &revoke_request).await;
        }
        Ok(())
    }

    async fn keep_alive(&self, connection: &Connection) -> Result<(), SessionError> {
        let interval = Duration::from_secs(self.lease_s) / KEEP_ALIVES_PER_LEASE;
        loop {
            if !self.renew(connection).await? {
                self.grant(connection).await?;
            }
            Timer::after(interval).await;
        }
    }

    /// Renews the lease; returns false if there is none, or if it has expired. A lease expires, and
    /// etcd deletes its key, if the process was suspended or etcd was unavailable for too long.
    async fn renew(&self, connection: &Connection) -> Result<bool, SessionError> {
        let Some(lease) = self.lease.get() else { return Ok(false) };
        let renewal_request = api::LeaseKeepAliveRequest { id: lease };
        let response: api::LeaseKeepAliveResponse =
            connection.call(path::LEASE_KEEP_ALIVE, &renewal_request).await?;
        let renewed = response.ttl > 0;
        if !renewed {
            info!(self.engine.log, "own lease expired"; "key" => &self.key);
            self.lease.set(None);
        }
        Ok(renewed)
    }

    /// Requests a new lease and writes the key bound to it.
    async fn grant(&self, connection: &Connection) -> Result<(), SessionError> {
        let grant_request = api::LeaseGrantRequest { ttl: self.lease_s as i64, id: 0 };
        let grant_response: api::LeaseGrantResponse =
            connection.call(path::LEASE_GRANT, &grant_request).await?;
        if grant_response.id == 0 {
            return Err(SessionError::NoLease { reason: grant_response.error });
        }
        let put_request = api::PutRequest {
            key: self.key.clone().into(),
            value: encode_proxy(&self.record).into(),
            lease: grant_response.id,
        };
        let _: api::PutResponse = connection.call(path::PUT, &put_request).await?;
        self.lease.set(Some(grant_response.id));
        Ok(())
    }
}
