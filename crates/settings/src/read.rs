//! Reads the platform's whole settings object into the settings map.

use crate::convert::convert;
use crate::fields::{FieldError, FieldResult, JsonObject, object, text_or};
use crate::table::{GLOBAL_SETTINGS, NAMESPACE_SETTINGS, Setting, TENANT_SETTINGS};
use serde_json::Value;
use std::collections::BTreeMap;

/// The balancer's settings map, and the lists of names, in the platform's order, in which names of
/// later events are looked up.
pub struct PlatformSettings {
    /// The settings map.
    pub values: BTreeMap<String, String>,
    /// Names of the namespaces. The index of a namespace is its number in the map.
    pub namespaces: Vec<String>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Names of the kinds of servers.
    pub kinds: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
}

/// Reads the platform's settings. Fails at the first field that cannot be read.
pub fn read(options: &JsonObject) -> FieldResult<PlatformSettings> {
    let mut map = SettingsMap::default();
    map.copy(options, &GLOBAL_SETTINGS, &Prefix::default())?;
    let namespaces = map.copy_list(options, &NAMESPACES)?;
    map.check_ordered_namespaces(namespaces.len())?;
    let tenants = map.copy_list(options, &TENANTS)?;
    let kinds = map.copy_list(options, &KINDS)?;
    let zones = map.copy_list(options, &ZONES)?;
    map.drop_unused_retry_after();
    map.set_own_zone(options, &zones)?;
    map.set_watched(options)?;
    map.set_origin(options)?;
    Ok(PlatformSettings { values: map.0, namespaces, tenants, kinds, zones })
}

/// A list in the platform's settings whose items have a name and settings of their own.
struct NamedList {
    /// The JSON field that holds the list.
    field: &'static str,
    /// Prefix of the names of an item's settings in the map; the item's number follows it.
    name_prefix: &'static str,
    /// The name in the map under which the length of the list is stored.
    count_name: &'static str,
    settings: &'static [Setting],
}

const NAMESPACES: NamedList = NamedList {
    field: "namespaces",
    name_prefix: "namespace",
    count_name: "namespaces",
    settings: &NAMESPACE_SETTINGS,
};
const TENANTS: NamedList =
    NamedList { field: "tenants", name_prefix: "tenant", count_name: "tenants", settings: &TENANT_SETTINGS };
const KINDS: NamedList =
    NamedList { field: "kinds", name_prefix: "kind", count_name: "kinds", settings: &[] };
const ZONES: NamedList =
    NamedList { field: "zones", name_prefix: "zone", count_name: "zones", settings: &[] };

/// The prefixes of the paths and names of an item's settings.
#[derive(Default)]
struct Prefix {
    path: String,
    name: String,
}

#[derive(Default)]
struct SettingsMap(BTreeMap<String, String>);

impl SettingsMap {
    fn insert(&mut self, name: &str, value: impl ToString) {
        self.0.insert(name.to_string(), value.to_string());
    }

    fn insert_flag(&mut self, name: &str, flag: bool) {
        self.insert(name, u8::from(flag));
    }

    fn is_set(&self, name: &str) -> bool {
        self.0.get(name).is_some_and(|value| value == "1")
    }

    /// Copies the settings from a JSON object. A setting that is missing or null is left out of the
    /// map.
    fn copy(&mut self, from: &JsonObject, settings: &[Setting], prefix: &Prefix) -> FieldResult<()> {
        for setting in settings {
            let (group, field) = setting.path.split_once('.').unwrap_or(("", setting.path));
            let parent = match (group, from.get(group)) {
                ("", _) => from,
                (_, Some(value)) => object(value, &format!("setting {group}"))?,
                (_, None) => continue,
            };
            if let Some(value) = non_null_field(parent, field) {
                let path = format!("{}{}", prefix.path, setting.path);
                let name = format!("{}{}", prefix.name, setting.name);
                self.0.insert(name, convert(value, &path, setting.kind)?);
            }
        }
        Ok(())
    }

