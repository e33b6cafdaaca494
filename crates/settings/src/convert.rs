//! One value of the wire in the notation of the settings map: numbers and ticks in decimal digits,
//! flags as 0 or 1.

use crate::fields::{FieldError, FieldResult};
use crate::table::{Kind, WEIGHT_KINDS};
use serde_json::Value;

/// A tick of the balancer's clock, a tenth of a millisecond.
const NANOSECONDS_PER_TICK: f64 = 1e5;

/// The longest time, in nanoseconds: half a year, so that none added to a clock is beyond what it
/// can represent.
const LONGEST: f64 = 1.5e16;

/// The name in the map of a kind of idempotency; other texts stay as they are.
fn standard_idempotency(wire: &str) -> &str {
    match wire {
        "free" => "replayable",
        "guarded" => "tagged",
        "single_shot" => "single-use",
        other => other,
    }
}

/// The value in the map's notation; `path` names the setting in the error.
pub(crate) fn convert(value: &Value, path: &str, kind: Kind) -> FieldResult<String> {
    let reader = Reader { value, path };
    match kind {
        Kind::Number => reader.number().map(|n| n.to_string()),
        Kind::NonNegativeNumber => reader.non_negative().map(|n| n.to_string()),
        Kind::Duration => reader.number().map(|ns| ticks(ns).floor().to_string()),
        Kind::TimeLimit => reader.number().map(|ns| {
            let least = if ns > 0.0 { 1.0 } else { 0.0 };
            ticks(ns).floor().max(least).to_string()
        }),
        Kind::Wait => reader.number().map(|ns| ticks(ns).ceil().to_string()),
        Kind::NonNegativeWait => reader.non_negative().map(|ns| ticks(ns).ceil().to_string()),
        Kind::Flag => reader.flag().map(|flag| u8::from(flag).to_string()),
        Kind::Text => reader.text().map(|text| standard_idempotency(text).to_string()),
        Kind::Weights => reader.weight_kind().map(str::to_string),
    }
}

fn ticks(nanoseconds: f64) -> f64 {
    nanoseconds.min(LONGEST) / NANOSECONDS_PER_TICK
}

struct Reader<'a> {
    value: &'a Value,
    path: &'a str,
}

impl<'a> Reader<'a> {
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
        self.value.as_str().ok_or_else(|| self.unexpected("a text"))
    }

    fn weight_kind(&self) -> FieldResult<&'a str> {
        match self.text()? {
            kind if WEIGHT_KINDS.contains(&kind) => Ok(kind),
            _ => Err(self.unexpected("one of off, nominal, rough, live")),
        }
    }
}
