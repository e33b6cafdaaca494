//! The settings of a deployment by name. A missing or invalid setting takes its default.

use chalkwalk_time::Span;
use std::collections::BTreeMap;

/// The values of the map, read by name.
pub(crate) struct Values<'a>(pub &'a BTreeMap<String, String>);

impl Values<'_> {
    pub fn has(&self, name: &str) -> bool {
        self.0.contains_key(name)
    }

    pub fn text(&self, name: &str) -> &str {
        self.0.get(name).map_or("", String::as_str)
    }

    pub fn number(&self, name: &str, default: f64) -> f64 {
        self.text(name).parse::<f64>().unwrap_or(default)
    }

    pub fn flag(&self, name: &str) -> bool {
        self.number(name, 0.0) > 0.0
    }

    /// Reads a span, which is stated in ticks of 0.1 ms like `default`.
    pub fn span(&self, name: &str, default: f64) -> Span {
        Span::from_ticks(self.number(name, default) as u64)
    }
}
