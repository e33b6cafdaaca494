//! Captures as files: segments in the order of their names, the oldest deleted first.

use crate::format::FILE_MARK;
use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

/// Where captures are kept, and how much.
#[derive(Clone, Debug, PartialEq)]
pub struct Retention {
    /// The folder. Many instances may share it.
    pub folder: PathBuf,
    /// The length of a segment.
    pub segment_bytes: u64,
    /// The length of all segments of one instance.
    pub max_bytes: u64,
}

/// The segments of one instance, with the one that is being written.
pub(crate) struct SegmentFiles {
    retention: Retention,
    /// The instance's name in file names.
    instance: String,
    /// The instance's name and its start: what the names of this process's segments begin with.
    prefix: String,
    next_number: u32,
    current: Option<File>,
    written_bytes: u64,
}

impl SegmentFiles {
    /// Creates the folder and the first segment.
    pub(crate) fn open(retention: Retention, instance: &str) -> io::Result<SegmentFiles> {
        std::fs::create_dir_all(&retention.folder)?;
        let safe = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
        let instance: String = instance.chars().map(safe).collect();
        let started_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |unix| unix.as_millis());
        let mut files = SegmentFiles {
            retention,
            prefix: format!("{instance}.{started_ms:013}"),
            instance,
            next_number: 0,
            current: None,
            written_bytes: 0,
        };
        files.open_next()?;
        Ok(files)
    }

    /// Writes a block into the current segment, or into the next if the current one is full. While the disk is full or gone,
    /// blocks are lost; the next segment begins once it can.
    pub(crate) fn write(&mut self, block: &[u8]) {
        let bytes = block.len() as u64;
        if self.written_bytes + bytes > self.retention.segment_bytes {
            self.current = None;
        }
        if self.current.is_none() && self.open_next().is_err() {
            return;
        }
        if let Some(file) = &mut self.current {
            match file.write_all(block) {
                Ok(()) => self.written_bytes += bytes,
                Err(_) => self.current = None,
            }
        }
    }

    fn open_next(&mut self) -> io::Result<()> {
        self.delete_oldest();
        let name = format!("{}.{:06}.capture", self.prefix, self.next_number);
        let mut file = File::create(self.retention.folder.join(name))?;
        file.write_all(FILE_MARK)?;
        self.next_number += 1;
        self.written_bytes = FILE_MARK.len() as u64;
        self.current = Some(file);
        Ok(())
    }

    /// Deletes the oldest segments until there is room for one more.
    fn delete_oldest(&self) {
        let length = |path: &PathBuf| path.metadata().map_or(0, |metadata| metadata.len());
        let own = segments(&self.retention.folder, &self.instance);
        let mut total: u64 = own.iter().map(length).sum();
        for path in own {
            if total + self.retention.segment_bytes <= self.retention.max_bytes {
                return;
            }
            total -= length(&path);
            _ = std::fs::remove_file(path);
        }
    }
}

/// The segments of an instance in their order, of all of its starts.
pub fn segments(folder: &Path, instance: &str) -> Vec<PathBuf> {
    let is_own = |path: &PathBuf| {
        let file = path.file_name().and_then(|name| name.to_str()).unwrap_or("");
        file.strip_prefix(instance).is_some_and(|rest| rest.starts_with('.')) && file.ends_with(".capture")
    };
    let listed = std::fs::read_dir(folder).into_iter().flatten().flatten().map(|entry| entry.path());
    let mut paths: Vec<PathBuf> = listed.filter(is_own).collect();
    paths.sort();
    paths
}
