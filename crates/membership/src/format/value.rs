//! Values under keys: an endpoint's, and what a proxy publishes of itself.

use super::VERSION;
use super::record::{AllowedNames, EndpointRecord, RecordError};
use crate::{ListEntry, ListedEndpoint};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The longest value: some ten times what an endpoint needs.
pub const MAX_VALUE_BYTES: usize = 4096;
/// The phase of a proxy that drains.
pub const LEAVING: &str = "leaving";

/// A value with its version beside its fields.
#[derive(Deserialize, Serialize)]
struct Versioned<T> {
    v: u64,
    #[serde(flatten)]
    record: T,
}

/// Why a value can't be read.
#[derive(Debug, thiserror::Error)]
pub enum ValueError {
    /// It is above [`MAX_VALUE_BYTES`].
    #[error("a value of {0} bytes is above {MAX_VALUE_BYTES}")]
    TooLong(usize),
    /// It is not the expected JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A newer program wrote it.
    #[error("version {0} is not known, only {VERSION}")]
    UnknownVersion(u64),
}

/// Why an endpoint's value can't be used.
#[derive(Debug, thiserror::Error)]
pub enum EndpointValueError {
    /// The value of this endpoint can't be read.
    #[error("{id}: {source}")]
    Value {
        /// The endpoint.
        id: String,
        /// Why it can't.
        source: ValueError,
    },
    /// It can be read, and a field of it is invalid.
    #[error(transparent)]
    Record(#[from] RecordError),
}

/// What a proxy publishes of itself under its own key. The field names are stored data.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ProxyRecord {
    /// The zone it runs in.
    pub zone: String,
    /// [`SERVING`](super::SERVING), or [`LEAVING`] once it drains.
    pub phase: String,
    /// Where it listens.
    pub listen: String,
}

/// The value of an endpoint's key, which holds the id.
pub fn encode_endpoint(endpoint: &ListedEndpoint) -> Vec<u8> {
    let record = EndpointRecord { id: String::new(), ..EndpointRecord::new(endpoint) };
    encode(record)
}

/// Reads the value of the key of the endpoint with this id.
pub fn parse_endpoint(
    id: &str,
    value: &[u8],
    allowed: &AllowedNames,
) -> Result<ListEntry, EndpointValueError> {
    let in_value = |source| EndpointValueError::Value { id: id.to_string(), source };
    let parsed: Versioned<EndpointRecord> = parse(value).map_err(in_value)?;
    if parsed.v != VERSION {
        return Err(in_value(ValueError::UnknownVersion(parsed.v)));
    }
    let record = EndpointRecord { id: id.to_string(), ..parsed.record };
    Ok(record.into_entry(allowed)?)
}

/// The value of a proxy's own key.
pub fn encode_proxy(proxy: &ProxyRecord) -> Vec<u8> {
    encode(proxy)
}

/// Reads the value of a proxy's key, of whatever version: what is used of it is in all of them.
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
