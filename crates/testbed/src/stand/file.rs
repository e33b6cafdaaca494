//! The list as a file, one for each proxy with the addresses that it is to use: whole, renamed into place, or as a careless
//! writer would have it.

use super::{Site, lock};
use crate::evidence::EventKind;
use crate::model::timeline::SERVING;
use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::time::Duration;

/// Between the halves of a file that is written in place.
const HALVES_GAP: Duration = Duration::from_millis(20);

/// Which servers a file last told a proxy to be off.
pub struct ListFile {
    path: PathBuf,
    proxy: usize,
    notified_off: Mutex<HashMap<usize, bool>>,
    writing: smol::lock::Mutex<()>,
}

/// How a file is written over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WriteMode {
    /// Beside it, and renamed.
    Replaced,
    /// A file that can't be taken, in place.
    Broken,
    /// In place, the second half later than the first.
    InHalves,
}

impl ListFile {
    pub fn new(path: &Path, proxy: usize) -> ListFile {
        ListFile {
            path: path.to_path_buf(),
            proxy,
            notified_off: Mutex::default(),
            writing: smol::lock::Mutex::new(()),
        }
    }

    /// The list as of now.
    fn text(&self, site: &Site) -> String {
        let now = site.clock.now();
        let entries = site.server_list.snapshot(site.server_list.version(now));
        let mut text = format!("version = 1\nserial = {now}\n");
        for entry in &entries {
            let listed = site.list_entry(self.proxy, entry);
            let state = if entry.state == SERVING { "serving" } else { "draining" };
            text += &format!(
                "[[cache]]\nid = {}\naddr = {}\nzone = {}\nkind = {}\ncell = {}\nstate = \"{state}\"\nstarted_ms = {}\n",
                listed["id"],
                listed["addr"],
                listed["zone"],
                listed["kind"],
                listed["cell"],
                listed["started_ms"]
            );
        }
        text + "[end]\n"
    }

    pub async fn write(&self, site: &Site, mode: WriteMode) {
        // One writer at a time, or the second half of an old list would stand over a new one.
        let _one = self.writing.lock().await;
        let text = self.text(site);
        let beside = self.path.with_extension("new");
        let written = match mode {
            WriteMode::Replaced => {
                std::fs::write(&beside, &text).and_then(|()| std::fs::rename(&beside, &self.path))
            }
            WriteMode::Broken => {
                _ = std::fs::write(&self.path, text.replace("addr = \"", "addr = \"x"));
                return;
            }
            WriteMode::InHalves => {
                _ = std::fs::write(&self.path, &text.as_bytes()[..text.len() / 2]);
                smol::Timer::after(HALVES_GAP).await;
                std::fs::write(&self.path, &text)
            }
        };
        if written.is_err() {
            return;
        }
        // Told from now on: whoever looks finds it.
        let now = site.clock.now();
        let entries = site.server_list.snapshot(site.server_list.version(now));
        let mut notified_off = lock(&self.notified_off);
        for server in 0..site.origin() {
            let off = !entries.iter().any(|l| l.server == server && l.state == SERVING);
            if notified_off.insert(server, off).unwrap_or(false) != off {
                site.evidence.record_at(
                    now,
                    0,
                    self.proxy,
                    EventKind::Notified { server: server as u16, off },
                );
            }
        }
    }
}
