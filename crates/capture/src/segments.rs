//! The files of a capture: segments, whose names sort in the order in which they were written. The
//! oldest segments are deleted first.

use crate::format::FILE_SIGNATURE;
use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

/// Where captures are stored, and how much disk space they may take.
#[derive(Clone, Debug, PartialEq)]
pub struct Retention {
    /// The folder for segments. Several instances may share it.
    pub folder: PathBuf,
    /// The length in bytes beyond which the next segment is started.
    pub segment_bytes: u64,
    /// The total length in bytes beyond which the oldest segments of the instance are deleted.
    pub max_bytes: u64,
}

/// Writes the segments of one instance.
pub(crate) struct SegmentFiles {
    retention: Retention,
    /// The instance's name as used in file names.
    instance: String,
    /// The prefix of the file names of this process's segments: the instance's name and the start
    /// time.
    prefix: String,
    next_segment_number: u32,
    current: Option<File>,
    written_bytes: u64,
}

impl SegmentFiles {
    /// Creates the folder and the first segment.
    pub(crate) fn open(retention: Retention, instance: &str) -> io::Result<SegmentFiles> {
        std::fs::create_dir_all(&retention.folder)?;
        let sanitize = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
        let instance: String = instance.chars().map(sanitize).collect();
        let started_ms =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since_epoch| since_epoch.as_millis());
        let mut files = SegmentFiles {
            retention,
            prefix: format!("{instance}.{started_ms:013}"),
            instance,
            next_segment_number: 0,
            current: None,
            written_bytes: 0,
        };
        files.open_next_segment()?;
        Ok(files)
    }

    /// Writes a block to the current segment, or to the next one if the current segment is full.
    /// While the disk is full or unavailable, blocks are lost, and each further block retries to
    /// open the next segment.
    pub(crate) fn write(&mut self, block: &[u8]) {
        let bytes = block.len() as u64;
        if self.written_bytes + bytes > self.retention.segment_bytes {
            self.current = None;
        }
        if self.current.is_none() && self.open_next_segment().is_err() {
            return;
        }
        if let Some(file) = &mut self.current {
            match file.write_all(block) {
                Ok(()) => self.written_bytes += bytes,
                Err(_) => self.current = None,
            }
        }
    }

    fn open_next_segment(&mut self) -> io::Result<()> {
        self.delete_oldest_segments();
        let name = format!("{}.{:06}.capture", self.prefix, self.next_segment_number);
        let mut file = File::create(self.retention.folder.join(name))?;
        file.write_all(FILE_SIGNATURE)?;
        self.next_segment_number += 1;
        self.written_bytes = FILE_SIGNATURE.len() as u64;
        self.current = Some(file);
        Ok(())
    }

    /// Deletes the oldest segments until there is room for a full new one.
    fn delete_oldest_segments(&self) {
        let file_length = |path: &PathBuf| path.metadata().map_or(0, |metadata| metadata.len());
        let paths = segment_paths(&self.retention.folder, &self.instance);
        let mut total: u64 = paths.iter().map(file_length).sum();
        for path in paths {
            if total + self.retention.segment_bytes <= self.retention.max_bytes {
                return;
            }
            total -= file_length(&path);
            _ = std::fs::remove_file(path);
        }
    }
}

/// Returns the paths of an instance's segments, from all of its starts, oldest first.
pub fn segment_paths(folder: &Path, instance: &str) -> Vec<PathBuf> {
    let is_instance_segment = |path: &PathBuf| {
        let file_name = path.file_name().and_then(|name| name.to_str()).unwrap_or("");
        file_name.strip_prefix(instance).is_some_and(|rest| rest.starts_with('.'))
            && file_name.ends_with(".capture")
    };
    let entries = std::fs::read_dir(folder).into_iter().flatten().flatten().map(|entry| entry.path());
    let mut paths: Vec<PathBuf> = entries.filter(is_instance_segment).collect();
    paths.sort();
    paths
}
