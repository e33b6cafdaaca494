//! The last known endpoint list in its stored form, which lets a proxy start while no source is
//! available. It carries a checksum, and its age decides whether it is used.
//!
//! The text is stored data. Its format must not change within version 1, because the process before
//! or after an upgrade reads it.

use crate::ListedEndpoint;
use crate::format::{AllowedNames, EndpointValueError, encode_endpoint, parse_endpoint};
use chalkwalk_time::{Span, Timestamp};
use serde::{Deserialize, Serialize};

/// The start of the text; the checksum of the body follows it.
const HEADER: &str = "chalkwalk list 1 ";
const HOUR: Span = Span::from_secs(3_600);
/// Up to this age a list is fresh: most of a fleet does not change its addresses within an hour.
const MAX_FRESH_AGE: Span = HOUR;
/// Up to this age a list is usable. After a day, a deploy has replaced the whole fleet: sending
/// requests to the old addresses is worse than reporting that no list is known.
const MAX_USABLE_AGE: Span = HOUR.times(24);

/// An endpoint list as it is persisted.
#[derive(Debug, PartialEq)]
pub struct PersistedList {
    /// When the list was written (Unix time).
    pub written_at: Timestamp,
    /// The source's revision of the list.
    pub revision: u64,
    /// The endpoints, except those that are gone.
    pub endpoints: Vec<ListedEndpoint>,
}

/// The stored form; the field names and their order must not change.
#[derive(Deserialize, Serialize)]
struct Body {
    at: Timestamp,
    revision: u64,
    /// The id of each endpoint, and its value as [`encode_endpoint`] writes it.
    lines: Vec<(String, String)>,
}

/// How a persisted list may be used, given its age.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The list is used like any other list.
    Fresh,
    /// The list is used until a source responds, with a warning.
    Stale,
    /// The list is not used.
    Expired,
}

/// Why a text can't be used as a persisted list.
#[derive(Debug, thiserror::Error)]
pub enum PersistedListError {
    /// The text has no complete first line.
    #[error("the header line is missing or truncated")]
    NoHeader,
    /// The first line is not the header of a known version.
    #[error("the header line is not that of a known list format")]
    UnknownFormat,
    /// The end of the body is missing.
    #[error("the list is truncated")]
    Truncated,
    /// The body does not match the checksum in the header.
    #[error("the checksum does not match the list")]
    ChecksumMismatch,
    /// The body is not the expected JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The value of an endpoint is invalid.
    #[error(transparent)]
    Endpoint(#[from] EndpointValueError),
}

impl PersistedList {
    /// Returns how the list may be used at `now`. A list written in the future counts as expired,
    /// because the writer's clock or this process's clock must be wrong.
    pub fn freshness(&self, now: Timestamp) -> Freshness {
        match now.checked_since(self.written_at) {
            Some(age) if age <= MAX_FRESH_AGE => Freshness::Fresh,
            Some(age) if age <= MAX_USABLE_AGE => Freshness::Stale,
            _ => Freshness::Expired,
        }
    }

    /// Returns the text to store.
    pub fn to_text(&self) -> String {
        let line = |endpoint: &ListedEndpoint| {
            let value = String::from_utf8(encode_endpoint(endpoint)).unwrap_or_default();
            (endpoint.id.clone(), value)
        };
        let lines = self.endpoints.iter().map(line).collect();
        let body = Body { at: self.written_at, revision: self.revision, lines };
        let body = serde_json::to_string(&body).unwrap_or_default();
        format!("{HEADER}{}\n{body}\n", checksum(&body))
    }

    /// Parses a stored text. A missing or altered byte anywhere in it is an error.
    pub fn parse(text: &str, allowed: &AllowedNames) -> Result<PersistedList, PersistedListError> {
        let (header, body) = text.split_once('\n').ok_or(PersistedListError::NoHeader)?;
        let stated_checksum = header.strip_prefix(HEADER).ok_or(PersistedListError::UnknownFormat)?;
        let body = body.strip_suffix('\n').ok_or(PersistedListError::Truncated)?;
        if stated_checksum != checksum(body) {
            return Err(PersistedListError::ChecksumMismatch);
        }
        let body: Body = serde_json::from_str(body)?;
        let endpoint = |(id, value): &(String, String)| {
            parse_endpoint(id, value.as_bytes(), allowed).map(|entry| entry.endpoint)
        };
        let endpoints = body.lines.iter().map(endpoint).collect::<Result<_, _>>()?;
        Ok(PersistedList { written_at: body.at, revision: body.revision, endpoints })
    }
}

fn checksum(body: &str) -> String {
    format!("{:08x}", crc32fast::hash(body.as_bytes()))
}
