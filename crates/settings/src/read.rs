//! A whole object of settings, read into the map.

use crate::convert::convert;
use crate::fields::{FieldError, FieldResult, JsonObject, object, text_or};
use crate::table::{GLOBAL, OF_NAMESPACE, OF_TENANT, Setting};
use serde_json::Value;
use std::collections::BTreeMap;

/// The balancer's settings map, and the names that later events are looked up by, in the platform's
/// order.
pub struct PlatformSettings {
    /// The settings map.
    pub values: BTreeMap<String, String>,
    /// Names of the namespaces; each one's index is its number in the map.
    pub namespaces: Vec<String>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Names of the kinds of servers.
    pub kinds: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
}

/// Reads the platform's settings. The first field that can't be read is the error.
pub fn read(options: &JsonObject) -> FieldResult<PlatformSettings> {
    let mut map = SettingsMap::default();
    map.copy(options, &GLOBAL, &Prefix::default())?;
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

/// A list of named things, each with settings of its own.
struct NamedList {
    /// The list's field on the wire.
    field: &'static str,
    /// What the names of an item's settings begin with in the map, before its number.
    item: &'static str,
    /// The name of the list's length in the map.
    count: &'static str,
    settings: &'static [Setting],
}

const NAMESPACES: NamedList =
    NamedList { field: "namespaces", item: "namespace", count: "namespaces", settings: &OF_NAMESPACE };
const TENANTS: NamedList =
    NamedList { field: "tenants", item: "tenant", count: "tenants", settings: &OF_TENANT };
const KINDS: NamedList = NamedList { field: "kinds", item: "kind", count: "kinds", settings: &[] };
const ZONES: NamedList = NamedList { field: "zones", item: "zone", count: "zones", settings: &[] };

/// What goes before the paths and names of an item's settings.
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

    /// Copies each setting that is there; one that is missing or null is left out of the map.
    fn copy(&mut self, from: &JsonObject, settings: &[Setting], prefix: &Prefix) -> FieldResult<()> {
        for setting in settings {
            let (group, field) = setting.path.split_once('.').unwrap_or(("", setting.path));
            let holder = match (group, from.get(group)) {
                ("", _) => from,
                (_, Some(value)) => object(value, &format!("setting {group}"))?,
                (_, None) => continue,
            };
            if let Some(value) = present(holder, field) {
                let path = format!("{}{}", prefix.path, setting.path);
                let name = format!("{}{}", prefix.name, setting.name);
                self.0.insert(name, convert(value, &path, setting.kind)?);
            }
        }
        Ok(())
    }

    /// Copies the settings of each item of a list, and returns the items' names.
    fn copy_list(&mut self, options: &JsonObject, list: &NamedList) -> FieldResult<Vec<String>> {
        let items = match present(options, list.field) {
            None => &[],
            Some(Value::Array(items)) => items.as_slice(),
            Some(other) => {
                let field = format!("setting {}", list.field);
                return Err(FieldError::Unexpected { field, expected: "an array", found: other.to_string() });
            }
        };
        self.insert(list.count, items.len());
        items.iter().enumerate().map(|(index, item)| self.copy_item(list, index, item)).collect()
    }

    /// An item is its name alone, or an object with a name and settings.
    fn copy_item(&mut self, list: &NamedList, index: usize, item: &Value) -> FieldResult<String> {
        if let Value::String(name) = item {
            return Ok(name.clone());
        }
        let path = format!("{}[{index}]", list.field);
        let fields = object(item, &format!("setting {path}"))?;
        let prefix = Prefix { path: format!("{path}."), name: format!("{} {index} ", list.item) };
        self.copy(fields, list.settings, &prefix)?;
        let name = fields.get("name").and_then(Value::as_str).map(str::to_string);
        name.ok_or_else(|| FieldError::Missing { field: format!("setting {path}.name"), expected: "a text" })
    }

    /// A stream has no end that the next request of its key could wait for.
    fn check_ordered_namespaces(&self, namespaces: usize) -> FieldResult<()> {
        let streams_in_order = |index: &usize| {
            self.is_set(&format!("namespace {index} streams"))
                && self.is_set(&format!("namespace {index} in order"))
        };
        match (0..namespaces).find(streams_in_order) {
            None => Ok(()),
            Some(index) => Err(FieldError::Invalid(format!(
                "setting namespaces[{index}].keepOrder: a stream has no end to wait for, and can't be kept in order"
            ))),
        }
    }

    /// Without Retry-After there is no longest one.
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

    /// Whether the endpoint list is watched, or else pushed.
    fn set_watched(&mut self, options: &JsonObject) -> FieldResult<()> {
        let watched = text_or(options, "discovery", "automatic")? == "subscribe";
        self.insert_flag("watched", watched);
        Ok(())
    }

    /// How the servers are with their origin: whether requests go to it through them, and where
    /// they don't, its kind.
    fn set_origin(&mut self, options: &JsonObject) -> FieldResult<()> {
        let Some(info) = present(options, "familyInfo") else { return Ok(()) };
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

/// A field that is there and not null.
fn present<'a>(object: &'a JsonObject, field: &str) -> Option<&'a Value> {
    object.get(field).filter(|value| !value.is_null())
}
