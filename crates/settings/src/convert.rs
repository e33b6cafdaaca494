//! Converts one JSON value to the notation of the settings map: numbers and ticks in decimal
//! digits, flags as 0 or 1.

use crate::fields::{FieldError, FieldResult};
use crate::table::{SettingKind, WEIGHT_KINDS};
use serde_json::Value;

/// Length of a tick of the balancer's clock, 0.1 ms.
const NANOSECONDS_PER_TICK: f64 = 1e5;

/// The longest time that a setting can have, about half a year. A longer time is reduced to it, so
/// that the sum of the current time and any setting does not overflow.
const MAX_NANOSECONDS: f64 = 1.5e16;

/// The map's name for a kind of idempotency. Other strings are returned unchanged.
fn standard_idempotency(wire_name: &str) -> &str {
    match wire_name {
        "free" => "replayable",
        "guarded" => "tagged",
        "single_shot" => "single-use",
        other => other,
    }
}

/// Converts a value to the map's notation. `path` names the setting in an error.
pub(crate) fn convert(value: &Value, path: &str, kind: SettingKind) -> FieldResult<String> {
    let reader = SettingReader { value, path };
    match kind {
        SettingKind::Number => reader.number().map(|n| n.to_string()),
        SettingKind::NonNegativeNumber => reader.non_negative().map(|n| n.to_string()),
        SettingKind::Duration => reader.number().map(|ns| ticks(ns).floor().to_string()),
        SettingKind::TimeLimit => reader.number().map(|ns| {
            let min_ticks = if ns > 0.0 { 1.0 } else { 0.0 };
            ticks(ns).floor().max(min_ticks).to_string()
        }),
        SettingKind::Wait => reader.number().map(|ns| ticks(ns).ceil().to_string()),
        SettingKind::NonNegativeWait => reader.non_negative().map(|ns| ticks(ns).ceil().to_string()),
        SettingKind::Flag => reader.flag().map(|flag| u8::from(flag).to_string()),
        SettingKind::Text => reader.text().map(|text| standard_idempotency(text).to_string()),
        SettingKind::WeightKind => reader.weight_kind().map(str::to_string),
    }
}

fn ticks(nanoseconds: f64) -> f64 {
    nanoseconds.min(MAX_NANOSECONDS) / NANOSECONDS_PER_TICK
}

struct SettingReader<'a> {
    value: &'a Value,
    path: &'a str,
}

impl<'a> SettingReader<'a> {
    fn unexpected(&self, expected: &'static str) -> FieldError {
        let field = format!("setting {}", self.path);
        FieldError::Unexpected { field, expected, found: self.value.to_string() }
    }

    fn number(&self) -> FieldResult<f64> {
        self.value.as_f64().ok_or_else(|| self.unexpected("a number"))
    }

    fn non_negative(&self) -> FieldResult<f64> {
        match self.number()? {
            n if n < 0.0 => Err(self.unexpected("a number that is not negative")),
            n => Ok(n),
        }
    }

    fn flag(&self) -> FieldResult<bool> {
        self.value.as_bool().ok_or_else(|| self.unexpected("true or false"))
    }

    fn text(&self) -> FieldResult<&'a str> {
        self.value.as_str().ok_or_else(|| self.unexpected("a string"))
    }

    fn weight_kind(&self) -> FieldResult<&'a str> {
        match self.text()? {
            kind if WEIGHT_KINDS.contains(&kind) => Ok(kind),
            _ => Err(self.unexpected("one of off, nominal, rough, live")),
        }
    }
}
