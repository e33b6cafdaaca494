//! Reading fields out of JSON objects, with an error that says what was expected and what was
//! found.

use serde_json::{Map, Value};
use std::fmt;

/// A JSON object, by its fields' names.
pub type JsonObject = Map<String, Value>;

/// What a field holds, or why it can't be read.
pub type FieldResult<T> = Result<T, FieldError>;

/// Why a field can't be read. `field` says where it is, as in `field servers` or `setting
/// zones[0].name`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FieldError {
    /// It is not there, and needed.
    Missing {
        /// Where the field is expected.
        field: String,
        /// What is expected there.
        expected: &'static str,
    },
    /// It is of another type, or out of bounds.
    Unexpected {
        /// Where the field is.
        field: String,
        /// What is expected there.
        expected: &'static str,
        /// What is there, shortened.
        found: String,
    },
    /// A rule of the reader's own does not hold.
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

/// For callers whose own errors are texts for people.
impl From<FieldError> for String {
    fn from(error: FieldError) -> String {
        error.to_string()
    }
}

/// How much of a value an error shows, in characters: enough to find it in a file, and no whole
/// list on one line of the log.
const SHOWN: usize = 60;

fn shortened(value: &Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(SHOWN) {
        Some((cut, _)) => format!("{}...", &text[..cut]),
        None => text,
    }
}

/// The value as an object; `field` names it in the error.
pub fn object<'a>(value: &'a Value, field: &str) -> FieldResult<&'a JsonObject> {
    value.as_object().ok_or_else(|| FieldError::Unexpected {
        field: field.to_string(),
        expected: "an object",
        found: shortened(value),
    })
}

/// The field, if it is there and not null, read by `convert`.
fn optional<'a, T>(
    object: &'a JsonObject,
    name: &str,
    expected: &'static str,
    convert: impl Fn(&'a Value) -> Option<T>,
) -> FieldResult<Option<T>> {
    let Some(value) = object.get(name).filter(|value| !value.is_null()) else { return Ok(None) };
    let unexpected =
        || FieldError::Unexpected { field: format!("field {name}"), expected, found: shortened(value) };
    convert(value).map(Some).ok_or_else(unexpected)
}

fn required<T>(found: Option<T>, name: &str, expected: &'static str) -> FieldResult<T> {
    found.ok_or_else(|| FieldError::Missing { field: format!("field {name}"), expected })
}

const INTEGER: &str = "a whole number";
const TEXT: &str = "a text";
const ARRAY: &str = "an array";

/// A whole number from 0 on, or `default` where the field is missing.
pub fn integer_or(object: &JsonObject, name: &str, default: u64) -> FieldResult<u64> {
    Ok(optional(object, name, INTEGER, Value::as_u64)?.unwrap_or(default))
}

/// A whole number from 0 on.
pub fn integer(object: &JsonObject, name: &str) -> FieldResult<u64> {
    required(optional(object, name, INTEGER, Value::as_u64)?, name, INTEGER)
}

/// Bounds of a relative size, wider than any fleet's machines differ.
const SIZES: std::ops::RangeInclusive<f64> = 0.01..=10_000.0;

/// A server's relative size in hundredths, one where the field is missing. What is beyond the
/// bounds is taken as the bound, as no list is to be lost over a strange one.
pub fn size_hundredths(object: &JsonObject, name: &str) -> FieldResult<u64> {
    let size = optional(object, name, "a number", Value::as_f64)?.unwrap_or(1.0);
    Ok((size.clamp(*SIZES.start(), *SIZES.end()) * 100.0).round() as u64)
}

/// True or false; false where the field is missing.
pub fn flag(object: &JsonObject, name: &str) -> FieldResult<bool> {
    Ok(optional(object, name, "true or false", Value::as_bool)?.unwrap_or(false))
}

/// A text, or `default` where the field is missing.
pub fn text_or<'a>(object: &'a JsonObject, name: &str, default: &'a str) -> FieldResult<&'a str> {
    Ok(optional(object, name, TEXT, Value::as_str)?.unwrap_or(default))
}

/// A text.
pub fn text<'a>(object: &'a JsonObject, name: &str) -> FieldResult<&'a str> {
    required(optional(object, name, TEXT, Value::as_str)?, name, TEXT)
}

/// The items of an array.
pub fn list<'a>(object: &'a JsonObject, name: &str) -> FieldResult<&'a [Value]> {
    let array = optional(object, name, ARRAY, Value::as_array)?;
    required(array, name, ARRAY).map(Vec::as_slice)
}
