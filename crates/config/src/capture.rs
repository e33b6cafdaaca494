//! Reads whether and where captures are written.

use crate::lines::ErrorList;
use crate::schema::CaptureFields;
use std::path::PathBuf;
use toml::Spanned;

/// Configuration of captures, the record of the balancer's events and decisions.
#[derive(Clone, Debug, PartialEq)]
pub struct CaptureConfig {
    /// The directory in which the segments are written.
    pub directory: PathBuf,
    /// Whether the text of keys is captured. Their points on the ring are always captured.
    pub record_keys: bool,
    /// Size of a segment, in bytes.
    pub segment_bytes: u64,
    /// Maximum total size of the segments that are kept, in bytes.
    pub max_bytes: u64,
}

/// A segment of this size holds a few minutes of a busy proxy's events.
const DEFAULT_SEGMENT_MB: u64 = 32;
/// Segments of this total size hold a few hours of a busy proxy's events.
const DEFAULT_MAX_MB: u64 = 1024;
/// 16 TiB, which keeps sizes in bytes far from the maximum of their type.
const MAX_TOTAL_MB: u64 = 1 << 24;

pub(crate) fn read(section: &Spanned<CaptureFields>, errors: &mut ErrorList) -> CaptureConfig {
    let CaptureFields { folder, keys, segment_mb, max_mb } = section.get_ref();
    let segment_mb = segment_mb.unwrap_or(DEFAULT_SEGMENT_MB);
    let max_mb = max_mb.unwrap_or(DEFAULT_MAX_MB);
    if segment_mb == 0 || max_mb < segment_mb.saturating_mul(2) || max_mb > MAX_TOTAL_MB {
        errors.add(
            section,
            "segment_mb must be at least 1, and most_mb must hold at least two segments and at most 16 TiB",
        );
    }
    CaptureConfig {
        directory: folder.clone(),
        record_keys: *keys,
        segment_bytes: mb_to_bytes(segment_mb),
        max_bytes: mb_to_bytes(max_mb),
    }
}

fn mb_to_bytes(megabytes: u64) -> u64 {
    megabytes << 20
}
