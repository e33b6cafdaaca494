//! Which fields a configuration has, whatever they say: a later one that lacks any of them is taken for spoilt, as no list of
//! needed fields can know what its writer meant to say.

use chalkwalk_settings::fields::JsonObject;
use serde_json::Value;
use std::collections::BTreeSet;

/// The paths of its fields; in a list of objects, of those that all of them have.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FieldPaths(BTreeSet<String>);

/// What is known of the servers at a start may be nothing.
const LEFT_ALONE: &str = "known";

impl FieldPaths {
    pub fn of(said: &JsonObject) -> FieldPaths {
        let mut paths = BTreeSet::new();
        for (name, value) in said.iter().filter(|(name, _)| *name != LEFT_ALONE) {
            walk(name, value, &mut paths);
        }
        FieldPaths(paths)
    }

    /// The first field that this one has and the other lacks.
    pub fn first_missing_in<'a>(&'a self, other: &FieldPaths) -> Option<&'a str> {
        self.0.iter().find(|path| !other.0.contains(*path)).map(String::as_str)
    }
}

fn walk(path: &str, value: &Value, paths: &mut BTreeSet<String>) {
    if value.is_null() {
        return;
    }
    paths.insert(path.to_string());
    match value {
        Value::Object(o) => o.iter().for_each(|(name, value)| walk(&format!("{path}.{name}"), value, paths)),
        Value::Array(items) => {
            let of_item = |item: &Value| {
                let mut paths = BTreeSet::new();
                if let Value::Object(o) = item {
                    o.iter().for_each(|(name, value)| walk(&format!("{path}[].{name}"), value, &mut paths));
                }
                paths
            };
            let common = items.iter().map(of_item).reduce(|a, b| &a & &b);
            paths.extend(common.unwrap_or_default());
        }
        _ => {}
    }
}
