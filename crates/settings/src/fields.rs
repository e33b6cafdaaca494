//! Reads fields of JSON objects. Errors say what was expected and what was found.

use serde_json::{Map, Value};
use std::fmt;

/// A JSON object: its values by field name.
pub type JsonObject = Map<String, Value>;

/// The value of a field, or why it cannot be read.
pub type FieldResult<T> = Result<T, FieldError>;

/// Why a field cannot be read. `field` is the location of the field, such as `field servers` or
/// `setting zones[0].name`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FieldError {
    /// A required field is missing.
    Missing {
        /// The location of the missing field.
        field: String,
        /// The value that is expected.
        expected: &'static str,
    },
    /// The value has the wrong type or is out of range.
    Unexpected {
        /// The location of the field.
        field: String,
        /// The value that is expected.
        expected: &'static str,
        /// The value that was found, which may be truncated.
        found: String,
    },
    /// The field violates another rule, which the message states.
    Invalid(String),
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FieldError::Missing { field, expected } => write!(f, "{field}: missing, expected {expected}"),
            FieldError::Unexpected { field, expected, found } => {
                write!(f, "{field}: expected {expected}, got {found}")
            }
            FieldError::Invalid(message) => f.write_str(message),
        }
    }
}

impl std::error::Error for FieldError {}

impl From<String> for FieldError {
    fn from(message: String) -> FieldError {
        FieldError::Invalid(message)
    }
}

impl From<&str> for FieldError {
    fn from(message: &str) -> FieldError {
        FieldError::Invalid(message.to_string())
    }
}

/// For callers whose own errors are plain messages.
impl From<FieldError> for String {
    fn from(error: FieldError) -> String {
        error.to_string()
    }
}

/// Maximum length of a value in an error message, in characters: enough to find the value in a
/// file, but short enough to keep a whole list out of a log line.
const MAX_SHOWN_CHARS: usize = 60;

fn truncated(value: &Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(MAX_SHOWN_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}

/// Returns the value as an object. `field` is its location in an error.
pub fn object<'a>(value: &'a Value, field: &str) -> FieldResult<&'a JsonObject> {
    value.as_object().ok_or_else(|| FieldError::Unexpected {
        field: field.to_string(),
        expected: "an object",
        found: truncated(value),
    })
}

/// Reads a field with `convert`. A missing or null field is `None`.
fn optional<'a, T>(
    object: &'a JsonObject,
    name: &str,
    expected: &'static str,
    convert: impl Fn(&'a Value) -> Option<T>,
) -> FieldResult<Option<T>> {
    let Some(value) = object.get(name).filter(|value| !value.is_null()) else { return Ok(None) };
    let unexpected =
        || FieldError::Unexpected { field: format!("field {name}"), expected, found: truncated(value) };
    convert(value).map(Some).ok_or_else(unexpected)
}

fn required<T>(found: Option<T>, name: &str, expected: &'static str) -> FieldResult<T> {
    found.ok_or_else(|| FieldError::Missing { field: format!("field {name}"), expected })
}

const INTEGER: &str = "a whole number";
const TEXT: &str = "a string";
const ARRAY: &str = "an array";

/// Reads a whole number that is not negative. A missing field is `default`.
pub fn integer_or(object: &JsonObject, name: &str, default: u64) -> FieldResult<u64> {
    Ok(optional(object, name, INTEGER, Value::as_u64)?.unwrap_or(default))
}

/// Reads a whole number that is not negative.
pub fn integer(object: &JsonObject, name: &str) -> FieldResult<u64> {
    required(optional(object, name, INTEGER, Value::as_u64)?, name, INTEGER)
}

/// Range of relative server sizes, wider than the differences between the machines of any fleet.
const SIZE_RANGE: std::ops::RangeInclusive<f64> = 0.01..=10_000.0;

/// Reads a server's relative size and returns it in hundredths. A missing field is a size of 1. A
/// size out of range is clamped, because one wrong size must not invalidate the whole endpoint
/// list.
pub fn size_hundredths(object: &JsonObject, name: &str) -> FieldResult<u64> {
    let size = optional(object, name, "a number", Value::as_f64)?.unwrap_or(1.0);
    Ok((size.clamp(*SIZE_RANGE.start(), *SIZE_RANGE.end()) * 100.0).round() as u64)
}

/// Reads a boolean. A missing field is `false`.
pub fn flag(object: &JsonObject, name: &str) -> FieldResult<bool> {
    Ok(optional(object, name, "true or false", Value::as_bool)?.unwrap_or(false))
}

/// Reads a string. A missing field is `default`.
pub fn text_or<'a>(object: &'a JsonObject, name: &str, default: &'a str) -> FieldResult<&'a str> {
    Ok(optional(object, name, TEXT, Value::as_str)?.unwrap_or(default))
}

/// Reads a string.
pub fn text<'a>(object: &'a JsonObject, name: &str) -> FieldResult<&'a str> {
    required(optional(object, name, TEXT, Value::as_str)?, name, TEXT)
}

/// Reads an array and returns its items.
pub fn list<'a>(object: &'a JsonObject, name: &str) -> FieldResult<&'a [Value]> {
    let array = optional(object, name, ARRAY, Value::as_array)?;
    required(array, name, ARRAY).map(Vec::as_slice)
}
