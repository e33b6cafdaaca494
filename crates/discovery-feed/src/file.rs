//! A watched file as a source: taken whole or not at all, by its content.

use crate::feed::Feed;
use chalkwalk_membership::format::read_file;
use slog::info;
use smol::Timer;
use std::cell::Cell;
use std::collections::hash_map::DefaultHasher;
use std::hash::Hasher;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// From one look at the file to the next. A drain is heard well within the second that it may take; reading some kilobytes ten
/// times a second costs next to nothing. Looking at the content needs no notices that renames and mounts would lose.
const LOOK: Duration = Duration::from_millis(100);
/// 20,000 servers take some 200 bytes each.
const LONGEST: u64 = 8 << 20;

pub struct FileSource {
    feed: Rc<Feed>,
    path: PathBuf,
    seen: Cell<Option<u64>>, // the content that was last looked at
    serial: Cell<Option<u64>>,
}

impl FileSource {
    pub fn new(feed: Rc<Feed>, path: &Path) -> Rc<FileSource> {
        Rc::new(FileSource { feed, path: path.to_path_buf(), seen: Cell::new(None), serial: Cell::new(None) })
    }

    /// Looks at it anew, and takes a lower serial number than before for once: its writer may have started again.
    pub fn reload(&self) {
        self.seen.set(None);
        self.serial.set(None);
    }

    /// Looks at the file again and again; never ends.
    pub async fn follow(self: Rc<FileSource>) {
        loop {
            let path = self.path.clone();
            match smol::unblock(move || text(&path)).await {
                Ok(bytes) => self.take(&bytes),
                Err(fault) => {
                    self.feed.lost(&fault);
                    self.seen.set(None);
                }
            }
            Timer::after(LOOK).await;
        }
    }

    fn take(&self, bytes: &[u8]) {
        let mut hasher = DefaultHasher::new();
        hasher.write(bytes);
        let content = hasher.finish();
        if self.seen.replace(Some(content)) == Some(content) {
            return;
        }
        let read = std::str::from_utf8(bytes).map_err(|e| format!("no text: {e}"));
        let read = read.and_then(|text| read_file(text, &self.feed.known)).and_then(|read| {
            match (self.serial.get(), read.serial) {
                (Some(before), Some(now)) if now < before => {
                    Err(format!("an old file, serial {now} after {before}"))
                }
                _ => Ok(read),
            }
        });
        match read {
            Ok(read) => {
                let servers = read.lines.len();
                // Files bear no order of their own: the one read last is the newest.
                if self.feed.whole(self.feed.revision() + 1, read.lines).is_ok() {
                    self.serial.set(read.serial.or(self.serial.get()));
                    info!(self.feed.engine.log, "list file taken"; "caches" => servers);
                }
            }
            Err(faults) => {
                let path = self.path.display();
                let faults: Vec<String> = faults.lines().map(|fault| format!("{path}: {fault}")).collect();
                self.feed.pass_over(&faults.join("\n"));
            }
        }
    }
}

/// What stands in the file.
fn text(path: &Path) -> Result<Vec<u8>, String> {
    let fault = |e: std::io::Error| format!("{}: {e}", path.display());
    let file = std::fs::File::open(path).map_err(fault)?;
    let mut bytes = Vec::new();
    file.take(LONGEST + 1).read_to_end(&mut bytes).map_err(fault)?;
    if bytes.len() as u64 > LONGEST {
        return Err(format!("{}: above {LONGEST} bytes", path.display()));
    }
    Ok(bytes)
}
