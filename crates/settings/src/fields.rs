//! Reading fields out of the wire's JSON, with plain words on what is wrong.

use serde_json::{Map, Value};

pub type JsonObject = Map<String, Value>;
pub type FieldResult<T> = Result<T, String>;

fn short(value: &Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(60) {
        Some((cut, _)) => format!("{}...", &text[..cut]),
        None => text,
    }
}

pub fn object<'a>(value: &'a Value, what: &str) -> FieldResult<&'a JsonObject> {
    let wrong = || format!("{what}: expected an object, got {}", short(value));
    value.as_object().ok_or_else(wrong)
}

/// The field, if it is there and not null, read by `as_kind`.
fn optional<'a, T>(
    o: &'a JsonObject,
    name: &str,
    kind: &str,
    as_kind: impl Fn(&'a Value) -> Option<T>,
) -> FieldResult<Option<T>> {
    match o.get(name).filter(|v| !v.is_null()) {
        None => Ok(None),
        Some(v) => {
            let wrong = || format!("field {name}: expected {kind}, got {}", short(v));
            as_kind(v).map(Some).ok_or_else(wrong)
        }
    }
}

fn needed<T>(found: Option<T>, name: &str, kind: &str) -> FieldResult<T> {
    found.ok_or_else(|| format!("field {name}: missing, expected {kind}"))
}

const WHOLE: &str = "a whole number";

pub fn integer_or(o: &JsonObject, name: &str, or: u64) -> FieldResult<u64> {
    Ok(optional(o, name, WHOLE, Value::as_u64)?.unwrap_or(or))
}

pub fn integer(o: &JsonObject, name: &str) -> FieldResult<u64> {
    needed(optional(o, name, WHOLE, Value::as_u64)?, name, WHOLE)
}

/// A stated size in hundredths, one where none is stated. From a hundredth to ten thousand, wider than any fleet's machines
/// differ; what is beyond is taken as the bound, as no list is to be lost over a strange one.
pub fn size_hundredths(o: &JsonObject, name: &str) -> FieldResult<u64> {
    let stated = optional(o, name, "a number", Value::as_f64)?.unwrap_or(1.0);
    Ok((stated.clamp(0.01, 10_000.0) * 100.0).round() as u64)
}

pub fn flag(o: &JsonObject, name: &str) -> FieldResult<bool> {
    Ok(optional(o, name, "true or false", Value::as_bool)?.unwrap_or(false))
}

pub fn text_or<'a>(o: &'a JsonObject, name: &str, or: &'a str) -> FieldResult<&'a str> {
    Ok(optional(o, name, "a text", Value::as_str)?.unwrap_or(or))
}

pub fn text<'a>(o: &'a JsonObject, name: &str) -> FieldResult<&'a str> {
    needed(optional(o, name, "a text", Value::as_str)?, name, "a text")
}

pub fn list<'a>(o: &'a JsonObject, name: &str) -> FieldResult<&'a [Value]> {
    let found = optional(o, name, "an array", Value::as_array)?;
    needed(found, name, "an array").map(Vec::as_slice)
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn sizes_are_numbers_within_bounds_and_one_where_nothing_is_said() {
        let told = [
            json!({}),
            json!({"w": 1.5}),
            json!({"w": 0}),
            json!({"w": -1}),
            json!({"w": "2"}),
            json!({"w": 1e9}),
        ]
        .map(|o| size_hundredths(o.as_object().unwrap(), "w").map_or_else(|fault| fault, |n| n.to_string()));
        expect_test::expect![[r#"
            100
            150
            1
            1
            field w: expected a number, got "2"
            1000000"#]]
        .assert_eq(&told.join("\n"));
    }
}
