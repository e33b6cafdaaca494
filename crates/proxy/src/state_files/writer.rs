//! The write of the own record. A disk may block the writer for seconds, so it is done outside the proxy's own thread.

use chalkwalk_handover::{HandoverRecord, MAX_FILE_BYTES};
use std::fs;
use std::io;
use std::path::PathBuf;

/// Why the own record is not written.
#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    #[error("more caches disabled than a handover file holds")]
    TooLong,
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// A record to be written.
pub struct RecordWriter {
    temporary: PathBuf,
    file: PathBuf,
    text: String,
}

impl RecordWriter {
    pub(super) fn new(
        temporary: PathBuf,
        file: PathBuf,
        record: &HandoverRecord,
    ) -> Result<RecordWriter, WriteError> {
        let text = record.encode();
        if text.len() > MAX_FILE_BYTES {
            return Err(WriteError::TooLong);
        }
        Ok(RecordWriter { temporary, file, text })
    }

    /// Writes the file whole, or leaves it as it was; blocks.
    pub fn write(self) -> Result<(), WriteError> {
        fs::write(&self.temporary, self.text)?;
        fs::rename(self.temporary, self.file)?;
        Ok(())
    }
}