    /// Copies the settings of each item of a list, and returns the items' names.
    fn copy_list(&mut self, options: &JsonObject, list: &NamedList) -> FieldResult<Vec<String>> {
        let items = match non_null_field(options, list.field) {
            None => &[],
            Some(Value::Array(items)) => items.as_slice(),
            Some(other) => {
                let field = format!("setting {}", list.field);
                return Err(FieldError::Unexpected { field, expected: "an array", found: other.to_string() });
            }
        };
        self.insert(list.count_name, items.len());
        items.iter().enumerate().map(|(index, item)| self.copy_item(list, index, item)).collect()
    }

    /// Copies one item of a list and returns its name. An item is a name alone, or an object with a
    /// name and settings.
    fn copy_item(&mut self, list: &NamedList, index: usize, item: &Value) -> FieldResult<String> {
        if let Value::String(name) = item {
            return Ok(name.clone());
        }
        let path = format!("{}[{index}]", list.field);
        let fields = object(item, &format!("setting {path}"))?;
        let prefix = Prefix { path: format!("{path}."), name: format!("{} {index} ", list.name_prefix) };
        self.copy(fields, list.settings, &prefix)?;
        let name = fields.get("name").and_then(Value::as_str).map(str::to_string);
        name.ok_or_else(|| FieldError::Missing {
            field: format!("setting {path}.name"),
            expected: "a string",
        })
    }

    /// Rejects namespaces whose requests are streams and are to be kept in order. A request waits
    /// for the end of the previous request with the same key, and a stream has no such end.
    fn check_ordered_namespaces(&self, namespaces: usize) -> FieldResult<()> {
        let is_ordered_stream = |index: &usize| {
            self.is_set(&format!("namespace {index} streams"))
                && self.is_set(&format!("namespace {index} in order"))
        };
        match (0..namespaces).find(is_ordered_stream) {
            None => Ok(()),
            Some(index) => Err(FieldError::Invalid(format!(
                "setting namespaces[{index}].keepOrder: \
                 a stream has no end to wait for and cannot be kept in order"
            ))),
        }
    }

    /// Removes the maximum of Retry-After if Retry-After is not sent.
    fn drop_unused_retry_after(&mut self) {
        if self.0.get("return advice").is_none_or(|flag| flag == "0") {
            self.0.remove("longest stay away");
        }
    }

    fn set_own_zone(&mut self, options: &JsonObject, zones: &[String]) -> FieldResult<()> {
        let own = text_or(options, "az", "")?;
        if let Some(index) = zones.iter().position(|zone| zone == own) {
            self.insert("zone", index);
        }
        Ok(())
    }

    /// Sets whether the endpoint list is watched. Otherwise it is pushed.
    fn set_watched(&mut self, options: &JsonObject) -> FieldResult<()> {
        let watched = text_or(options, "discovery", "automatic")? == "subscribe";
        self.insert_flag("watched", watched);
        Ok(())
    }

    /// Sets how requests reach the origin: whether they go through the servers, and if they do not,
    /// the kind of the origin.
    fn set_origin(&mut self, options: &JsonObject) -> FieldResult<()> {
        let Some(info) = non_null_field(options, "familyInfo") else { return Ok(()) };
        let info = object(info, "setting familyInfo")?;
        let mode = info.get("mode").and_then(Value::as_str);
        self.insert_flag("through", mode == Some("through"));
        let kind = info.get("originKind").and_then(Value::as_i64).filter(|kind| *kind >= 0);
        if let Some(kind) = kind.filter(|_| mode == Some("aside")) {
            self.insert("origin kind", kind);
        }
        Ok(())
    }
}

/// Returns a field, unless it is missing or null.
fn non_null_field<'a>(object: &'a JsonObject, field: &str) -> Option<&'a Value> {
    object.get(field).filter(|value| !value.is_null())
}
