//! Parses an endpoint list file, in TOML or JSON. A file is accepted as a whole or not at all.

use super::VERSION;
use super::record::{AllowedNames, EndpointRecord, RecordError, default_weight};
use crate::{ListEntry, MAX_ENDPOINTS};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;

/// The maximum number of problems that are reported for one file; further ones are only counted.
const MAX_REPORTED_PROBLEMS: usize = 20;
/// The required last line of a TOML file.
const END_MARKER: &str = "[end]";

/// The content of the file; the key names are stored data.
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

/// An [`EndpointRecord`] in a file, with a required id. Unknown fields are errors.
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

/// The content of a valid list file.
#[derive(Debug)]
pub struct EndpointFile {
    /// The writer's number for this version of the file, if the writer numbers its versions. A
    /// number below that of an earlier version means that the file is outdated.
    pub serial: Option<u64>,
    /// The entries, in the file's order.
    pub entries: Vec<ListEntry>,
}

/// Why a list file is rejected.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// The file is not valid JSON of the expected structure.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The file is not valid TOML of the expected structure.
    #[error("line {line}: {message}")]
    Toml {
        /// The line number, counted from one.
        line: usize,
        /// What is wrong in that line.
        message: String,
    },
    /// The required last line is missing.
    #[error("the file does not end with [end]: it may be truncated")]
    MissingEnd,
    /// The file has an unknown format version.
    #[error("version {0} is not known; this program reads version {VERSION}")]
    UnknownVersion(u64),
    /// The file does not match the checksum that it states.
    #[error("checksum mismatch: the file states {stated}, but its content has {computed}")]
    ChecksumMismatch {
        /// The checksum of the file's text.
        computed: String,
        /// The checksum that the file states.
        stated: String,
    },
    /// The number of entries is above [`MAX_ENDPOINTS`].
    #[error("the file lists {0} caches, and at most {MAX_ENDPOINTS} are allowed")]
    TooManyEndpoints(usize),
    /// Some entries of the file are invalid.
    #[error("{0}")]
    Entries(FileProblems),
}

/// All problems in the entries of a file; displayed one per line.
#[derive(Debug)]
pub struct FileProblems {
    /// The first problems, in the file's order.
    pub reported: Vec<FileProblem>,
    /// The number of further problems.
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

/// A problem in one entry of the file.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum FileProblem {
    /// A field of the entry is invalid.
    #[error("cache {position}: {source}")]
    Record {
        /// The position of the entry in the file, counted from one.
        position: usize,
        /// What is wrong with the field.
        source: RecordError,
    },
    /// An earlier entry has the same id.
    #[error("cache {position}: the id {id} is already used by an earlier entry")]
    DuplicateId {
        /// The position of the entry in the file, counted from one.
        position: usize,
        /// The duplicate id.
        id: String,
    },
    /// An earlier entry has the same address.
    #[error("cache {position}: the address {addr} is already used by an earlier entry")]
    DuplicateAddress {
        /// The position of the entry in the file, counted from one.
        position: usize,
        /// The duplicate address.
        addr: SocketAddr,
    },
}

/// Parses a list file. If entries are invalid, the error reports the problems of all of them.
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
        let newlines_before =
            |offset: usize| text.as_bytes()[..offset].iter().filter(|byte| **byte == b'\n').count();
        let line = error.span().map_or(1, |span| newlines_before(span.start) + 1);
        FileError::Toml { line, message: error.message().replace('\n', " ") }
    })?;
    // A truncated TOML file, such as one that is still being written, is often valid TOML; a
    // truncated JSON file is never valid JSON.
    let last_line = text.lines().map(str::trim).rfind(|line| !line.is_empty() && !line.starts_with('#'));
    if last_line != Some(END_MARKER) {
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
                if !addrs.insert(endpoint.address) {
                    problems.push(FileProblem::DuplicateAddress { position, addr: endpoint.address });
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

/// Returns the checksum of the file's text after the line that states the checksum, or of the whole
/// text if no line does.
pub fn checksum(text: &str) -> String {
    let covered = after_checksum_line(text).unwrap_or(text);
    format!("crc32:{:08x}", crc32fast::hash(covered.as_bytes()))
}

fn after_checksum_line(text: &str) -> Option<&str> {
    let mut end = 0;
    for line in text.lines() {
        let start = end;
        end += line.len() + 1;
        // The offsets assume that every line ends with a bare newline, as in the files of programs
        // that write checksums.
        let line = text.get(start..end.saturating_sub(1)).unwrap_or("").trim_start();
        if line.starts_with("checksum") || line.starts_with("\"checksum\"") {
            return text.get(end..).or(Some(""));
        }
    }
    None
}
