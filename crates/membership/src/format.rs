//! How endpoints and proxies are written down outside the platform: as JSON values under keys, and
//! as a file. Version 1 of both.
//!
//! A value is a JSON object; a file is TOML or JSON with the same fields. Unknown fields are
//! ignored in values, so that a newer writer does not stop older proxies, and rejected in files,
//! where they are a person's slip. Field names and the forms of both are stored data.

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
