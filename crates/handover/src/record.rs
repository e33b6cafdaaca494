//! The record that each process of a proxy writes, and the merge of two records.

use crate::learned::LearnedServers;
use crate::operator_override::OperatorOverride;
use chalkwalk_time::{Span, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How long an override that enables a server is retained, so that every process has read it: each
/// process reads the files ten times a second.
const ENABLED_OVERRIDE_RETENTION: Span = Span::from_secs(60);

/// The state of one process of a proxy, and all operator overrides that the process knows of.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HandoverRecord {
    /// The process id.
    pub pid: u32,
    /// When the process started: of two processes that are ready, the later is the successor.
    #[serde(rename = "began")]
    pub started_at: Timestamp,
    /// The time since which the process has been ready, or `None` if it is not ready.
    #[serde(rename = "ready")]
    pub ready_since: Option<Timestamp>,
    /// The latest override of each server, by server id.
    #[serde(rename = "caches")]
    pub servers: BTreeMap<String, OperatorOverride>,
    /// Whether the proxy is out of service.
    pub service: OperatorOverride,
    /// What the process learned about the servers. Missing in files of earlier versions.
    #[serde(default)]
    pub learned: LearnedServers,
}

/// What a merge changed.
#[derive(Debug, Default, PartialEq)]
pub struct MergeOutcome {
    /// The ids of the servers for which the other record had a later override.
    pub servers: Vec<String>,
    /// Whether the merge took the proxy out of service or put it back.
    pub service_changed: bool,
}

impl HandoverRecord {
    /// Adopts the later overrides of another process's record.
    pub fn merge(&mut self, other: &HandoverRecord) -> MergeOutcome {
        let mut servers = Vec::new();
        for (id, other_override) in &other.servers {
            if other_override.decided_at > self.server_override(id).decided_at {
                self.servers.insert(id.clone(), *other_override);
                servers.push(id.clone());
            }
        }
        let was_disabled = self.service.is_disabled;
        if other.service.decided_at > self.service.decided_at {
            self.service = other.service;
        }
        MergeOutcome { servers, service_changed: self.service.is_disabled != was_disabled }
    }

    /// Records that an operator disables a server, or enables it again. The later call wins, even
    /// if the clock was set back in between.
    pub fn set_server_disabled(&mut self, server: &str, is_disabled: bool, now: Timestamp) {
        let new = match self.servers.get(server) {
            Some(previous) => previous.replaced_by(is_disabled, now),
            None => OperatorOverride { decided_at: now, is_disabled },
        };
        self.servers.insert(server.to_string(), new);
    }

    /// Records that an operator takes the proxy out of service, or puts it back.
    pub fn set_service_disabled(&mut self, is_disabled: bool, now: Timestamp) {
        self.service = self.service.replaced_by(is_disabled, now);
    }

    /// Whether operators have disabled the server.
    pub fn is_server_disabled(&self, server: &str) -> bool {
        self.server_override(server).is_disabled
    }

    /// The latest override of a server, or the default if there is none.
    pub fn server_override(&self, server: &str) -> OperatorOverride {
        self.servers.get(server).copied().unwrap_or_default()
    }

    /// Whether the other process has taken over from this one: it is ready, and started later
    /// (of two that started at the same time, the one with the higher pid).
    pub fn is_succeeded_by(&self, other: &HandoverRecord) -> bool {
        other.ready_since.is_some() && (other.started_at, other.pid) > (self.started_at, self.pid)
    }

    /// Drops overrides that enabled a server, once every process has had time to read them.
    pub fn drop_expired_overrides(&mut self, now: Timestamp) {
        self.servers
            .retain(|_, latest| latest.is_disabled || now < latest.decided_at + ENABLED_OVERRIDE_RETENTION);
    }
}
