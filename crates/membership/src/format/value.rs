//! The values stored under the keys of a key-value store: one for each endpoint, and one that each
//! proxy publishes about itself.

use super::VERSION;
use super::record::{AllowedNames, EndpointRecord, RecordError};
use crate::{ListEntry, ListedEndpoint};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The maximum length of a value: about ten times what an endpoint needs.
pub const MAX_VALUE_BYTES: usize = 4096;
/// The phase of a proxy that is draining.
pub const LEAVING: &str = "leaving";

/// A value that has its format version as a field next to those of the record.
#[derive(Deserialize, Serialize)]
struct Versioned<T> {
    v: u64,
    #[serde(flatten)]
    record: T,
}

/// Why a value can't be parsed.
#[derive(Debug, thiserror::Error)]
pub enum ValueError {
    /// The value is longer than [`MAX_VALUE_BYTES`].
    #[error("the value has {0} bytes, and at most {MAX_VALUE_BYTES} are allowed")]
    TooLong(usize),
    /// The value is not valid JSON of the expected structure.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The value has an unknown format version, as a newer program writes it.
    #[error("version {0} is not known; this program reads version {VERSION}")]
    UnknownVersion(u64),
}

/// Why the value of an endpoint is invalid.
#[derive(Debug, thiserror::Error)]
pub enum EndpointValueError {
    /// The value can't be parsed.
    #[error("{id}: {source}")]
    Value {
        /// The id of the endpoint.
        id: String,
        /// Why the value can't be parsed.
        source: ValueError,
    },
    /// The value can be parsed, but one of its fields is invalid.
    #[error(transparent)]
    Record(#[from] RecordError),
}

/// The record that a proxy publishes about itself under its own key. The field names are stored
/// data.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ProxyRecord {
    /// The zone that the proxy runs in.
    pub zone: String,
    /// [`SERVING`](super::SERVING), or [`LEAVING`] once the proxy is draining.
    pub phase: String,
    /// The address on which the proxy listens.
    pub listen: String,
}

/// Encodes an endpoint as the value of its key. The value leaves out the id, which the key holds.
pub fn encode_endpoint(endpoint: &ListedEndpoint) -> Vec<u8> {
    let record = EndpointRecord { id: String::new(), ..EndpointRecord::new(endpoint) };
    encode(record)
}

/// Parses the value stored under the key of the endpoint with this id.
pub fn parse_endpoint(
    id: &str,
    value: &[u8],
    allowed: &AllowedNames,
) -> Result<ListEntry, EndpointValueError> {
    let value_error = |source| EndpointValueError::Value { id: id.to_string(), source };
    let parsed: Versioned<EndpointRecord> = parse(value).map_err(value_error)?;
    if parsed.v != VERSION {
        return Err(value_error(ValueError::UnknownVersion(parsed.v)));
    }
    let record = EndpointRecord { id: id.to_string(), ..parsed.record };
    Ok(record.into_entry(allowed)?)
}

/// Encodes a proxy's record as the value of its key.
pub fn encode_proxy(proxy: &ProxyRecord) -> Vec<u8> {
    encode(proxy)
}

/// Parses the value of a proxy's key. Any version is accepted, because the fields that are used
/// exist in all versions.
pub fn parse_proxy(value: &[u8]) -> Result<ProxyRecord, ValueError> {
    Ok(parse::<ProxyRecord>(value)?.record)
}

fn encode<T: Serialize>(record: T) -> Vec<u8> {
    serde_json::to_vec(&Versioned { v: VERSION, record }).unwrap_or_default()
}

fn parse<T: DeserializeOwned>(value: &[u8]) -> Result<Versioned<T>, ValueError> {
    if value.len() > MAX_VALUE_BYTES {
        return Err(ValueError::TooLong(value.len()));
    }
    Ok(serde_json::from_slice(value)?)
}
