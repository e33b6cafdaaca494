//! The ids of requests that must not run twice, shared by the processes of one proxy that accept on
//! the same listener. Each process writes the ids of its own requests into a file of fixed size, and
//! reads the files of the others. A claim is written before the other files are read, so of two
//! processes that claim an id at the same time at least one sees the other's claim.

use crate::state_files::{is_running, name_in_files};
use chalkwalk_engine::engine::Engine;
use chalkwalk_engine::response::BoxFuture;
use chalkwalk_http_frontend::{ClaimError, SharedClaim, SharedIds};
use chalkwalk_sockets::with_timeout;
use smol::{Timer, unblock};
use std::cell::{Cell, RefCell};
use std::fs::{self, File};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// The extension of the files' names.
const FILE_EXTENSION: &str = "ids";
/// Number of ids in a file. A new id takes the place of the oldest one.
const SLOTS: usize = 4096;
/// Length of an id in a file, in bytes. A slot of zeros is free.
const ID_BYTES: usize = size_of::<u64>();
/// Interval at which the files of other processes are looked for.
const SCAN_INTERVAL: Duration = Duration::from_millis(100);
/// How long a process waits, before it accepts, until the others have found its file.
const DISCOVERY_TIME: Duration = Duration::from_millis(250);
/// Maximum time of a claim, in case the disk is slow. The request is then not accepted.
const MAX_CLAIM_TIME: Duration = Duration::from_millis(100);
/// How long the file of a process that has ended is read, since its last write.
const RETENTION: Duration = Duration::from_secs(60);

/// The shared ids, as one process sees them.
pub struct IdFiles {
    folder: PathBuf,
    /// The prefix of the names of this proxy's files.
    name_prefix: String,
    own_path: PathBuf,
    own_file: Arc<File>,
    next_slot: Cell<usize>,
    peers: RefCell<Vec<Arc<File>>>,
}

impl IdFiles {
    /// Creates this process's file and starts to look for those of other processes. Blocks on the
    /// disk.
    pub fn start(engine: &Rc<Engine>, folder: PathBuf) -> io::Result<Rc<IdFiles>> {
        let name_prefix = format!("chalkwalk.{}.", name_in_files(&engine.config.name));
        let own_path = folder.join(format!("{name_prefix}{}.{FILE_EXTENSION}", std::process::id()));
        let own_file = File::create(&own_path)?;
        own_file.set_len((SLOTS * ID_BYTES) as u64)?;
        let peers = open_peer_files(&folder, &name_prefix, &own_path);
        let files = Rc::new(IdFiles {
            folder,
            name_prefix,
            own_path,
            own_file: Arc::new(own_file),
            next_slot: Cell::new(0),
            peers: RefCell::new(peers),
        });
        engine.executor.spawn(files.clone().scan()).detach();
        Ok(files)
    }

    /// Waits until the other processes have found this process's file, if there are any.
    pub async fn wait_until_found(&self) {
        if !self.peers.borrow().is_empty() {
            Timer::after(DISCOVERY_TIME).await;
        }
    }

    async fn scan(self: Rc<IdFiles>) {
        loop {
            Timer::after(SCAN_INTERVAL).await;
            let (folder, prefix, own) =
                (self.folder.clone(), self.name_prefix.clone(), self.own_path.clone());
            let peers = unblock(move || open_peer_files(&folder, &prefix, &own)).await;
            *self.peers.borrow_mut() = peers;
        }
    }

    async fn claim_in_files(&self, id: u64) -> Result<SharedClaim, ClaimError> {
        let slot = self.next_slot.get();
        self.next_slot.set((slot + 1) % SLOTS);
        let (own_file, peers) = (self.own_file.clone(), self.peers.borrow().clone());
        let is_free = unblock(move || -> io::Result<bool> {
            write_slot(&own_file, slot, id)?;
            for peer in &peers {
                if has_id(peer, id)? {
                    write_slot(&own_file, slot, 0)?;
                    return Ok(false);
                }
            }
            Ok(true)
        });
        match with_timeout(MAX_CLAIM_TIME, is_free).await {
            Some(Ok(true)) => Ok(SharedClaim(slot)),
            Some(Ok(false)) => Err(ClaimError::InUse),
            Some(Err(_)) | None => Err(ClaimError::Unavailable),
        }
    }
}

impl SharedIds for IdFiles {
    fn claim(&self, id: u64) -> BoxFuture<'_, Result<SharedClaim, ClaimError>> {
        Box::pin(self.claim_in_files(id))
    }

    fn release(&self, claim: SharedClaim) {
        let own_file = self.own_file.clone();
        unblock(move || _ = write_slot(&own_file, claim.0, 0)).detach();
    }
}

fn write_slot(file: &File, slot: usize, id: u64) -> io::Result<()> {
    file.write_all_at(&id.to_le_bytes(), (slot * ID_BYTES) as u64)
}

fn has_id(file: &File, id: u64) -> io::Result<bool> {
    let mut bytes = vec![0; SLOTS * ID_BYTES];
    file.read_exact_at(&mut bytes, 0)?;
    Ok(bytes.chunks_exact(ID_BYTES).any(|slot| slot == id.to_le_bytes()))
}

/// Opens the files of the other processes, and removes those of processes that ended long ago.
fn open_peer_files(folder: &Path, name_prefix: &str, own_path: &Path) -> Vec<Arc<File>> {
    let Ok(entries) = fs::read_dir(folder) else { return Vec::new() };
    let mut files = Vec::new();
    for path in entries.flatten().map(|entry| entry.path()) {
        let Some(pid) = peer_pid(&path, name_prefix).filter(|_| path != own_path) else { continue };
        let Ok(file) = File::open(&path) else { continue };
        if !is_running(pid) && is_outdated(&file) {
            _ = fs::remove_file(&path);
        } else {
            files.push(Arc::new(file));
        }
    }
    files
}

/// The id of the process that wrote a file, or `None` if the file holds no ids of this proxy.
fn peer_pid(path: &Path, name_prefix: &str) -> Option<u32> {
    let name = path.file_name()?.to_str()?;
    name.strip_prefix(name_prefix)?.strip_suffix(FILE_EXTENSION)?.strip_suffix('.')?.parse().ok()
}

fn is_outdated(file: &File) -> bool {
    let written_at = file.metadata().and_then(|metadata| metadata.modified());
    written_at.is_ok_and(|written_at| written_at.elapsed().is_ok_and(|age| age > RETENTION))
}
