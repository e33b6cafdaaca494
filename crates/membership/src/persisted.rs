//! The list as it was last known, for a start without any source: written whole with a checksum,
//! and judged by its age.
//!
//! The text is stored data. Its form must not change within version 1: the process before or after
//! an upgrade reads it.

use crate::ListedEndpoint;
use crate::format::{AllowedNames, EndpointValueError, encode_endpoint, parse_endpoint};
use chalkwalk_time::{Span, Timestamp};
use serde::{Deserialize, Serialize};

/// What the text begins with; the checksum of the body follows.
const HEADER: &str = "chalkwalk list 1 ";
const HOUR: Span = Span::from_secs(3_600);
/// Most of a fleet is still where it was an hour ago.
const FRESH_FOR: Span = HOUR;
/// After a day a deploy has been over the whole fleet: to send requests there is worse than to
/// report that nothing is known.
const USABLE_FOR: Span = HOUR.times(24);

/// An endpoint list that is persisted.
#[derive(Debug, PartialEq)]
pub struct PersistedList {
    /// When it was written, Unix time.
    pub at: Timestamp,
    /// The source's revision of it.
    pub revision: u64,
    /// The endpoints, without those that are gone.
    pub endpoints: Vec<ListedEndpoint>,
}

/// The stored form: field names and order are pinned.
#[derive(Deserialize, Serialize)]
struct Body {
    at: Timestamp,
    revision: u64,
    /// Each endpoint's id and its value, as under a key.
    lines: Vec<(String, String)>,
}

/// What a persisted list is still good for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Used like any other list.
    Fresh,
    /// Used until a source responds, with a warning.
    Stale,
    /// Not used.
    Expired,
}

/// Why a text is not a persisted list that can be used.
#[derive(Debug, thiserror::Error)]
pub enum PersistedListError {
    /// There is no first line.
    #[error("no list, or cut short")]
    NoHeader,
    /// The first line is not that of a known version.
    #[error("no list of a form that is known")]
    UnknownFormat,
    /// The end of the body is missing.
    #[error("cut short")]
    Truncated,
    /// The body is not what was written.
    #[error("its checksum is another")]
    ChecksumMismatch,
    /// The body is not the expected JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// One of the endpoints can't be read.
    #[error(transparent)]
    Endpoint(#[from] EndpointValueError),
}

impl PersistedList {
    /// How far the list can be trusted. One from the future is expired: one of the two clocks is
    /// wrong.
    pub fn freshness(&self, now: Timestamp) -> Freshness {
        match now.checked_since(self.at) {
            Some(age) if age <= FRESH_FOR => Freshness::Fresh,
            Some(age) if age <= USABLE_FOR => Freshness::Stale,
            _ => Freshness::Expired,
        }
    }

    /// The text to store.
    pub fn to_text(&self) -> String {
        let line = |endpoint: &ListedEndpoint| {
            let value = String::from_utf8(encode_endpoint(endpoint)).unwrap_or_default();
            (endpoint.id.clone(), value)
        };
        let lines = self.endpoints.iter().map(line).collect();
        let body = Body { at: self.at, revision: self.revision, lines };
        let body = serde_json::to_string(&body).unwrap_or_default();
        format!("{HEADER}{}\n{body}\n", checksum(&body))
    }

    /// Reads a stored text; any byte that is missing or altered makes it an error.
    pub fn parse(text: &str, allowed: &AllowedNames) -> Result<PersistedList, PersistedListError> {
        let (header, body) = text.split_once('\n').ok_or(PersistedListError::NoHeader)?;
        let stated = header.strip_prefix(HEADER).ok_or(PersistedListError::UnknownFormat)?;
        let body = body.strip_suffix('\n').ok_or(PersistedListError::Truncated)?;
        if stated != checksum(body) {
            return Err(PersistedListError::ChecksumMismatch);
        }
        let body: Body = serde_json::from_str(body)?;
        let endpoint = |(id, value): &(String, String)| {
            parse_endpoint(id, value.as_bytes(), allowed).map(|entry| entry.endpoint)
        };
        let endpoints = body.lines.iter().map(endpoint).collect::<Result<_, _>>()?;
        Ok(PersistedList { at: body.at, revision: body.revision, endpoints })
    }
}

fn checksum(body: &str) -> String {
    format!("{:08x}", crc32fast::hash(body.as_bytes()))
}
