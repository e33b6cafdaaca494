//! The `capture cut` command: writes the smallest capture that reproduces a call.

use super::segment::{file_error, read_segments};
use crate::error::CaptureFileError;
use chalkwalk_capture::{CaptureItem, FILE_SIGNATURE, encode_item, excerpt};
use std::fmt::Write;
use std::path::{Path, PathBuf};

/// Writes the smallest capture that reproduces `call` to a file, and returns the text to print.
/// Calls are numbered from 0 across the named segments, which have to be of one instance.
pub fn cut(paths: &[PathBuf], call: u64, output_path: &Path) -> Result<String, CaptureFileError> {
    let mut text = String::new();
    let segments = read_segments(paths, &mut text)?;
    let items: Vec<CaptureItem> = segments.into_iter().flat_map(|segment| segment.items).collect();
    let excerpt_items = excerpt(&items, call).ok_or(CaptureFileError::NoSuchCall(call))?;
    let bytes: Vec<u8> =
        FILE_SIGNATURE.iter().copied().chain(excerpt_items.iter().flat_map(encode_item)).collect();
    std::fs::write(output_path, &bytes).map_err(|error| file_error(output_path, error))?;
    _ = writeln!(text, "{}: {} bytes", output_path.display(), bytes.len());
    Ok(text)
}
