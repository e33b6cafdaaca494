//! The state files through which the processes of one proxy share their handover records: each
//! process writes its own file in `$TMPDIR`, and reads those of the other processes.

mod reader;
mod writer;

use chalkwalk_handover::{HandoverRecord, LearnedServers, ToldDrains};
use chalkwalk_time::Timestamp;
pub use reader::{PeerFile, PeerReader, is_running};
use slog::{Logger, warn};
use std::collections::{BTreeMap, HashSet};
use std::path::{Path, PathBuf};
pub use writer::{RecordWriter, WriteError};

/// The extension of the files' names.
const FILE_EXTENSION: &str = "handover";

/// The extension of the files with the drains that a process was told.
const DRAINS_EXTENSION: &str = "drains";

/// The maximum number of unreadable files that are logged, once each: it bounds the set of their
/// paths.
const MAX_REPORTED_FILES: usize = 64;

/// A proxy's name as it appears in the names of its files.
pub fn name_in_files(proxy_name: &str) -> String {
    let sanitize = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
    proxy_name.chars().map(sanitize).collect()
}

/// This process's record, and the location of the files of all processes.
pub struct SharedState {
    /// The folder of the files. Without a folder nothing is written or read.
    folder: Option<PathBuf>,
    /// The proxy's name as it appears in file names: every character except ASCII letters, digits and
    /// `-` is replaced by `_`.
    proxy_name: String,
    pub own_record: HandoverRecord,
    /// The drains that this process was told.
    pub own_drains: ToldDrains,
    /// Unreadable files that have been logged.
    reported_files: HashSet<PathBuf>,
}

/// What the records of the other processes changed.
#[derive(Debug, Default)]
pub struct HandoverUpdate {
    /// The ids of the servers for which another process had a later override.
    pub servers: Vec<String>,
    /// Whether the proxy went out of service or came back.
    pub service_changed: bool,
    /// Whether another process has taken over from this one.
    pub is_superseded: bool,
    /// The figures that another process has learned about the servers; the latest of several.
    pub learned: LearnedServers,
    /// Whether another process of this proxy is alive.
    pub has_live_peer: bool,
    /// The servers that another live process was told are draining or gone, by id, with the start
    /// of the server's process.
    pub drains: BTreeMap<String, Timestamp>,
    /// Files of processes that have ended, whose overrides this process's record now includes.
    pub ended_files: Vec<PathBuf>,
}

impl SharedState {
    /// Creates the state of a process that starts `now`, before any file is read or written.
    pub fn new(folder: Option<PathBuf>, proxy_name: &str, now: Timestamp) -> SharedState {
        let own_record =
            HandoverRecord { pid: std::process::id(), started_at: now, ..HandoverRecord::default() };
        SharedState {
            folder,
            proxy_name: name_in_files(proxy_name),
            own_record,
            own_drains: ToldDrains::default(),
            reported_files: HashSet::new(),
        }
    }

    fn own_file(&self, folder: &Path, ending: &str) -> PathBuf {
        folder.join(format!("chalkwalk.{}.{}.{ending}", self.proxy_name, self.own_record.pid))
    }

    /// Prepares a write of this process's record; `None` without a folder.
    pub fn writer(&mut self, now: Timestamp) -> Result<Option<RecordWriter>, WriteError> {
        self.own_record.drop_expired_overrides(now);
        let Some(folder) = &self.folder else { return Ok(None) };
        let temporary_path = self.own_file(folder, "new");
        let own_path = self.own_file(folder, FILE_EXTENSION);
        RecordWriter::new(temporary_path, own_path, self.own_record.encode()).map(Some)
    }

    /// Prepares a write of the drains that this process was told; `None` without a folder.
    pub fn drains_writer(&self) -> Result<Option<RecordWriter>, WriteError> {
        let Some(folder) = &self.folder else { return Ok(None) };
        let temporary_path = self.own_file(folder, "drains-new");
        let own_path = self.own_file(folder, DRAINS_EXTENSION);
        RecordWriter::new(temporary_path, own_path, self.own_drains.encode()).map(Some)
    }

    /// Prepares a read of the other processes' records; `None` without a folder.
    pub fn reader(&self) -> Option<PeerReader> {
        let folder = self.folder.clone()?;
        let own_file = self.own_file(&folder, FILE_EXTENSION);
        Some(PeerReader::new(folder, format!("chalkwalk.{}.", self.proxy_name), own_file))
    }

    /// Merges the other processes' records into this process's record. A file that can't be read is
    /// skipped, and logged once.
    pub fn merge(&mut self, peers: Vec<PeerFile>, log: &Logger) -> HandoverUpdate {
        let mut update = HandoverUpdate::default();
        for peer in peers {
            match &peer.record {
                Ok(record) => self.merge_record(record, &peer, &mut update),
                Err(error) => self.log_skipped_file(&peer.path, &error.to_string(), log),
            }
        }
        update
    }

    fn merge_record(&mut self, record: &HandoverRecord, peer: &PeerFile, update: &mut HandoverUpdate) {
        let merged = self.own_record.merge(record);
        update.servers.extend(merged.servers);
        update.service_changed |= merged.service_changed;
        if record.learned.written_at > update.learned.written_at {
            update.learned = record.learned.clone();
        }
        if peer.is_alive {
            update.has_live_peer = true;
            update.drains.extend(peer.drains.starts.clone());
            update.is_superseded |= self.own_record.is_succeeded_by(record);
        } else if self.own_record.ready_since.is_some() {
            update.ended_files.push(peer.path.with_extension(DRAINS_EXTENSION));
            update.ended_files.push(peer.path.clone());
        }
    }

    fn log_skipped_file(&mut self, path: &Path, error: &str, log: &Logger) {
        if self.reported_files.len() < MAX_REPORTED_FILES && self.reported_files.insert(path.to_path_buf()) {
            warn!(log, "handover file skipped"; "file" => path.display().to_string(), "fault" => error);
        }
    }
}
