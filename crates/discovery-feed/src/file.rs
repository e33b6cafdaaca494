//! A watched file as a source: a version is accepted whole or not at all, and compared by its
//! content.

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

/// From one poll of the file to the next. A drain is applied well within the second that it may
/// take; reading some kilobytes ten times a second costs next to nothing. Comparing the content
/// needs no notifications, which renames and mounts would lose.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// 20,000 servers take some 200 bytes each.
const MAX_FILE_BYTES: u64 = 8 << 20;

/// Why the file can't be read.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    #[error("{}: {source}", path.display())]
    Io { path: PathBuf, source: std::io::Error },
    #[error("{}: above {MAX_FILE_BYTES} bytes", path.display())]
    TooLarge { path: PathBuf },
}

/// Why a version of the file is rejected.
#[derive(Debug, thiserror::Error)]
enum VersionError {
    #[error("no text: {0}")]
    NotText(#[from] std::str::Utf8Error),
    #[error(transparent)]
    File(#[from] FileError),
    #[error("an old file, serial {serial} after {known}")]
    OldSerial { serial: u64, known: u64 },
}

/// A watched list file.
pub struct FileSource {
    feed: Rc<Feed>,
    path: PathBuf,
    /// Hash of the content that was polled last.
    last_content: Cell<Option<u64>>,
    /// The serial number of the last version that was accepted and had one.
    serial: Cell<Option<u64>>,
}

impl FileSource {
    /// A source of the feed; nothing is read yet.
    pub fn new(feed: Rc<Feed>, path: &Path) -> Rc<FileSource> {
        let path = path.to_path_buf();
        Rc::new(FileSource { feed, path, last_content: Cell::new(None), serial: Cell::new(None) })
    }

    /// Applies the file anew at the next poll, even with a lower serial number than before: its
    /// writer may have been restarted.
    pub fn reload(&self) {
        self.last_content.set(None);
        self.serial.set(None);
    }

    /// Polls the file; never ends.
    pub async fn follow(self: Rc<FileSource>) {
        loop {
            let path = self.path.clone();
            match smol::unblock(move || read(&path)).await {
                Ok(bytes) => self.apply_if_changed(&bytes),
                Err(error) => {
                    self.feed.source_unavailable(&error.to_string());
                    self.last_content.set(None);
                }
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }

    fn apply_if_changed(&self, bytes: &[u8]) {
        let content = content_hash(bytes);
        if self.last_content.replace(Some(content)) == Some(content) {
            return;
        }
        match parse_version(bytes, self.serial.get(), &self.feed.allowed_names) {
            Ok(file) => self.apply(file),
            Err(error) => self.reject(&error),
        }
    }

    fn apply(&self, file: EndpointFile) {
        let count = file.entries.len();
        // Files bear no order of their own: the one read last is the newest.
        let revision = self.feed.revision() + 1;
        if self.feed.apply_list(revision, file.entries).is_ok() {
            self.serial.set(file.serial.or(self.serial.get()));
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
    known: Option<u64>,
    allowed: &AllowedNames,
) -> Result<EndpointFile, VersionError> {
    let file = parse_file(std::str::from_utf8(bytes)?, allowed)?;
    match (known, file.serial) {
        (Some(known), Some(serial)) if serial < known => Err(VersionError::OldSerial { serial, known }),
        _ => Ok(file),
    }
}

fn read(path: &Path) -> Result<Vec<u8>, ReadError> {
    let in_file = |source| ReadError::Io { path: path.to_path_buf(), source };
    let file = std::fs::File::open(path).map_err(in_file)?;
    let mut bytes = Vec::new();
    file.take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes).map_err(in_file)?;
    if bytes.len() as u64 > MAX_FILE_BYTES {
        return Err(ReadError::TooLarge { path: path.to_path_buf() });
    }
    Ok(bytes)
}
