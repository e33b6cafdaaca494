//! The list as a file, one for each proxy with the addresses that it is to use: whole, renamed into place, or as a careless
//! writer would have it.

use super::{Site, lock};
use crate::evidence::What;
use crate::model::course::SERVING;
use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::time::Duration;

/// Between the halves of a file that is written in place.
const HALVES: Duration = Duration::from_millis(20);

/// Which caches a file last told a proxy to be off.
pub struct ListFile {
    path: PathBuf,
    proxy: usize,
    told: Mutex<HashMap<usize, bool>>,
    writing: smol::lock::Mutex<()>,
}

/// How a file is written over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum How {
    /// Beside it, and renamed.
    Whole,
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
            told: Mutex::default(),
            writing: smol::lock::Mutex::new(()),
        }
    }

    /// The list as of now.
    fn text(&self, site: &Site) -> String {
        let now = site.clock.now();
        let lines = site.listing.whole(site.listing.version(now));
        let mut text = format!("version = 1\nserial = {now}\n");
        for line in &lines {
            let said = site.line(self.proxy, line);
            let state = if line.state == SERVING { "serving" } else { "draining" };
            text += &format!(
                "[[cache]]\nid = {}\naddr = {}\nzone = {}\nkind = {}\ncell = {}\nstate = \"{state}\"\nstarted_ms = {}\n",
                said["id"], said["addr"], said["zone"], said["kind"], said["cell"], said["started_ms"]
            );
        }
        text + "[end]\n"
    }

    pub async fn write(&self, site: &Site, how: How) {
        // One writer at a time, or the second half of an old list would stand over a new one.
        let _one = self.writing.lock().await;
        let text = self.text(site);
        let beside = self.path.with_extension("new");
        let written = match how {
            How::Whole => std::fs::write(&beside, &text).and_then(|()| std::fs::rename(&beside, &self.path)),
            How::Broken => {
                _ = std::fs::write(&self.path, text.replace("addr = \"", "addr = \"x"));
                return;
            }
            How::InHalves => {
                _ = std::fs::write(&self.path, &text.as_bytes()[..text.len() / 2]);
                smol::Timer::after(HALVES).await;
                std::fs::write(&self.path, &text)
            }
        };
        if written.is_err() {
            return;
        }
        // Told from now on: whoever looks finds it.
        let now = site.clock.now();
        let lines = site.listing.whole(site.listing.version(now));
        let mut told = lock(&self.told);
        for cache in 0..site.origin() {
            let off = !lines.iter().any(|l| l.cache == cache && l.state == SERVING);
            if told.insert(cache, off).unwrap_or(false) != off {
                site.evidence.note_at(now, 0, self.proxy, What::Told { cache: cache as u16, off });
            }
        }
    }
}
