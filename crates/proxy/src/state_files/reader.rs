//! Reads the other processes' records. A read may block on the disk, so the caller runs it outside
//! the proxy's main thread.

use super::{DRAINS_EXTENSION, FILE_EXTENSION};
use chalkwalk_handover::{DecodeError, HandoverRecord, MAX_FILE_BYTES, ToldDrains};
use std::fs;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

/// Why another process's record can't be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Decode(#[from] DecodeError),
}

/// The file of another process.
pub struct PeerFile {
    pub path: PathBuf,
    pub record: Result<HandoverRecord, ReadError>,
    /// The drains that the process was told; empty if it has written none, or they can't be read.
    pub drains: ToldDrains,
    /// Whether the process that wrote the file is alive; `false` if the record can't be read.
    pub is_alive: bool,
}

/// A read of the other processes' files, still to be run.
pub struct PeerReader {
    folder: PathBuf,
    /// The prefix of the names of this proxy's files.
    name_prefix: String,
    own_file: PathBuf,
}

impl PeerReader {
    pub(super) fn new(folder: PathBuf, name_prefix: String, own_file: PathBuf) -> PeerReader {
        PeerReader { folder, name_prefix, own_file }
    }

    /// Reads the files of all other processes. Blocks on the disk.
    pub fn read(self) -> Vec<PeerFile> {
        let Ok(entries) = fs::read_dir(&self.folder) else { return Vec::new() };
        let mut paths: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
        paths.retain(|path| self.is_peer_file(path));
        paths.sort();
        paths.into_iter().map(PeerFile::read).collect()
    }

    fn is_peer_file(&self, path: &Path) -> bool {
        let name = path.file_name().and_then(|name| name.to_str()).unwrap_or("");
        *path != self.own_file && name.starts_with(&self.name_prefix) && name.ends_with(FILE_EXTENSION)
    }
}

impl PeerFile {
    fn read(path: PathBuf) -> PeerFile {
        let record = read_record(&path);
        let is_alive = record.as_ref().is_ok_and(|record| is_running(record.pid));
        let drains = read_drains(&path.with_extension(DRAINS_EXTENSION));
        PeerFile { path, record, drains, is_alive }
    }
}

/// Whether a process with this id is running.
pub fn is_running(pid: u32) -> bool {
    Path::new("/proc").join(pid.to_string()).exists()
}

fn read_record(path: &Path) -> Result<HandoverRecord, ReadError> {
    Ok(HandoverRecord::decode(&read_text(path)?)?)
}

fn read_drains(path: &Path) -> ToldDrains {
    let text = read_text(path).ok();
    text.and_then(|text| ToldDrains::decode(&text).ok()).unwrap_or_default()
}

fn read_text(path: &Path) -> io::Result<String> {
    let mut text = String::new();
    fs::File::open(path)?.take(MAX_FILE_BYTES as u64).read_to_string(&mut text)?;
    Ok(text)
}
