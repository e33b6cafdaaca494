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
pub const LONGEST: usize = 1 << 20;

/// Entries that say what holds anyway are kept for so long, so that every process has read them: it does so ten times a
/// second.
const SETTLED: Span = Span::from_secs(60);

/// The last word on a matter, and when it was said.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Word {
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
pub struct Learned {
    pub at: Timestamp,
    pub terms: u64,
    /// By id: when it started, its largest weight, part and room.
    #[serde(rename = "caches")]
    pub servers: BTreeMap<String, [u64; 4]>,
}

impl Learned {
    /// The same within the bounds that are kept.
    pub fn bounded(mut self) -> Learned {
        let mut kept = 0;
        self.servers.retain(|id, _| {
            kept += usize::from(id.len() <= LONGEST_ID);
            id.len() <= LONGEST_ID && kept <= MOST_LEARNED
        });
        self
    }

    /// Whether it may be taken up by a process with these terms. What was written down later than now is of a clock that
    /// was set back, and as old as any.
    pub fn holds(&self, terms: u64, now: Timestamp) -> bool {
        self.terms == terms
            && !self.servers.is_empty()
            && (self.at..self.at.saturating_add(FRESH)).contains(&now)
    }
}

/// One process, and all that it knows operators to have said.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Page {
    pub pid: u32,
    /// When it started: of two that are ready, the later is the successor.
    pub began: Timestamp,
    /// Since when it is ready, if it is.
    pub ready: Option<Timestamp>,
    /// By the ids of servers: whether each is out.
    #[serde(rename = "caches")]
    pub servers: BTreeMap<String, Word>,
    /// Whether the proxy is out of service.
    pub service: Word,
    /// Not in the files of versions before.
    #[serde(default)]
    pub learned: Learned,
}

impl Page {
    /// Takes what another process says. Returns the servers of which it had a later word, and whether something else
    /// holds of the service.
    pub fn merge(&mut self, other: &Page) -> (Vec<String>, bool) {
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
    pub fn say(&mut self, server: &str, out: bool, now: Timestamp) {
        let at = self.servers.get(server).map_or(now, |word| now.max(word.at + Span::from_ticks(1)));
        self.servers.insert(server.to_string(), Word { at, out });
    }

    pub fn say_service(&mut self, out: bool, now: Timestamp) {
        self.service = Word { at: now.max(self.service.at + Span::from_ticks(1)), out };
    }

    pub fn is_out(&self, server: &str) -> bool {
        self.word(server).out
    }

    /// The last word on a server.
    pub fn word(&self, server: &str) -> Word {
        self.servers.get(server).copied().unwrap_or_default()
    }

    /// Whether the other has taken over from this one.
    pub fn succeeded_by(&self, other: &Page) -> bool {
        other.ready.is_some() && (other.began, other.pid) > (self.began, self.pid)
    }

    /// Forgets what was settled long ago.
    pub fn tidy(&mut self, now: Timestamp) {
        self.servers.retain(|_, word| word.out || now < word.at + SETTLED);
    }

    /// As it is written to a file.
    pub fn written(&self) -> String {
        let body = serde_json::to_string(self).unwrap_or_default();
        format!("{MARK} {:08x} {body}\n", crc32fast::hash(body.as_bytes()))
    }

    /// From a file's text, or what is wrong with it.
    pub fn read(text: &str) -> Result<Page, &'static str> {
        let rest = text.strip_prefix(MARK).and_then(|rest| rest.strip_prefix(' '));
        let rest = rest.ok_or("no handover of a version that is known")?;
        let (sum, body) = rest.strip_suffix('\n').and_then(|rest| rest.split_once(' ')).ok_or("cut short")?;
        if u32::from_str_radix(sum, 16) != Ok(crc32fast::hash(body.as_bytes())) {
            return Err("a checksum that is another");
        }
        serde_json::from_str(body).map_err(|_| "nothing that makes sense")
    }
}
