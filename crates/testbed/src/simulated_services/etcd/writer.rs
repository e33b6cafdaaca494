//! Writes to the store: changes of the list when they are published, and operations on the store
//! itself.

use super::{KEY_PREFIX, SERVING_STATE};
use crate::clock::{MILLISECOND, Micros};
use crate::model::etcd::StoreAction;
use crate::model::server_list::{FIRST_VERSION, ListedServer};
use crate::model::store::Write;
use crate::model::timeline::{EndpointStatus, ListUpdate};
use crate::simulated_services::SimulatedServices;
use crate::sync::lock;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

/// Placeholder in values for the number of the proxy that reads them.
pub(super) const PROXY_PLACEHOLDER: &str = "@PROXY@";
/// Maximum time that the writer sleeps, because leases may be renewed and new ones granted in the
/// meantime.
const MAX_SLEEP: Micros = 100 * MILLISECOND;

pub(super) fn key_of(services: &SimulatedServices, server: usize) -> Vec<u8> {
    format!("{KEY_PREFIX}caches/{}", services.endpoint_id(server)).into_bytes()
}

/// An entry's value, with a placeholder for the proxy.
fn value_of(services: &SimulatedServices, entry: &ListedServer) -> Vec<u8> {
    let mut value = services.list_entry(0, entry);
    let state = if entry.status == EndpointStatus::Ready { SERVING_STATE } else { "draining" };
    let addr = with_proxy_placeholder(value["addr"].as_str().unwrap_or(""));
    if let Some(fields) = value.as_object_mut() {
        fields.remove("id");
        fields.remove("weight");
        fields.insert("v".into(), json!(1));
        fields.insert("addr".into(), json!(addr));
        fields.insert("state".into(), json!(state));
    }
    value.to_string().into_bytes()
}

/// Puts the placeholder in an address, which has the form 127.block.proxy.peer; proxies are counted
/// from 1.
fn with_proxy_placeholder(addr: &str) -> String {
    match addr.splitn(4, '.').collect::<Vec<_>>()[..] {
        [net, block, _, peer] => format!("{net}.{block}.{PROXY_PLACEHOLDER}.{peer}"),
        _ => addr.to_string(),
    }
}

/// Replaces the placeholder in a value with a proxy's number.
pub(super) fn fill_proxy_placeholder(value: Vec<u8>, proxy: usize) -> Vec<u8> {
    match String::from_utf8(value) {
        Ok(text) => text.replace(PROXY_PLACEHOLDER, &(proxy + 1).to_string()).into_bytes(),
        Err(error) => error.into_bytes(),
    }
}

impl SimulatedServices {
    /// Writes the list as it is at the start of the run.
    pub fn seed_etcd(&self) {
        let put = |entry: &ListedServer| Write::Put {
            key: key_of(self, entry.server),
            value: value_of(self, entry),
            lease: 0,
        };
        let writes: Vec<Write> = self.server_list.snapshot(FIRST_VERSION).iter().map(put).collect();
        _ = lock(&self.etcd.store).write(0, &writes);
    }

    /// Writes changes of the list when they are published, and applies the operations of the
    /// timeline to the store; never returns.
    pub async fn run_etcd_writer(self: Arc<SimulatedServices>) {
        let mut updates = self.timelines.list_updates.iter().peekable();
        let mut actions = self.etcd.timeline.actions.iter().peekable();
        let mut started_at = vec![0; self.origin_index() + 1];
        loop {
            let expiry = lock(&self.etcd.store).next_expiry();
            let next_update = updates.peek().map(|update| update.published_at);
            let next_action = actions.peek().map(|timed| timed.at);
            let Some(at) = [next_update, next_action, expiry].into_iter().flatten().min() else {
                smol::Timer::after(Duration::from_micros(MAX_SLEEP)).await;
                continue;
            };
            self.clock.sleep_until(at.min(self.clock.now() + MAX_SLEEP)).await;
            let now = self.clock.now();
            lock(&self.etcd.store).expire(now);
            while let Some(timed) = actions.next_if(|timed| timed.at <= now) {
                self.act_on_store(timed.action, now);
            }
            // Changes that are published at the same time are one transaction, which changes each
            // server at most once.
            let mut batch: Vec<&ListUpdate> = Vec::new();
            while let Some(update) = updates.next_if(|update| {
                update.published_at <= now && !batch.iter().any(|earlier| earlier.server == update.server)
            }) {
                batch.push(update);
            }
            self.write_updates(&batch, &mut started_at, now);
            self.etcd.wake_watchers();
        }
    }

    fn act_on_store(&self, action: StoreAction, now: Micros) {
        let mut store = lock(&self.etcd.store);
        match action {
            StoreAction::Compact => {
                let revision = store.revision();
                _ = store.compact(revision);
            }
            StoreAction::Restore(age) => {
                store.restore(now.saturating_sub(age));
                *lock(&self.etcd.cluster_id) += 1;
            }
        }
    }

    /// Writes changes in one transaction; `started_at` holds the start of each server's process as
    /// last written.
    fn write_updates(&self, updates: &[&ListUpdate], started_at: &mut [Micros], now: Micros) {
        let mut writes = Vec::new();
        for update in updates {
            let server = update.server;
            let key = key_of(self, server);
            if update.status == EndpointStatus::Ready {
                started_at[server] = update.started_at;
            }
            let entry = ListedServer { server, status: update.status, started_at: started_at[server] };
            writes.push(match update.status {
                EndpointStatus::Gone => Write::Delete { key, end: vec![] },
                _ => Write::Put { key, value: value_of(self, &entry), lease: 0 },
            });
        }
        if !writes.is_empty() {
            _ = lock(&self.etcd.store).write(now, &writes);
        }
    }
}
