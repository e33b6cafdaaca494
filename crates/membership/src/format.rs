//! Version 1 of the formats in which endpoints and proxies are stored outside the platform: as JSON
//! values under the keys of a key-value store, and as a list file.
//!
//! A value is a JSON object; a file is TOML or JSON with the same fields. Unknown fields are
//! ignored in values, so that a newer writer does not break older proxies. They are rejected in
//! files, which people edit, because such a field is probably a typo. The field names and formats
//! of both are stored data and must not change.

mod file;
mod record;
mod value;

pub use file::{EndpointFile, FileError, FileProblem, FileProblems, checksum, parse_file};
pub use record::{AllowedNames, DRAINING, FieldRule, RecordError, SERVING};
pub use value::{
    EndpointValueError, LEAVING, MAX_VALUE_BYTES, ProxyRecord, ValueError, encode_endpoint, encode_proxy,
    parse_endpoint, parse_proxy,
};

/// The version of values and files that this program reads and writes.
const VERSION: u64 = 1;
