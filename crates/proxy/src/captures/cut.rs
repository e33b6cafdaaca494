//! The smallest capture that still shows a call.

use super::segment::{file_error, read_segments};
use crate::error::CaptureFileError;
use chalkwalk_capture::{CaptureItem, FILE_MARK, encode_item, excerpt};
use std::fmt::Write;
use std::path::{Path, PathBuf};

/// Writes it to a file. Calls are numbered from 0 over the segments of one instance that are named.
pub fn cut(named: &[PathBuf], call: u64, to: &Path) -> Result<String, CaptureFileError> {
    let mut text = String::new();
    let segments = read_segments(named, &mut text)?;
    let items: Vec<CaptureItem> = segments.into_iter().flat_map(|segment| segment.items).collect();
    let part = excerpt(&items, call).ok_or(CaptureFileError::NoSuchCall(call))?;
    let bytes: Vec<u8> = FILE_MARK.iter().copied().chain(part.iter().flat_map(encode_item)).collect();
    std::fs::write(to, &bytes).map_err(|error| file_error(to, error))?;
    _ = writeln!(text, "{}: {} bytes", to.display(), bytes.len());
    Ok(text)
}
