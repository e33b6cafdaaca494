//! The text of a handover file: a mark with the version, a checksum, and the record as JSON on one line.

use crate::record::HandoverRecord;

/// The first word of each file, with the version of its format. Another version is not read.
const MARK: &str = "chalkwalk-handover-1";

/// Longer than any file that is written: ten thousand disabled servers, of 60 bytes each.
pub const MAX_FILE_BYTES: usize = 1 << 20;

/// Why a text is no handover record.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum DecodeError {
    /// The mark is missing, or that of another version.
    #[error("no handover of a version that is known")]
    UnknownVersion,
    /// The text ends early.
    #[error("cut short")]
    Truncated,
    /// The text was changed after it was written.
    #[error("a checksum that is another")]
    WrongChecksum,
    /// The JSON is no record.
    #[error("nothing that makes sense")]
    InvalidRecord,
}

impl HandoverRecord {
    /// The text of the file.
    pub fn encode(&self) -> String {
        let body = serde_json::to_string(self).unwrap_or_default();
        format!("{MARK} {:08x} {body}\n", crc32fast::hash(body.as_bytes()))
    }

    /// The record in a file's text.
    pub fn decode(text: &str) -> Result<HandoverRecord, DecodeError> {
        let after_mark = text.strip_prefix(MARK).and_then(|rest| rest.strip_prefix(' '));
        let after_mark = after_mark.ok_or(DecodeError::UnknownVersion)?;
        let line = after_mark.strip_suffix('\n').ok_or(DecodeError::Truncated)?;
        let (checksum, body) = line.split_once(' ').ok_or(DecodeError::Truncated)?;
        if u32::from_str_radix(checksum, 16) != Ok(crc32fast::hash(body.as_bytes())) {
            return Err(DecodeError::WrongChecksum);
        }
        serde_json::from_str(body).map_err(|_| DecodeError::InvalidRecord)
    }
}
