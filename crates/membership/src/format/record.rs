//! The stored form of one endpoint, and the checks that turn it into an entry of a list.

use crate::{ListEntry, ListedEndpoint};
use chalkwalk_balancer::EndpointStatus;
use chalkwalk_time::{TICKS_PER_MILLISECOND, Timestamp};
use serde::{Deserialize, Serialize};

/// The maximum length of an id, which is part of keys and log lines and is hashed for each of a
/// server's 128 points on the ring.
const MAX_ID_BYTES: usize = 256;
/// The lowest valid weight.
const MIN_WEIGHT: f64 = 0.01;
/// The highest valid weight.
const MAX_WEIGHT: f64 = 10_000.0;
/// Internally, weights are stored as hundredths.
const HUNDREDTHS_PER_WEIGHT_UNIT: f64 = 100.0;
/// The exclusive upper bound of a start time: far beyond any clock, and small enough that spans can
/// be added without an overflow.
const MAX_START_TICKS: u64 = u64::MAX / 4;

/// The state of a server that is in service, and the phase of a proxy that serves.
pub const SERVING: &str = "serving";
/// The state of a server that is being taken out of service.
pub const DRAINING: &str = "draining";

/// The zones and kinds that entries may name.
#[derive(Clone, Debug, Default)]
pub struct AllowedNames {
    /// The allowed zones; if empty, any zone is allowed.
    pub zones: Vec<String>,
    /// The allowed kinds; if empty, any kind is allowed.
    pub kinds: Vec<String>,
}

/// The stored form of an endpoint; the field names are stored data.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct EndpointRecord {
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub id: String,
    pub addr: String,
    pub zone: String,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub kind: String,
    #[serde(default)]
    pub cell: u64,
    /// The server's capacity relative to the other servers.
    #[serde(default = "default_weight", skip_serializing_if = "is_default_weight")]
    pub weight: f64,
    pub state: String,
    /// Unix time in milliseconds at which the server's process started; 0 means that the start is
    /// unknown, and is taken to be long ago.
    #[serde(default)]
    pub started_ms: u64,
    /// The server is deliberately back in service although it was drained and has not been
    /// restarted since.
    #[serde(default, rename = "back")]
    pub reinstated: bool,
}

/// The weight of an endpoint that states none.
pub(super) fn default_weight() -> f64 {
    1.0
}

fn is_default_weight(weight: &f64) -> bool {
    *weight == default_weight()
}

/// Why the stored form of an endpoint is invalid.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum RecordError {
    /// The id is empty, too long, or holds control characters.
    #[error("an id must have 1 to {MAX_ID_BYTES} bytes and no control characters")]
    Id,
    /// Another field violates its rule.
    #[error("{id}: {rule} \"{value}\"")]
    Field {
        /// The id of the endpoint.
        id: String,
        /// The rule that is violated.
        rule: FieldRule,
        /// The value of the field.
        value: String,
    },
}

/// A rule for the value of a field. It is displayed as the start of a message that names the field
/// and ends with the value found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FieldRule {
    /// The address must be an IP address with a port.
    #[error("addr must be an IP address and a port, found")]
    Address,
    /// The state must be [`SERVING`] or [`DRAINING`].
    #[error("the state must be serving or draining, found")]
    State,
    /// The zone must be one of the zones in the settings.
    #[error("the settings have no zone")]
    Zone,
    /// The kind must be one of the kinds in the settings.
    #[error("the settings have no kind")]
    Kind,
    /// The start time must be in range.
    #[error("started_ms must be Unix time in milliseconds, found")]
    StartedMs,
    /// The weight must be in range.
    #[error("weight must be a number from 0.01 to 10000, found")]
    Weight,
}

impl EndpointRecord {
    /// Converts an endpoint to its stored form.
    pub fn new(endpoint: &ListedEndpoint) -> EndpointRecord {
        let state = match endpoint.status {
            EndpointStatus::Ready => SERVING,
            _ => DRAINING,
        };
        EndpointRecord {
            id: endpoint.id.clone(),
            addr: endpoint.address.to_string(),
            zone: endpoint.zone.clone(),
            kind: endpoint.kind.clone(),
            cell: endpoint.cell,
            weight: endpoint.weight_hundredths as f64 / HUNDREDTHS_PER_WEIGHT_UNIT,
            state: state.into(),
            started_ms: endpoint.started_at.ticks() / TICKS_PER_MILLISECOND,
            reinstated: false,
        }
    }

    /// Converts the stored form to a list entry, if every field is valid.
    pub fn into_entry(self, allowed: &AllowedNames) -> Result<ListEntry, RecordError> {
        self.check_id()?;
        let address = self.addr.parse().map_err(|_| self.field_error(FieldRule::Address, &self.addr))?;
        let status = self.status()?;
        self.check_names(allowed)?;
        let started_at = self.started_at()?;
        let weight_hundredths = self.weight_hundredths()?;
        let EndpointRecord { id, zone, kind, cell, reinstated, .. } = self;
        let endpoint =
            ListedEndpoint { id, address, zone, kind, cell, weight_hundredths, status, started_at };
        Ok(ListEntry { endpoint, reinstated })
    }

    fn check_id(&self) -> Result<(), RecordError> {
        if self.id.is_empty() || self.id.len() > MAX_ID_BYTES || self.id.contains(char::is_control) {
            return Err(RecordError::Id);
        }
        Ok(())
    }

    fn status(&self) -> Result<EndpointStatus, RecordError> {
        match self.state.as_str() {
            SERVING => Ok(EndpointStatus::Ready),
            DRAINING => Ok(EndpointStatus::Draining),
            other => Err(self.field_error(FieldRule::State, other)),
        }
    }

    fn check_names(&self, allowed: &AllowedNames) -> Result<(), RecordError> {
        if !allowed.zones.is_empty() && !allowed.zones.contains(&self.zone) {
            return Err(self.field_error(FieldRule::Zone, &self.zone));
        }
        if !self.kind.is_empty() && !allowed.kinds.is_empty() && !allowed.kinds.contains(&self.kind) {
            return Err(self.field_error(FieldRule::Kind, &self.kind));
        }
        Ok(())
    }

    fn started_at(&self) -> Result<Timestamp, RecordError> {
        let ticks = self.started_ms.checked_mul(TICKS_PER_MILLISECOND);
        let ticks = ticks.filter(|ticks| *ticks < MAX_START_TICKS);
        let out_of_range = || self.field_error(FieldRule::StartedMs, &self.started_ms.to_string());
        ticks.map(Timestamp::from_ticks).ok_or_else(out_of_range)
    }

    fn weight_hundredths(&self) -> Result<u64, RecordError> {
        if !(MIN_WEIGHT..=MAX_WEIGHT).contains(&self.weight) {
            return Err(self.field_error(FieldRule::Weight, &self.weight.to_string()));
        }
        Ok((self.weight * HUNDREDTHS_PER_WEIGHT_UNIT).round() as u64)
    }

    fn field_error(&self, rule: FieldRule, value: &str) -> RecordError {
        RecordError::Field { id: self.id.clone(), rule, value: value.into() }
    }
}
