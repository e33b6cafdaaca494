//! The servers that a process was told are draining or gone, for its successor.

use crate::format::{DecodeError, FileKind, decode, encode};
use chalkwalk_time::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The servers that are draining or gone, by id, with the start of each server's process. Kept in a
/// file of its own, beside the [`HandoverRecord`](crate::HandoverRecord), whose form is older.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ToldDrains {
    /// The start of the process, by server id.
    pub starts: BTreeMap<String, Timestamp>,
}

impl ToldDrains {
    /// Encodes the drains as the text of a file.
    pub fn encode(&self) -> String {
        encode(FileKind::Drains, self)
    }

    /// Decodes the drains from the text of a file.
    pub fn decode(text: &str) -> Result<ToldDrains, DecodeError> {
        decode(FileKind::Drains, text)
    }
}
