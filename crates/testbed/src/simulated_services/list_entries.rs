//! Entries of the endpoint list in the form that proxies read.

use super::SimulatedServices;
use crate::clock::MILLISECOND;
use crate::model::server_list::{FIRST_VERSION, ListedServer};
use serde_json::{Value, json};

impl SimulatedServices {
    /// The id of a server, or of the origin, in the list.
    pub(super) fn endpoint_id(&self, server: usize) -> String {
        if server == self.origin_index() { "origin".to_string() } else { format!("cache-{server:03}") }
    }

    /// The whole list before its first change, which a proxy gets with its configuration.
    pub fn initial_list(&self, proxy: usize) -> Vec<Value> {
        let entries = self.server_list.snapshot(FIRST_VERSION);
        entries.iter().map(|entry| self.list_entry(proxy, entry)).collect()
    }

    /// An entry of the list, with the address that one proxy uses.
    pub fn list_entry(&self, proxy: usize, entry: &ListedServer) -> Value {
        let is_origin = entry.server == self.origin_index();
        let started_ms = if entry.started_at == 0 {
            0
        } else {
            self.clock.unix_start_ms() + entry.started_at / MILLISECOND
        };
        json!({
            "id": self.endpoint_id(entry.server),
            "addr": self.addresses.server_address(proxy, entry.server, self.origin_index()).to_string(),
            "zone": self.experiment.zone_of(if is_origin { 0 } else { entry.server }),
            "kind": if is_origin { "origin" } else { "cache" },
            "cell": if is_origin { 0 } else { self.experiment.cell_of(entry.server) },
            "state": entry.status.wire_name(),
            "weight": 1.0,
            "started_ms": started_ms,
        })
    }
}
