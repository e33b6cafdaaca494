//! This proxy's own key, under a lease that ends with it.

use crate::call::Link;
use chalkwalk_engine::engine::Engine;
use chalkwalk_engine::lifecycle::Phase;
use chalkwalk_etcd_wire::{api, path};
use chalkwalk_membership::format::{ProxyRecord, encode_proxy};
use slog::info;
use smol::Timer;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// What a proxy says of itself, and its lease where it has one.
pub struct Announcement {
    pub engine: Rc<Engine>,
    pub key: String,
    pub instance: ProxyRecord,
    pub lease_s: u64,
    lease: Cell<i64>, // 0: none
}

/// Times a lease is told of within its length: two may be lost.
const TIMES: u32 = 3;

impl Announcement {
    pub fn new(engine: &Rc<Engine>, prefix: &str, instance: ProxyRecord, lease_s: u64) -> Announcement {
        let key = format!("{prefix}proxies/{}", engine.config.name);
        Announcement { engine: engine.clone(), key, instance, lease_s, lease: Cell::new(0) }
    }

    /// Keeps the key there for as long as the connection holds and the proxy serves; then gives the lease up. An error is of
    /// the connection.
    pub async fn hold(&self, link: &Link) -> Result<(), String> {
        let leaving = async {
            self.engine.lifecycle.reached(Phase::Draining).await;
            Ok(())
        };
        smol::future::or(leaving, self.keep(link)).await?;
        let id = self.lease.replace(0);
        if id != 0 {
            info!(self.engine.log, "own key given up"; "key" => &self.key);
            let revoke = api::LeaseRevokeRequest { id };
            _ = link.ask::<api::LeaseRevokeResponse>(path::LEASE_REVOKE, &revoke).await;
        }
        Ok(())
    }

    async fn keep(&self, link: &Link) -> Result<(), String> {
        let step = Duration::from_secs(self.lease_s) / TIMES;
        loop {
            if !self.alive(link).await? {
                self.grant(link).await?;
            }
            Timer::after(step).await;
        }
    }

    /// Whether the lease still stands. One that ran out, as the process was stopped or etcd away, is gone with its key.
    async fn alive(&self, link: &Link) -> Result<bool, String> {
        let id = self.lease.get();
        if id == 0 {
            return Ok(false);
        }
        let ask = api::LeaseKeepAliveRequest { id };
        let answer: api::LeaseKeepAliveResponse = link.ask(path::LEASE_KEEP_ALIVE, &ask).await?;
        if answer.ttl <= 0 {
            info!(self.engine.log, "own lease had run out"; "key" => &self.key);
            self.lease.set(0);
        }
        Ok(answer.ttl > 0)
    }

    async fn grant(&self, link: &Link) -> Result<(), String> {
        let ask = api::LeaseGrantRequest { ttl: self.lease_s as i64, id: 0 };
        let granted: api::LeaseGrantResponse = link.ask(path::LEASE_GRANT, &ask).await?;
        if granted.id == 0 {
            return Err(format!("no lease: {}", granted.error));
        }
        let put = api::PutRequest {
            key: self.key.clone().into(),
            value: encode_proxy(&self.instance).into(),
            lease: granted.id,
        };
        let _: api::PutResponse = link.ask(path::PUT, &put).await?;
        self.lease.set(granted.id);
        Ok(())
    }
}
