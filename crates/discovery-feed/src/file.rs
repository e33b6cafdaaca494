//! A watched file as a source of the endpoint list. Changes are detected by comparing the content,
//! and each version of the file is accepted whole or not at all.

use crate::feed::Feed;
use chalkwalk_membership::format::{AllowedNames, EndpointFile, FileError, parse_file};
use slog::info;
use smol::Timer;
use std::cell::Cell;
use std::collections::hash_map::DefaultHasher;
use std::hash::Hasher;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// Interval between two polls of the file. With this interval a drain is applied well within the
/// second that is allowed for it, and the cost of reading some kilobytes ten times a second is
/// negligible. The file is polled because change notifications are lost with renames and mounts.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum size of the file, in bytes. 20,000 servers of some 200 bytes each take about half of it.
const MAX_FILE_BYTES: u64 = 8 << 20;

/// Why the file can't be read.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    #[error("{}: {source}", path.display())]
    Io { path: PathBuf, source: std::io::Error },
    #[error("{}: the file is larger than {MAX_FILE_BYTES} bytes", path.display())]
    TooLarge { path: PathBuf },
}

/// Why a version of the file is rejected.
#[derive(Debug, thiserror::Error)]
enum VersionError {
    #[error("the file is not UTF-8 text: {0}")]
    NotUtf8(#[from] std::str::Utf8Error),
    #[error(transparent)]
    File(#[from] FileError),
    #[error("the serial number {serial} is lower than {last_serial}, that of the last accepted version")]
    OldSerial { serial: u64, last_serial: u64 },
}

/// Polls a list file and reports its versions to the feed.
pub struct FileSource {
    feed: Rc<Feed>,
    path: PathBuf,
    /// Hash of the content at the last poll; `None` if the file could not be read or has to be
    /// applied again.
    last_content_hash: Cell<Option<u64>>,
    /// The serial number of the last version that was accepted and had one.
    last_serial: Cell<Option<u64>>,
}

impl FileSource {
    /// Creates a source for this feed. It does not read the file yet.
    pub fn new(feed: Rc<Feed>, path: &Path) -> Rc<FileSource> {
        let path = path.to_path_buf();
        Rc::new(FileSource { feed, path, last_content_hash: Cell::new(None), last_serial: Cell::new(None) })
    }

    /// Makes the next poll apply the file again, even if its serial number is lower than before:
    /// its writer may have been restarted.
    pub fn reload(&self) {
        self.last_content_hash.set(None);
        self.last_serial.set(None);
    }

    /// Polls the file; never returns.
    pub async fn run(self: Rc<FileSource>) {
        loop {
            let path = self.path.clone();
            match smol::unblock(move || read_file(&path)).await {
                Ok(bytes) => self.apply_if_changed(&bytes),
                Err(error) => {
                    self.feed.source_unavailable(&error.to_string());
                    self.last_content_hash.set(None);
                }
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }

    fn apply_if_changed(&self, bytes: &[u8]) {
        let hash = content_hash(bytes);
        if self.last_content_hash.replace(Some(hash)) == Some(hash) {
            return;
        }
        match parse_version(bytes, self.last_serial.get(), &self.feed.allowed_names) {
            Ok(file) => self.apply(file),
            Err(error) => self.reject(&error),
        }
    }

    fn apply(&self, file: EndpointFile) {
        let count = file.entries.len();
        // Files have no revisions: the version that was read last counts as the newest.
        let revision = self.feed.revision() + 1;
        if self.feed.apply_list(revision, file.entries).is_ok() {
            self.last_serial.set(file.serial.or(self.last_serial.get()));
            info!(self.feed.engine.log, "list file accepted"; "caches" => count);
        }
    }

    fn reject(&self, error: &VersionError) {
        let path = self.path.display();
        let lines: Vec<String> = error.to_string().lines().map(|line| format!("{path}: {line}")).collect();
        self.feed.reject(&lines.join("\n"));
    }
}

fn content_hash(bytes: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(bytes);
    hasher.finish()
}

fn parse_version(
    bytes: &[u8],
    last_serial: Option<u64>,
    allowed: &AllowedNames,
) -> Result<EndpointFile, VersionError> {
    let file = parse_file(std::str::from_utf8(bytes)?, allowed)?;
    match (last_serial, file.serial) {
        (Some(last_serial), Some(serial)) if serial < last_serial => {
            Err(VersionError::OldSerial { serial, last_serial })
        }
        _ => Ok(file),
    }
}

fn read_file(path: &Path) -> Result<Vec<u8>, ReadError> {
    let io_error = |source| ReadError::Io { path: path.to_path_buf(), source };
    let file = std::fs::File::open(path).map_err(io_error)?;
    let mut bytes = Vec::new();
    file.take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes).map_err(io_error)?;
    if bytes.len() as u64 > MAX_FILE_BYTES {
        return Err(ReadError::TooLarge { path: path.to_path_buf() });
    }
    Ok(bytes)
}
