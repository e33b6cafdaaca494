//! What the processes of one proxy tell each other over an upgrade: servers that operators took out, whether the proxy is in
//! service, who is ready. Each process writes a file of its own, and of what two say on a matter the later word holds.
//!
//! It may use serde and a checksum. No file, clock or socket ever enters it: times are passed in, files come as texts.

use chalkwalk_time::{Span, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The first word of each file, with the version of its form. Another version is not read.
const MARK: &str = "chalkwalk-handover-1";

/// Longer than any that is written: ten thousand servers out, of 60 bytes each.
pub const MAX_FILE_BYTES: usize = 1 << 20;

/// Entries that say what holds anyway are kept for so long, so that every process has read them: it does so ten times a
/// second.
const SETTLED: Span = Span::from_secs(60);

/// The last word on a matter, and when it was said.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct OperatorOverride {
    pub at: Timestamp,
    pub out: bool,
}

/// What was learned is taken up for so long after it was written down: as long as a restart or an upgrade takes.
const FRESH: Span = Span::from_secs(60);

/// No more servers than these are told of, with ids of at most so many bytes: a fifth of the longest file.
const MOST_LEARNED: usize = 2000;
const LONGEST_ID: usize = 64;

/// What a process has learned of the servers, when, and on what terms: of other ones it says nothing.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LearnedServers {
    #[serde(rename = "at")]
    pub written_at: Timestamp,
    #[serde(rename = "terms")]
    pub settings_digest: u64,
    /// By id: when it started, its largest weight, part and room.
    #[serde(rename = "caches")]
    pub servers: BTreeMap<String, ServerFigures>,
}

impl LearnedServers {
    /// The same within the bounds that are kept.
    pub fn bounded(mut self) -> LearnedServers {
        let mut kept = 0;
        self.servers.retain(|id, _| {
            kept += usize::from(id.len() <= LONGEST_ID);
            id.len() <= LONGEST_ID && kept <= MOST_LEARNED
        });
        self
    }

    /// Whether it may be taken up by a process with these terms. What was written down later than now is of a clock that
    /// was set back, and as old as any.
    pub fn is_usable(&self, settings_digest: u64, now: Timestamp) -> bool {
        self.settings_digest == settings_digest
            && !self.servers.is_empty()
            && (self.written_at..self.written_at.saturating_add(FRESH)).contains(&now)
    }
}

/// One process, and all that it knows operators to have said.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HandoverRecord {
    pub pid: u32,
    /// When it started: of two that are ready, the later is the successor.
    #[serde(rename = "began")]
    pub started: Timestamp,
    /// Since when it is ready, if it is.
    #[serde(rename = "ready")]
    pub ready_since: Option<Timestamp>,
    /// By the ids of servers: whether each is out.
    #[serde(rename = "caches")]
    pub servers: BTreeMap<String, OperatorOverride>,
    /// Whether the proxy is out of service.
    pub service: OperatorOverride,
    /// Not in the files of versions before.
    #[serde(default)]
    pub learned: LearnedServers,
}

impl HandoverRecord {
    /// Takes what another process says. Returns the servers of which it had a later word, and whether something else
    /// holds of the service.
    pub fn merge(&mut self, other: &HandoverRecord) -> (Vec<String>, bool) {
        let mut changed = Vec::new();
        for (id, word) in &other.servers {
            let own = self.servers.get(id).copied().unwrap_or_default();
            if word.at > own.at {
                self.servers.insert(id.clone(), *word);
                changed.push(id.clone());
            }
        }
        let was = self.service;
        if other.service.at > was.at {
            self.service = other.service;
        }
        (changed, self.service.out != was.out)
    }

    /// An operator says that a server is out, or back. The later word holds, also where a clock was set back in between.
    pub fn set_server_out(&mut self, server: &str, out: bool, now: Timestamp) {
        let at = self.servers.get(server).map_or(now, |word| now.max(word.at + Span::from_ticks(1)));
        self.servers.insert(server.to_string(), OperatorOverride { at, out });
    }

    pub fn set_service_out(&mut self, out: bool, now: Timestamp) {
        self.service = OperatorOverride { at: now.max(self.service.at + Span::from_ticks(1)), out };
    }

    pub fn is_server_out(&self, server: &str) -> bool {
        self.server_override(server).out
    }

    /// The last word on a server.
    pub fn server_override(&self, server: &str) -> OperatorOverride {
        self.servers.get(server).copied().unwrap_or_default()
    }

    /// Whether the other has taken over from this one.
    pub fn succeeded_by(&self, other: &HandoverRecord) -> bool {
        other.ready_since.is_some() && (other.started, other.pid) > (self.started, self.pid)
    }

    /// Forgets what was settled long ago.
    pub fn drop_settled(&mut self, now: Timestamp) {
        self.servers.retain(|_, word| word.out || now < word.at + SETTLED);
    }

    /// As it is written to a file.
    pub fn encode(&self) -> String {
        let body = serde_json::to_string(self).unwrap_or_default();
        format!("{MARK} {:08x} {body}\n", crc32fast::hash(body.as_bytes()))
    }

    /// From a file's text, or what is wrong with it.
    pub fn decode(text: &str) -> Result<HandoverRecord, &'static str> {
        let rest = text.strip_prefix(MARK).and_then(|rest| rest.strip_prefix(' '));
        let rest = rest.ok_or("no handover of a version that is known")?;
        let (sum, body) = rest.strip_suffix('\n').and_then(|rest| rest.split_once(' ')).ok_or("cut short")?;
        if u32::from_str_radix(sum, 16) != Ok(crc32fast::hash(body.as_bytes())) {
            return Err("a checksum that is another");
        }
        serde_json::from_str(body).map_err(|_| "nothing that makes sense")
    }
}

/// What was learned of one server. Stored as the JSON array `[started, weight, key share, concurrency limit]`.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(from = "[u64; 4]", into = "[u64; 4]")]
pub struct ServerFigures {
    /// When its process started, in ticks.
    pub started: u64,
    /// The largest weight that it reported.
    pub weight: u64,
    /// The share of its keys that it keeps.
    pub key_share: u64,
    /// How many requests it takes at once.
    pub concurrency_limit: u64,
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
