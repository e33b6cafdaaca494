//! Reads the platform's settings into the balancer's settings map.
//!
//! The platform writes settings as a JSON object with nested fields and times in nanoseconds. The
//! balancer reads a flat map from names to values, as in "namespace 0 target time", with times in
//! ticks of a tenth of a millisecond. That map is stored in captures, so its names and values must
//! not change.
//!
//! - `fields` reads single fields of JSON objects.
//! - `table` lists the settings: path in the JSON object, name in the map, kind.
//! - `convert` converts one value to the map's notation.
//! - `read` reads the whole settings object.

mod convert;
pub mod fields;
mod read;
mod table;

pub use read::{PlatformSettings, read};
