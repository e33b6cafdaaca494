//! The set of fields that a configuration has, regardless of their values. A later configuration
//! that lacks any of them counts as damaged. A fixed list of required fields can't replace this
//! check, because it does not tell which optional fields the writer intended to write.

use chalkwalk_settings::fields::JsonObject;
use serde_json::Value;
use std::collections::BTreeSet;

/// The paths of a configuration's fields. For a list of objects, only the fields that all of its
/// objects have are included.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FieldPaths(BTreeSet<String>);

/// The field with the last known endpoint list. Its own fields are left out, because the list may
/// be empty.
const LAST_KNOWN_LIST: &str = "known";

impl FieldPaths {
    /// Collects the field paths of a configuration.
    pub fn from_config(config: &JsonObject) -> FieldPaths {
        let mut paths = BTreeSet::new();
        for (name, value) in config.iter().filter(|(name, _)| *name != LAST_KNOWN_LIST) {
            collect(name, value, &mut paths);
        }
        FieldPaths(paths)
    }

    /// Returns the first field that is in `self` and missing in `other`.
    pub fn first_missing_in<'a>(&'a self, other: &FieldPaths) -> Option<&'a str> {
        self.0.iter().find(|path| !other.0.contains(*path)).map(String::as_str)
    }
}

fn collect(path: &str, value: &Value, paths: &mut BTreeSet<String>) {
    if value.is_null() {
        return;
    }
    paths.insert(path.to_string());
    match value {
        Value::Object(fields) => collect_fields(&format!("{path}."), fields, paths),
        Value::Array(items) => {
            let common = items.iter().map(|item| item_paths(path, item)).reduce(|a, b| &a & &b);
            paths.extend(common.unwrap_or_default());
        }
        _ => {}
    }
}

fn collect_fields(prefix: &str, fields: &JsonObject, paths: &mut BTreeSet<String>) {
    for (name, value) in fields {
        collect(&format!("{prefix}{name}"), value, paths);
    }
}

fn item_paths(path: &str, item: &Value) -> BTreeSet<String> {
    let mut paths = BTreeSet::new();
    if let Value::Object(fields) = item {
        collect_fields(&format!("{path}[]."), fields, &mut paths);
    }
    paths
}
