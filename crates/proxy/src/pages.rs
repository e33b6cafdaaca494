//! The files by which the processes of one proxy tell each other what `handover` has: one of its own a process, in `$TMPDIR`.

use chalkwalk_handover::{HandoverRecord, LearnedServers, MAX_FILE_BYTES};
use chalkwalk_time::Timestamp;
use slog::{Logger, warn};
use std::collections::HashSet;
use std::fs;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

/// Where they are, and what this process wrote last.
pub struct Pages {
    folder: Option<PathBuf>,
    name: String, // of the proxy, as files have it
    pub own: HandoverRecord,
    spoilt: HashSet<PathBuf>, // told in the log
}

/// What the others say.
#[derive(Debug, Default)]
pub struct News {
    /// Servers of which there is a later word.
    pub servers: Vec<String>,
    pub service: bool,
    pub succeeded: bool,
    /// What another process has learned, by the latest word.
    pub learned: LearnedServers,
    /// Another process of this proxy is alive.
    pub company: bool,
    /// Files of processes that are gone: what they said is in the own page by now.
    pub dead: Vec<PathBuf>,
}

const ENDING: &str = "handover";

impl Pages {
    /// Without a folder nothing is kept, and there is nobody to tell.
    pub fn new(folder: Option<PathBuf>, proxy: &str, now: Timestamp) -> Pages {
        let plain = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
        let own = HandoverRecord { pid: std::process::id(), started: now, ..HandoverRecord::default() };
        Pages { folder, name: proxy.chars().map(plain).collect(), own, spoilt: HashSet::new() }
    }

    fn file(&self, folder: &Path, outcome: &str) -> PathBuf {
        folder.join(format!("chalkwalk.{}.{}.{outcome}", self.name, self.own.pid))
    }

    /// The own page as a file, still to be written. Without a folder there is nothing to write.
    pub fn pen(&mut self, now: Timestamp) -> io::Result<Option<Pen>> {
        self.own.drop_settled(now);
        let Some(folder) = &self.folder else { return Ok(None) };
        let text = self.own.encode();
        if text.len() > MAX_FILE_BYTES {
            return Err(io::Error::other("more caches out than are kept"));
        }
        Ok(Some(Pen { new: self.file(folder, "new"), file: self.file(folder, ENDING), text }))
    }

    /// What the others have written, still to be read.
    pub fn glass(&self) -> Option<Glass> {
        let folder = self.folder.clone()?;
        let (start, own_file) = (format!("chalkwalk.{}.", self.name), self.file(&folder, ENDING));
        Some(Glass { folder, start, own_file })
    }

    /// Takes what the others say; what can't be read is passed over, and told once.
    pub fn take(&mut self, seen: Vec<Seen>, log: &Logger) -> News {
        let mut news = News::default();
        for Seen { path, page, alive } in seen {
            match page {
                Ok(other) => {
                    let merged = self.own.merge(&other);
                    news.servers.extend(merged.servers);
                    news.service |= merged.service_changed;
                    if other.learned.written_at > news.learned.written_at {
                        news.learned = other.learned.clone();
                    }
                    if alive {
                        news.company = true;
                        news.succeeded |= self.own.succeeded_by(&other);
                    } else if self.own.ready_since.is_some() {
                        news.dead.push(path);
                    }
                }
                Err(fault) => {
                    if self.spoilt.len() < 64 && self.spoilt.insert(path.clone()) {
                        let file = path.display().to_string();
                        warn!(log, "handover passed over"; "file" => file, "fault" => fault);
                    }
                }
            }
        }
        news
    }
}

/// What is to be written. A disk may hold up whoever writes for seconds, so it is done beside the proxy's own thread.
pub struct Pen {
    new: PathBuf,
    file: PathBuf,
    text: String,
}

impl Pen {
    /// Writes the file whole, or leaves it as it was; blocks.
    pub fn write(self) -> io::Result<()> {
        fs::write(&self.new, self.text)?;
        fs::rename(self.new, self.file)
    }
}

/// Where to look for what others have written.
pub struct Glass {
    folder: PathBuf,
    start: String,
    own_file: PathBuf,
}

/// One other's file.
pub struct Seen {
    path: PathBuf,
    page: Result<HandoverRecord, String>,
    alive: bool, // its process
}

impl Glass {
    /// Reads them all; blocks.
    pub fn look(self) -> Vec<Seen> {
        let Ok(listed) = fs::read_dir(&self.folder) else { return Vec::new() };
        let mut others = Vec::new();
        for path in listed.flatten().map(|entry| entry.path()) {
            let name = path.file_name().and_then(|name| name.to_str()).unwrap_or("");
            if path != self.own_file && name.starts_with(&self.start) && name.ends_with(ENDING) {
                others.push(path);
            }
        }
        others.sort();
        let seen = |path: PathBuf| {
            let page = page(&path);
            let alive = page.as_ref().is_ok_and(|p| Path::new("/proc").join(p.pid.to_string()).exists());
            Seen { path, page, alive }
        };
        others.into_iter().map(seen).collect()
    }
}

fn page(path: &Path) -> Result<HandoverRecord, String> {
    let mut text = String::new();
    let file = fs::File::open(path).map_err(|e| e.to_string())?;
    file.take(MAX_FILE_BYTES as u64).read_to_string(&mut text).map_err(|e| e.to_string())?;
    HandoverRecord::decode(&text).map_err(|e| e.to_string())
}
