//! Reads the segments of captures from the files or folders that the command line names.

use crate::error::CaptureFileError;
use chalkwalk_capture::{CaptureItem, Damage, RecordedCall, read_segment};
use chalkwalk_time::{TICKS_PER_SECOND, Timestamp};
use std::fmt::Write;
use std::path::{Path, PathBuf};

/// The contents of a segment's file, up to the first damaged item.
pub struct Segment {
    pub path: PathBuf,
    pub items: Vec<CaptureItem>,
    /// The length of the file in bytes.
    pub bytes: usize,
}

impl Segment {
    /// The instance that wrote the segment: the first part of the file's name.
    pub fn instance(&self) -> &str {
        let name = self.path.file_name().and_then(|name| name.to_str()).unwrap_or("");
        name.split('.').next().unwrap_or("")
    }

    /// Iterates over all calls, with the time of each.
    pub fn calls(&self) -> impl Iterator<Item = (Timestamp, &RecordedCall)> {
        let blocks = self.items.iter().filter_map(|item| match item {
            CaptureItem::Calls(block) => Some(block),
            CaptureItem::Gap(_) => None,
        });
        blocks.flat_map(|block| {
            block.calls.iter().scan(block.from, |at, call| {
                *at += call.after;
                Some((*at, call))
            })
        })
    }
}

/// Reads all segments, each up to its first damaged item. Appends a line to `text` for each damage.
pub fn read_segments(paths: &[PathBuf], text: &mut String) -> Result<Vec<Segment>, CaptureFileError> {
    let mut segments = Vec::new();
    for path in segment_files(paths)? {
        let bytes = std::fs::read(&path).map_err(|error| file_error(&path, error))?;
        let contents = read_segment(&bytes);
        let contents = contents.map_err(|error| CaptureFileError::Format { path: path.clone(), error })?;
        if let Some(Damage { offset, error }) = contents.damage {
            _ = writeln!(text, "{}: {error}, from byte {offset} of {}", path.display(), bytes.len());
        }
        segments.push(Segment { path, items: contents.items, bytes: bytes.len() });
    }
    Ok(segments)
}

/// The named files, and all captures in the named folders, sorted by path.
fn segment_files(paths: &[PathBuf]) -> Result<Vec<PathBuf>, CaptureFileError> {
    let is_capture = |path: &PathBuf| path.extension().is_some_and(|extension| extension == "capture");
    let mut files = Vec::new();
    for path in paths {
        if path.is_dir() {
            let entries = std::fs::read_dir(path).map_err(|error| file_error(path, error))?;
            files.extend(entries.flatten().map(|entry| entry.path()).filter(is_capture));
        } else {
            files.push(path.clone());
        }
    }
    files.sort();
    if files.is_empty() { Err(CaptureFileError::NoFiles) } else { Ok(files) }
}

/// Returns the error for a file that can't be read or written.
pub fn file_error(path: &Path, error: std::io::Error) -> CaptureFileError {
    CaptureFileError::File { path: path.to_path_buf(), error }
}

/// Formats a time as seconds of Unix time.
pub fn format_seconds(at: Timestamp) -> String {
    format!("{}.{:04}", at.ticks() / TICKS_PER_SECOND, at.ticks() % TICKS_PER_SECOND)
}
