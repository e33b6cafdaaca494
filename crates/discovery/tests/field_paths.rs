//! Detects a later configuration that lacks fields of the first one.

use chalkwalk_discovery::FieldPaths;
use serde_json::{Value, json};

fn paths(config: Value) -> FieldPaths {
    FieldPaths::from_config(config.as_object().expect("an object"))
}

#[test]
fn the_first_missing_field_is_named() {
    let first = paths(
        json!({"a": {"b": 1, "c": null}, "list": [{"x": 1, "y": 2}, {"x": 3}], "known": {"version": 1}}),
    );
    let missing = |later: Value| first.first_missing_in(&paths(later)).map(str::to_string);
    assert_eq!(missing(json!({"a": {"b": 2}, "list": [{"x": 1}], "more": 1})), None);
    assert_eq!(missing(json!({"a": {"b": null}, "list": [{"x": 1}]})), Some("a.b".into()));
    assert_eq!(missing(json!({"a": {"b": 2}, "list": [{"x": 1}, {"y": 1}]})), Some("list[].x".into()));
    assert_eq!(missing(json!({"list": [{"x": 1}]})), Some("a".into()));
}
