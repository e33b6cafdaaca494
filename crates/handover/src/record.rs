//! The record that each process of a proxy writes, and how two records are merged.

use crate::learned::LearnedServers;
use crate::operator_override::OperatorOverride;
use chalkwalk_time::{Span, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// An override that enables a server is kept for so long, so that every process has read it: each reads the files ten times a
/// second.
const ENABLED_KEPT: Span = Span::from_secs(60);

/// One process of a proxy, and all the operator overrides that it knows of.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HandoverRecord {
    /// The process's id.
    pub pid: u32,
    /// When it started: of two that are ready, the later is the successor.
    #[serde(rename = "began")]
    pub started: Timestamp,
    /// Since when it is ready, if it is.
    #[serde(rename = "ready")]
    pub ready_since: Option<Timestamp>,
    /// The last override of each server, by its id.
    #[serde(rename = "caches")]
    pub servers: BTreeMap<String, OperatorOverride>,
    /// Whether the proxy is out of service.
    pub service: OperatorOverride,
    /// What the process learned of the servers. Missing in the files of earlier versions.
    #[serde(default)]
    pub learned: LearnedServers,
}

/// What a merge changed.
#[derive(Debug, Default, PartialEq)]
pub struct MergeOutcome {
    /// Servers of which the other record had a later override.
    pub servers: Vec<String>,
    /// Whether the proxy went out of service, or back.
    pub service_changed: bool,
}

impl HandoverRecord {
    /// Adopts the later overrides of another process's record.
    pub fn merge(&mut self, other: &HandoverRecord) -> MergeOutcome {
        let mut servers = Vec::new();
        for (id, theirs) in &other.servers {
            if theirs.at > self.server_override(id).at {
                self.servers.insert(id.clone(), *theirs);
                servers.push(id.clone());
            }
        }
        let was_out = self.service.out;
        if other.service.at > self.service.at {
            self.service = other.service;
        }
        MergeOutcome { servers, service_changed: self.service.out != was_out }
    }

    /// An operator disables a server, or enables it again. The later call wins, also where a clock was set back in between.
    pub fn set_server_out(&mut self, server: &str, out: bool, now: Timestamp) {
        let new = match self.servers.get(server) {
            Some(before) => before.replaced_by(out, now),
            None => OperatorOverride { at: now, out },
        };
        self.servers.insert(server.to_string(), new);
    }

    /// An operator takes the proxy out of service, or puts it back.
    pub fn set_service_out(&mut self, out: bool, now: Timestamp) {
        self.service = self.service.replaced_by(out, now);
    }

    /// Whether operators have disabled the server.
    pub fn is_server_out(&self, server: &str) -> bool {
        self.server_override(server).out
    }

    /// The last override of a server.
    pub fn server_override(&self, server: &str) -> OperatorOverride {
        self.servers.get(server).copied().unwrap_or_default()
    }

    /// Whether the other process has taken over from this one.
    pub fn succeeded_by(&self, other: &HandoverRecord) -> bool {
        other.ready_since.is_some() && (other.started, other.pid) > (self.started, self.pid)
    }

    /// Drops the overrides that enabled a server long enough ago for every process to have read them.
    pub fn drop_settled(&mut self, now: Timestamp) {
        self.servers.retain(|_, last| last.out || now < last.at + ENABLED_KEPT);
    }
}
