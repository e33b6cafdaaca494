//! The state files by which the processes of one proxy share their handover records: each process writes one of its own, in
//! `$TMPDIR`, and reads those of the others.

mod reader;
mod writer;

use chalkwalk_handover::{HandoverRecord, LearnedServers};
use chalkwalk_time::Timestamp;
pub use reader::{PeerFile, PeerReader};
use slog::{Logger, warn};
use std::collections::HashSet;
use std::path::{Path, PathBuf};
pub use writer::{RecordWriter, WriteError};

/// The ending of the files' names.
const FILE_ENDING: &str = "handover";

/// So many unreadable files are logged, each once, so that what is remembered of them stays bounded.
const MAX_REPORTED_FILES: usize = 64;

/// This process's record, and where it and those of the other processes are.
pub struct SharedState {
    /// Without a folder nothing is written or read.
    folder: Option<PathBuf>,
    /// The proxy's name, as file names have it.
    proxy: String,
    pub own: HandoverRecord,
    /// Unreadable files that the log has named.
    reported: HashSet<PathBuf>,
}

/// What the records of the other processes brought.
#[derive(Debug, Default)]
pub struct HandoverUpdate {
    /// Servers of which there was a later override.
    pub servers: Vec<String>,
    /// The proxy went out of service, or back.
    pub service_changed: bool,
    /// Another process has taken over from this one.
    pub is_superseded: bool,
    /// What another process has learned of the servers; of several, the latest.
    pub learned: LearnedServers,
    /// Another process of this proxy is alive.
    pub has_live_peer: bool,
    /// Files of processes that have ended, whose overrides are in the own record by now.
    pub ended: Vec<PathBuf>,
}

impl SharedState {
    pub fn new(folder: Option<PathBuf>, proxy: &str, now: Timestamp) -> SharedState {
        let safe = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
        let own = HandoverRecord { pid: std::process::id(), started: now, ..HandoverRecord::default() };
        SharedState { folder, proxy: proxy.chars().map(safe).collect(), own, reported: HashSet::new() }
    }

    fn own_file(&self, folder: &Path, ending: &str) -> PathBuf {
        folder.join(format!("chalkwalk.{}.{}.{ending}", self.proxy, self.own.pid))
    }

    /// The write of the own record, still to be done. Without a folder there is nothing to write.
    pub fn writer(&mut self, now: Timestamp) -> Result<Option<RecordWriter>, WriteError> {
        self.own.drop_settled(now);
        let Some(folder) = &self.folder else { return Ok(None) };
        let temporary = self.own_file(folder, "new");
        let file = self.own_file(folder, FILE_ENDING);
        RecordWriter::new(temporary, file, &self.own).map(Some)
    }

    /// The read of the other processes' records, still to be done.
    pub fn reader(&self) -> Option<PeerReader> {
        let folder = self.folder.clone()?;
        let own_file = self.own_file(&folder, FILE_ENDING);
        Some(PeerReader::new(folder, format!("chalkwalk.{}.", self.proxy), own_file))
    }

    /// Merges the other processes' records into the own one. A file that can't be read is skipped, and logged once.
    pub fn merge(&mut self, peers: Vec<PeerFile>, log: &Logger) -> HandoverUpdate {
        let mut update = HandoverUpdate::default();
        for peer in peers {
            match &peer.record {
                Ok(record) => self.merge_record(record, &peer, &mut update),
                Err(error) => self.report(&peer.path, &error.to_string(), log),
            }
        }
        update
    }

    fn merge_record(&mut self, record: &HandoverRecord, peer: &PeerFile, update: &mut HandoverUpdate) {
        let merged = self.own.merge(record);
        update.servers.extend(merged.servers);
        update.service_changed |= merged.service_changed;
        if record.learned.written_at > update.learned.written_at {
            update.learned = record.learned.clone();
        }
        if peer.is_alive {
            update.has_live_peer = true;
            update.is_superseded |= self.own.succeeded_by(record);
        } else if self.own.ready_since.is_some() {
            update.ended.push(peer.path.clone());
        }
    }

    fn report(&mut self, path: &Path, error: &str, log: &Logger) {
        if self.reported.len() < MAX_REPORTED_FILES && self.reported.insert(path.to_path_buf()) {
            warn!(log, "handover file skipped"; "file" => path.display().to_string(), "fault" => error);
        }
    }
}
