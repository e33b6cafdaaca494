//! The figures that a process has learned about the servers, written for its successor, which
//! otherwise would have to learn them again.

use chalkwalk_time::{Span, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The age up to which learned figures are used: a restart or an upgrade takes no longer.
const MAX_AGE: Span = Span::from_secs(60);

/// The maximum number of servers that are written. With ids of at most `MAX_ID_BYTES`, their
/// figures take a fifth of the maximum length of a file.
const MAX_SERVERS: usize = 2000;
/// The maximum length of a server's id, in bytes; figures of servers with longer ids are not
/// written.
const MAX_ID_BYTES: usize = 64;

/// The figures that a process has learned about the servers, with the time and a digest of the
/// settings: the figures are not valid under other settings.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LearnedServers {
    /// When the figures were written.
    #[serde(rename = "at")]
    pub written_at: Timestamp,
    /// A digest of the settings on which the meaning of the figures depends.
    #[serde(rename = "terms")]
    pub settings_digest: u64,
    /// The figures of each server, by server id.
    #[serde(rename = "caches")]
    pub servers: BTreeMap<String, ServerStats>,
}

/// The learned figures of one server. Stored as the JSON array
/// `[start time, weight, key share, concurrency limit]`.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(from = "[u64; 4]", into = "[u64; 4]")]
pub struct ServerStats {
    /// When the server process started, in ticks: the figures are not valid after a restart of the
    /// server.
    pub started_at: u64,
    /// The highest weight that the server has reported, in hundredths.
    pub weight: u64,
    /// The share of its keys that the server keeps, in thousandths.
    pub key_share: u64,
    /// The number of concurrent attempts that the server can handle, in hundredths of an attempt.
    pub concurrency_limit: u64,
}

impl LearnedServers {
    /// Drops the servers beyond the maximum number, and those whose id is too long to be written.
    pub fn bounded(mut self) -> LearnedServers {
        let mut count = 0;
        self.servers.retain(|id, _| {
            if id.len() > MAX_ID_BYTES {
                return false;
            }
            count += 1;
            count <= MAX_SERVERS
        });
        self
    }

    /// Whether a process with these settings may use the figures now. Figures with a time in the
    /// future were written before the clock was set back: their age is unknown, so they are not
    /// used.
    pub fn is_usable(&self, settings_digest: u64, now: Timestamp) -> bool {
        let valid = self.written_at..self.written_at.saturating_add(MAX_AGE);
        self.settings_digest == settings_digest && !self.servers.is_empty() && valid.contains(&now)
    }
}

impl From<[u64; 4]> for ServerStats {
    fn from([started_at, weight, key_share, concurrency_limit]: [u64; 4]) -> ServerStats {
        ServerStats { started_at, weight, key_share, concurrency_limit }
    }
}

impl From<ServerStats> for [u64; 4] {
    fn from(figures: ServerStats) -> [u64; 4] {
        [figures.started_at, figures.weight, figures.key_share, figures.concurrency_limit]
    }
}
