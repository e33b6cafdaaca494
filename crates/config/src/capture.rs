//! Whether and where captures are written.

use crate::lines::Errors;
use crate::schema::CaptureFields;
use std::path::PathBuf;
use toml::Spanned;

/// Whether and where the balancer's events and decisions are written.
#[derive(Clone, Debug, PartialEq)]
pub struct CaptureConfig {
    /// Where the segments are written.
    pub folder: PathBuf,
    /// Whether the texts of keys are captured; their points on the ring are in any case.
    pub keys: bool,
    /// The size of a segment, in bytes.
    pub segment_bytes: u64,
    /// The size of all segments that are kept, in bytes.
    pub max_bytes: u64,
}

/// A segment holds some minutes of a busy proxy.
const DEFAULT_SEGMENT_MB: u64 = 32;
/// All segments hold an evening of one.
const DEFAULT_MAX_MB: u64 = 1024;
/// 16 TiB, so that sizes in bytes stay far from the end of their type.
const LARGEST_MAX_MB: u64 = 1 << 24;

pub(crate) fn read(section: &Spanned<CaptureFields>, errors: &mut Errors) -> CaptureConfig {
    let CaptureFields { folder, keys, segment_mb, max_mb } = section.get_ref();
    let segment_mb = segment_mb.unwrap_or(DEFAULT_SEGMENT_MB);
    let max_mb = max_mb.unwrap_or(DEFAULT_MAX_MB);
    if segment_mb == 0 || max_mb < segment_mb.saturating_mul(2) || max_mb > LARGEST_MAX_MB {
        errors.add(section, "capture keeps two segments at the least, of 1 MB or more each");
    }
    CaptureConfig {
        folder: folder.clone(),
        keys: *keys,
        segment_bytes: bytes(segment_mb),
        max_bytes: bytes(max_mb),
    }
}

fn bytes(megabytes: u64) -> u64 {
    megabytes << 20
}
