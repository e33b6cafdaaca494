//! A list as a file, in TOML or JSON. A file is accepted whole or not at all.

use super::VERSION;
use super::record::{AllowedNames, EndpointRecord, RecordError, default_weight};
use crate::{ListEntry, MAX_ENDPOINTS};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;

/// Problems that are reported of one file; the rest is counted.
const MAX_REPORTED_PROBLEMS: usize = 20;
/// The last line of a TOML file.
const END_MARKER: &str = "[end]";

/// The file's own form; key names are stored data.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileBody {
    version: u64,
    #[serde(default)]
    serial: Option<u64>,
    #[serde(default)]
    checksum: Option<String>,
    #[serde(default, rename = "cache")]
    entries: Vec<FileEntry>,
    #[serde(default, rename = "end")]
    _end: Option<End>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct End {}

/// [`EndpointRecord`] with its id, where an unknown field is an error.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileEntry {
    id: String,
    addr: String,
    zone: String,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    cell: u64,
    #[serde(default = "default_weight")]
    weight: f64,
    state: String,
    #[serde(default)]
    started_ms: u64,
    #[serde(default, rename = "back")]
    reinstated: bool,
}

impl From<FileEntry> for EndpointRecord {
    fn from(entry: FileEntry) -> EndpointRecord {
        let FileEntry { id, addr, zone, kind, cell, weight, state, started_ms, reinstated } = entry;
        EndpointRecord { id, addr, zone, kind, cell, weight, state, started_ms, reinstated }
    }
}

/// A list file that was read whole.
#[derive(Debug)]
pub struct EndpointFile {
    /// The writer's own number of this version, if it counts: a lower one than before is an old
    /// file.
    pub serial: Option<u64>,
    /// The entries, in the file's order.
    pub entries: Vec<ListEntry>,
}

/// Why a list file is rejected.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// It is not the expected JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// It is not the expected TOML.
    #[error("line {line}: {message}")]
    Toml {
        /// Counted from one on.
        line: usize,
        /// What is wrong there.
        message: String,
    },
    /// Its last line is missing.
    #[error("it does not end with [end]: it may have been cut short")]
    MissingEnd,
    /// Its version is not a known one.
    #[error("version {0} is not known; this program reads version {VERSION}")]
    UnknownVersion(u64),
    /// Its text is not what the checksum is of.
    #[error("its checksum is {computed}, and {stated} is stated")]
    ChecksumMismatch {
        /// That of the text.
        computed: String,
        /// That which the text states.
        stated: String,
    },
    /// It is above [`MAX_ENDPOINTS`].
    #[error("{0} caches are above {MAX_ENDPOINTS}")]
    TooManyEndpoints(usize),
    /// Some of its entries are invalid.
    #[error("{0}")]
    Entries(FileProblems),
}

/// All that is wrong with a file's entries; displayed one a line.
#[derive(Debug)]
pub struct FileProblems {
    /// The first of them.
    pub reported: Vec<FileProblem>,
    /// How many more there are.
    pub omitted: usize,
}

impl fmt::Display for FileProblems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, problem) in self.reported.iter().enumerate() {
            let separator = if i == 0 { "" } else { "\n" };
            write!(f, "{separator}{problem}")?;
        }
        if self.omitted > 0 {
            write!(f, "\nand {} more", self.omitted)?;
        }
        Ok(())
    }
}

/// What is wrong with the entry at a position of the file, counted from one on.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum FileProblem {
    /// A field is invalid.
    #[error("cache {position}: {source}")]
    Record {
        /// Which entry, counted from one on.
        position: usize,
        /// What is wrong with it.
        source: RecordError,
    },
    /// An earlier entry has the same id.
    #[error("cache {position}: the id {id} is there twice")]
    DuplicateId {
        /// Which entry, counted from one on.
        position: usize,
        /// The id.
        id: String,
    },
    /// An earlier entry has the same address.
    #[error("cache {position}: the address {addr} is there twice")]
    DuplicateAddress {
        /// Which entry, counted from one on.
        position: usize,
        /// The address.
        addr: SocketAddr,
    },
}

