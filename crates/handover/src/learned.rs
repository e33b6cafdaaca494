//! What a process learned of the servers, so that its successor need not learn it again.

use chalkwalk_time::{Span, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Learned figures are used for so long after they were written: as long as a restart or an upgrade takes.
const MAX_AGE: Span = Span::from_secs(60);

/// At most so many servers are written, with ids of at most so many bytes: a fifth of the longest file.
const MAX_SERVERS: usize = 2000;
const MAX_ID_BYTES: usize = 64;

/// What a process has learned of the servers, when, and under which settings: under other settings the figures mean nothing.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LearnedServers {
    /// When the figures were written.
    #[serde(rename = "at")]
    pub written_at: Timestamp,
    /// A digest of the settings that give the figures their meaning.
    #[serde(rename = "terms")]
    pub settings_digest: u64,
    /// The figures of each server, by its id.
    #[serde(rename = "caches")]
    pub servers: BTreeMap<String, ServerFigures>,
}

/// What was learned of one server. Stored as the JSON array `[started, weight, key share, concurrency limit]`.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(from = "[u64; 4]", into = "[u64; 4]")]
pub struct ServerFigures {
    /// When its process started, in ticks: of another start the figures say nothing.
    pub started: u64,
    /// The largest weight that it reported, in hundredths.
    pub weight: u64,
    /// Thousandths of its keys that it keeps.
    pub key_share: u64,
    /// Hundredths of an attempt that it takes at once.
    pub concurrency_limit: u64,
}

impl LearnedServers {
    /// The same, cut down to the number of servers and the length of ids that are written.
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

    /// Whether a process with these settings may use the figures now. Figures from the future were written before the clock
    /// was set back: their age is unknown, and they are not used.
    pub fn is_usable(&self, settings_digest: u64, now: Timestamp) -> bool {
        let valid = self.written_at..self.written_at.saturating_add(MAX_AGE);
        self.settings_digest == settings_digest && !self.servers.is_empty() && valid.contains(&now)
    }
}

impl From<[u64; 4]> for ServerFigures {
    fn from([started, weight, key_share, concurrency_limit]: [u64; 4]) -> ServerFigures {
        ServerFigures { started, weight, key_share, concurrency_limit }
    }
}

impl From<ServerFigures> for [u64; 4] {
    fn from(figures: ServerFigures) -> [u64; 4] {
        [figures.started, figures.weight, figures.key_share, figures.concurrency_limit]
    }
}
