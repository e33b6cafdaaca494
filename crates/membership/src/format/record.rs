//! One endpoint as it is written down, and the checks that turn it into an entry of a list.

use crate::{ListEntry, ListedEndpoint};
use chalkwalk_balancer::EndpointStatus;
use chalkwalk_time::{TICKS_PER_MILLISECOND, Timestamp};
use serde::{Deserialize, Serialize};

/// The longest id: it goes into keys, logs and 128 points of the ring each.
const MAX_ID_BYTES: usize = 256;
/// The smallest and the greatest weight.
const MIN_WEIGHT: f64 = 0.01;
const MAX_WEIGHT: f64 = 10_000.0;
/// Weights are hundredths inside.
const SIZE_PER_WEIGHT: f64 = 100.0;
/// Far beyond any clock, and small enough that spans can be added without an overflow.
const MAX_BORN_TICKS: u64 = u64::MAX / 4;

/// The state of a server in service, and the phase of a proxy that serves.
pub const SERVING: &str = "serving";
/// The state of a server that is taken out of service.
pub const DRAINING: &str = "draining";

/// The zones and kinds that entries may name.
#[derive(Clone, Debug, Default)]
pub struct AllowedNames {
    /// Any zone, where none is named.
    pub zones: Vec<String>,
    /// Any kind, where none is named.
    pub kinds: Vec<String>,
}

/// An endpoint as it is written down; the field names are stored data.
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
    /// How much it can do, relative to the others.
    #[serde(default = "default_weight", skip_serializing_if = "is_default_weight")]
    pub weight: f64,
    pub state: String,
    /// Unix time in milliseconds at which its process started; 0: long ago.
    #[serde(default)]
    pub started_ms: u64,
    /// In service again on purpose, though it was drained and has not been restarted since.
    #[serde(default, rename = "back")]
    pub reinstated: bool,
}

/// The weight where none is stated.
pub(super) fn default_weight() -> f64 {
    1.0
}

fn is_default_weight(weight: &f64) -> bool {
    *weight == default_weight()
}

/// What is wrong with an endpoint as it is written down.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum RecordError {
    /// The id is empty, too long, or holds control characters.
    #[error("an id has 1 to {MAX_ID_BYTES} bytes, and no control characters")]
    Id,
    /// Another field breaks its rule.
    #[error("{id}: {rule} \"{value}\"")]
    Field {
        /// The endpoint.
        id: String,
        /// The rule of the field.
        rule: FieldRule,
        /// What the field holds.
        value: String,
    },
}

/// What a field must be; displayed with its name, to be followed by what it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FieldRule {
    /// The address can be parsed.
    #[error("addr is an address and a port, not")]
    Address,
    /// The state is a known one.
    #[error("state is serving or draining, not")]
    State,
    /// The settings have the zone.
    #[error("the settings have no zone")]
    Zone,
    /// The settings have the kind.
    #[error("the settings have no kind")]
    Kind,
    /// The start is in range.
    #[error("started_ms is Unix time in milliseconds, not")]
    StartedMs,
    /// The weight is in range.
    #[error("weight is a number from 0.01 to 10000, not")]
    Weight,
}

impl EndpointRecord {
    /// How the endpoint is written down.
    pub fn new(endpoint: &ListedEndpoint) -> EndpointRecord {
        let state = match endpoint.status {
            EndpointStatus::Ready => SERVING,
            _ => DRAINING,
        };
        EndpointRecord {
            id: endpoint.id.clone(),
            addr: endpoint.addr.to_string(),
            zone: endpoint.zone.clone(),
            kind: endpoint.kind.clone(),
            cell: endpoint.cell,
            weight: endpoint.size as f64 / SIZE_PER_WEIGHT,
            state: state.into(),
            started_ms: endpoint.born.ticks() / TICKS_PER_MILLISECOND,
            reinstated: false,
        }
    }

    /// The entry that is written down, if every field is valid.
    pub fn into_entry(self, allowed: &AllowedNames) -> Result<ListEntry, RecordError> {
        self.check_id()?;
        let addr = self.addr.parse().map_err(|_| self.breaks(FieldRule::Address, &self.addr))?;
        let status = self.status()?;
        self.check_names(allowed)?;
        let born = self.born()?;
        let size = self.size()?;
        let EndpointRecord { id, zone, kind, cell, reinstated, .. } = self;
        let endpoint = ListedEndpoint { id, addr, zone, kind, cell, size, status, born };
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
            other => Err(self.breaks(FieldRule::State, other)),
        }
    }

    fn check_names(&self, allowed: &AllowedNames) -> Result<(), RecordError> {
        if !allowed.zones.is_empty() && !allowed.zones.contains(&self.zone) {
            return Err(self.breaks(FieldRule::Zone, &self.zone));
        }
        if !self.kind.is_empty() && !allowed.kinds.is_empty() && !allowed.kinds.contains(&self.kind) {
            return Err(self.breaks(FieldRule::Kind, &self.kind));
        }
        Ok(())
    }

    fn born(&self) -> Result<Timestamp, RecordError> {
        let ticks = self.started_ms.checked_mul(TICKS_PER_MILLISECOND);
        let ticks = ticks.filter(|ticks| *ticks < MAX_BORN_TICKS);
        let out_of_range = || self.breaks(FieldRule::StartedMs, &self.started_ms.to_string());
        ticks.map(Timestamp::from_ticks).ok_or_else(out_of_range)
    }

    fn size(&self) -> Result<u64, RecordError> {
        if !(MIN_WEIGHT..=MAX_WEIGHT).contains(&self.weight) {
            return Err(self.breaks(FieldRule::Weight, &self.weight.to_string()));
        }
        Ok((self.weight * SIZE_PER_WEIGHT).round() as u64)
    }

    fn breaks(&self, rule: FieldRule, value: &str) -> RecordError {
        RecordError::Field { id: self.id.clone(), rule, value: value.into() }
    }
}
