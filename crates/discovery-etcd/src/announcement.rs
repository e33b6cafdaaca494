//! This proxy's own key, under a lease that ends with the process.

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

/// Keep-alives within the length of a lease: two in a row may be lost.
const KEEP_ALIVES_PER_LEASE: u32 = 3;

/// A lease's id, which etcd draws; never 0.
type LeaseId = i64;

/// What a proxy publishes of itself, and its lease where it holds one.
pub struct Announcement {
    engine: Rc<Engine>,
    key: String,
    record: ProxyRecord,
    lease_s: u64,
    lease: Cell<Option<LeaseId>>,
}

impl Announcement {
    /// Announces this proxy below the prefix, under a lease of so many seconds; nothing is sent
    /// yet.
    pub fn new(engine: &Rc<Engine>, prefix: &str, record: ProxyRecord, lease_s: u64) -> Announcement {
        let key = format!("{prefix}proxies/{}", engine.config.name);
        Announcement { engine: engine.clone(), key, record, lease_s, lease: Cell::new(None) }
    }

    /// Keeps the key alive for as long as the connection holds and the proxy serves; then revokes
    /// the lease. An error ends the connection.
    pub(crate) async fn hold(&self, connection: &Connection) -> Result<(), SessionError> {
        let draining = async {
            self.engine.lifecycle.reached(Phase::Draining).await;
            Ok(())
        };
        smol::future::or(draining, self.keep_alive(connection)).await?;
        if let Some(lease) = self.lease.take() {
            info!(self.engine.log, "own lease revoked"; "key" => &self.key);
            let revoke = api::LeaseRevokeRequest { id: lease };
            // Where it fails, the lease expires by itself.
            _ = connection.call::<api::LeaseRevokeResponse>(path::LEASE_REVOKE, &revoke).await;
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

    /// Renews the lease; false if there is none. One that expired, as the process was stopped or
    /// etcd down, is gone with its key.
    async fn renew(&self, connection: &Connection) -> Result<bool, SessionError> {
        let Some(lease) = self.lease.get() else { return Ok(false) };
        let renewal = api::LeaseKeepAliveRequest { id: lease };
        let response: api::LeaseKeepAliveResponse = connection.call(path::LEASE_KEEP_ALIVE, &renewal).await?;
        let renewed = response.ttl > 0;
        if !renewed {
            info!(self.engine.log, "own lease expired"; "key" => &self.key);
            self.lease.set(None);
        }
        Ok(renewed)
    }

    /// Takes a new lease, and writes the key under it.
    async fn grant(&self, connection: &Connection) -> Result<(), SessionError> {
        let grant = api::LeaseGrantRequest { ttl: self.lease_s as i64, id: 0 };
        let granted: api::LeaseGrantResponse = connection.call(path::LEASE_GRANT, &grant).await?;
        if granted.id == 0 {
            return Err(SessionError::NoLease { reason: granted.error });
        }
        let put = api::PutRequest {
            key: self.key.clone().into(),
            value: encode_proxy(&self.record).into(),
            lease: granted.id,
        };
        let _: api::PutResponse = connection.call(path::PUT, &put).await?;
        self.lease.set(Some(granted.id));
        Ok(())
    }
}
