//! The endpoint list on disk. It is loaded at the start, before any source responds, and written
//! whenever the list has changed.

use crate::feed::Feed;
use chalkwalk_membership::ListEntry;
use chalkwalk_membership::format::AllowedNames;
use chalkwalk_membership::persisted::{Freshness, PersistedList, PersistedListError};
use chalkwalk_time::Span;
use slog::{info, warn};
use smol::Timer;
use std::io::Write;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

/// Minimum interval between two writes to disk, as a deploy changes the list several times a
/// second.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);
const MINUTE: Span = Span::from_secs(60);

/// Why a persisted list can't be loaded.
#[derive(Debug, thiserror::Error)]
enum LoadError {
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    List(#[from] PersistedListError),
}

impl Feed {
    /// Loads the list that was last persisted and notifies the engine of it. Must be called before
    /// any source responds.
    pub fn load_persisted(&self) {
        let Some(path) = &self.persistence_path else { return };
        match load(path, &self.allowed_names) {
            Ok(list) => self.apply_persisted(list),
            // Nothing has been persisted yet: this is the first start.
            Err(LoadError::Io(_)) if !path.exists() => {}
            Err(error) => warn!(self.engine.log, "persisted list ignored"; "fault" => %error),
        }
    }

    fn apply_persisted(&self, list: PersistedList) {
        let now = self.now();
        let minutes = now.saturating_since(list.written_at) / MINUTE;
        let count = list.endpoints.len();
        let log = &self.engine.log;
        match list.freshness(now) {
            Freshness::Expired => {
                warn!(log, "persisted list ignored"; "fault" => "too old", "minutes" => minutes);
                return;
            }
            Freshness::Stale => warn!(log, "persisted list is old"; "minutes" => minutes, "caches" => count),
            Freshness::Fresh => info!(log, "persisted list loaded"; "minutes" => minutes, "caches" => count),
        }
        let entries = list.endpoints.into_iter().map(ListEntry::from).collect();
        // `apply_list` has logged an error; the source's own list follows.
        _ = self.apply_list(list.revision, entries);
        self.has_unpersisted_changes.set(false);
    }

    /// Writes the list to disk whenever it has changed. Returns only if the operator configures no
    /// file to persist it in.
    pub async fn persist_changes(self: Rc<Feed>) {
        let Some(path) = self.persistence_path.clone() else { return };
        let mut write_failed = false;
        loop {
            Timer::after(WRITE_INTERVAL).await;
            if !self.has_unpersisted_changes.replace(false) {
                continue;
            }
            let target_path = path.clone();
            let text = self.persisted_list().to_text();
            match smol::unblock(move || write_atomically(&target_path, &text)).await {
                Ok(()) => write_failed = false,
                Err(error) => {
                    self.has_unpersisted_changes.set(true);
                    if !write_failed {
                        warn!(self.engine.log, "list not persisted"; "fault" => %error);
                    }
                    write_failed = true;
                }
            }
        }
    }

    fn persisted_list(&self) -> PersistedList {
        PersistedList { written_at: self.now(), revision: self.revision(), endpoints: self.endpoints() }
    }
}

fn load(path: &Path, allowed: &AllowedNames) -> Result<PersistedList, LoadError> {
    let text = std::fs::read_to_string(path)?;
    Ok(PersistedList::parse(&text, allowed)?)
}

/// Replaces the file so that it has either the old or the new content even after a crash of the
/// machine: writes a temporary file to the same directory, syncs that file to disk, and renames it.
fn write_atomically(path: &Path, text: &str) -> std::io::Result<()> {
    let mut temporary_path = path.to_path_buf().into_os_string();
    temporary_path.push(format!(".{}", std::process::id()));
    let mut file = std::fs::File::create(&temporary_path)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()?;
    std::fs::rename(&temporary_path, path)
}