/// Reads a file whole, or reports all that is wrong with its entries.
pub fn parse_file(text: &str, allowed: &AllowedNames) -> Result<EndpointFile, FileError> {
    let body =
        if text.trim_start().starts_with('{') { serde_json::from_str(text)? } else { parse_toml(text)? };
    check_body(&body, text)?;
    let serial = body.serial;
    let entries = check_entries(body.entries, allowed).map_err(FileError::Entries)?;
    Ok(EndpointFile { serial, entries })
}

fn parse_toml(text: &str) -> Result<FileBody, FileError> {
    let body = toml::from_str(text).map_err(|error| {
        let newlines_before = |at: usize| text.as_bytes()[..at].iter().filter(|byte| **byte == b'\n').count();
        let line = error.span().map_or(1, |span| newlines_before(span.start) + 1);
        FileError::Toml { line, message: error.message().replace('\n', " ") }
    })?;
    // Much of a TOML file that is still being written parses well; JSON does not.
    let last = text.lines().map(str::trim).rfind(|line| !line.is_empty() && !line.starts_with('#'));
    if last != Some(END_MARKER) {
        return Err(FileError::MissingEnd);
    }
    Ok(body)
}

fn check_body(body: &FileBody, text: &str) -> Result<(), FileError> {
    if body.version != VERSION {
        return Err(FileError::UnknownVersion(body.version));
    }
    if let Some(stated) = &body.checksum {
        let computed = checksum(text);
        if *stated != computed {
            return Err(FileError::ChecksumMismatch { computed, stated: stated.clone() });
        }
    }
    if body.entries.len() > MAX_ENDPOINTS {
        return Err(FileError::TooManyEndpoints(body.entries.len()));
    }
    Ok(())
}

fn check_entries(entries: Vec<FileEntry>, allowed: &AllowedNames) -> Result<Vec<ListEntry>, FileProblems> {
    let mut ids = BTreeSet::new();
    let mut addrs = BTreeSet::new();
    let mut accepted = Vec::new();
    let mut problems = Vec::new();
    for (index, entry) in entries.into_iter().enumerate() {
        let position = index + 1;
        match EndpointRecord::from(entry).into_entry(allowed) {
            Ok(entry) => {
                let endpoint = &entry.endpoint;
                if !ids.insert(endpoint.id.clone()) {
                    problems.push(FileProblem::DuplicateId { position, id: endpoint.id.clone() });
                }
                if !addrs.insert(endpoint.addr) {
                    problems.push(FileProblem::DuplicateAddress { position, addr: endpoint.addr });
                }
                accepted.push(entry);
            }
            Err(source) => problems.push(FileProblem::Record { position, source }),
        }
    }
    if problems.is_empty() {
        return Ok(accepted);
    }
    let omitted = problems.len().saturating_sub(MAX_REPORTED_PROBLEMS);
    problems.truncate(MAX_REPORTED_PROBLEMS);
    Err(FileProblems { reported: problems, omitted })
}

/// The checksum of a file's text after the line that states it, or of all of it.
pub fn checksum(text: &str) -> String {
    let covered = after_checksum_line(text).unwrap_or(text);
    format!("crc32:{:08x}", crc32fast::hash(covered.as_bytes()))
}

fn after_checksum_line(text: &str) -> Option<&str> {
    let mut end = 0;
    for line in text.lines() {
        let start = end;
        end += line.len() + 1;
        // Counted as if every line ended with a bare newline, as writers of checksums do.
        let line = text.get(start..end.saturating_sub(1)).unwrap_or("").trim_start();
        if line.starts_with("checksum") || line.starts_with("\"checksum\"") {
            return text.get(end..).or(Some(""));
        }
    }
    None
}
