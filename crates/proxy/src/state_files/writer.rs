//! Writes this process's record. A write may block on the disk for seconds, so the caller runs it
//! outside the proxy's main thread.

use chalkwalk_handover::MAX_FILE_BYTES;
use std::fs;
use std::io;
use std::path::PathBuf;

/// Why this process's record can't be written.
#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    #[error("the handover file exceeds its maximum length: too many servers are disabled or draining")]
    TooLong,
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// A write of a record, still to be run.
pub struct RecordWriter {
    temporary_path: PathBuf,
    path: PathBuf,
    text: String,
}

impl RecordWriter {
    pub(super) fn new(
        temporary_path: PathBuf,
        path: PathBuf,
        text: String,
    ) -> Result<RecordWriter, WriteError> {
        if text.len() > MAX_FILE_BYTES {
            return Err(WriteError::TooLong);
        }
        Ok(RecordWriter { temporary_path, path, text })
    }

    /// Replaces the file atomically, or leaves it unchanged on failure. Blocks on the disk.
    pub fn write(self) -> Result<(), WriteError> {
        fs::write(&self.temporary_path, self.text)?;
        fs::rename(self.temporary_path, self.path)?;
        Ok(())
    }
}
