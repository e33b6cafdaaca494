//! The text of a handover file: one line with a header that names the format version, a checksum,
//! and the record as JSON.

use crate::record::HandoverRecord;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// What a file holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FileKind {
    Record,
    Drains,
}

impl FileKind {
    /// The first word of each file: the name and the version of its format. Files of other versions
    /// are not read.
    fn header(self) -> &'static str {
        match self {
            FileKind::Record => "chalkwalk-handover-1",
            FileKind::Drains => "chalkwalk-drains-1",
        }
    }
}

/// The maximum length of a handover file, in bytes: enough for more than ten thousand disabled
/// servers, at 60 bytes each.
pub const MAX_FILE_BYTES: usize = 1 << 20;

/// Why a text can't be decoded as a handover record.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum DecodeError {
    /// The header is missing, or names another version of the format.
    #[error("not a handover file of version 1: the header chalkwalk-handover-1 is missing")]
    UnknownVersion,
    /// The text ends early.
    #[error("truncated handover file")]
    Truncated,
    /// The checksum in the text doesn't match the record: the text was changed after it was
    /// written.
    #[error("the checksum does not match the record")]
    WrongChecksum,
    /// The checksum matches, but the JSON is not a record of the expected form.
    #[error("the JSON is not a valid handover record")]
    InvalidRecord,
}

/// Encodes a value as the text of a file.
pub(crate) fn encode(kind: FileKind, value: &impl Serialize) -> String {
    let body = serde_json::to_string(value).unwrap_or_default();
    format!("{} {:08x} {body}\n", kind.header(), crc32fast::hash(body.as_bytes()))
}

/// Decodes a value from the text of a file.
pub(crate) fn decode<T: DeserializeOwned>(kind: FileKind, text: &str) -> Result<T, DecodeError> {
    let after_header = text.strip_prefix(kind.header()).and_then(|rest| rest.strip_prefix(' '));
    let after_header = after_header.ok_or(DecodeError::UnknownVersion)?;
    let line = after_header.strip_suffix('\n').ok_or(DecodeError::Truncated)?;
    let (checksum, body) = line.split_once(' ').ok_or(DecodeError::Truncated)?;
    if u32::from_str_radix(checksum, 16) != Ok(crc32fast::hash(body.as_bytes())) {
        return Err(DecodeError::WrongChecksum);
    }
    serde_json::from_str(body).map_err(|_| DecodeError::InvalidRecord)
}

impl HandoverRecord {
    /// Encodes the record as the text of a file.
    pub fn encode(&self) -> String {
        encode(FileKind::Record, self)
    }

    /// Decodes the record from the text of a file.
    pub fn decode(text: &str) -> Result<HandoverRecord, DecodeError> {
        decode(FileKind::Record, text)
    }
}
