//! The files by which the processes of one proxy tell each other what `handover` has: one of its own a process, in `$TMPDIR`.

use chalkwalk_handover::{LONGEST, Page, Tenths};
use slog::{Logger, warn};
use std::collections::HashSet;
use std::fs;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

/// Where they are, and what this process wrote last.
pub struct Pages {
    folder: Option<PathBuf>,
    name: String, // of the proxy, as files have it
    pub own: Page,
    spoilt: HashSet<PathBuf>, // told in the log
}

/// What the others say.
#[derive(Debug, Default)]
pub struct News {
    /// Caches of which there is a later word.
    pub caches: Vec<String>,
    pub service: bool,
    pub succeeded: bool,
    /// Another process of this proxy is alive.
    pub company: bool,
}

const ENDING: &str = "handover";

impl Pages {
    /// Without a folder nothing is kept, and there is nobody to tell.
    pub fn new(folder: Option<PathBuf>, proxy: &str, now: Tenths) -> Pages {
        let plain = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
        let own = Page { pid: std::process::id(), began: now, ..Page::default() };
        Pages { folder, name: proxy.chars().map(plain).collect(), own, spoilt: HashSet::new() }
    }

    fn file(&self, folder: &Path, ending: &str) -> PathBuf {
        folder.join(format!("chalkwalk.{}.{}.{ending}", self.name, self.own.pid))
    }

    /// Writes the own file whole, or leaves it as it was.
    pub fn write(&mut self, now: Tenths) -> io::Result<()> {
        let Some(folder) = &self.folder else { return Ok(()) };
        self.own.tidy(now);
        let (new, text) = (self.file(folder, "new"), self.own.written());
        if text.len() > LONGEST {
            return Err(io::Error::other("more caches out than are kept"));
        }
        fs::write(&new, text)?;
        fs::rename(new, self.file(folder, ENDING))
    }

    /// Reads what the others say; what can't be read is passed over, and told once.
    pub fn read(&mut self, now: Tenths, log: &Logger) -> News {
        let mut news = News::default();
        let Some(folder) = self.folder.clone() else { return news };
        let start = format!("chalkwalk.{}.", self.name);
        let Ok(listed) = fs::read_dir(&folder) else { return news };
        let (own_file, mut others) = (self.file(&folder, ENDING), Vec::new());
        for path in listed.flatten().map(|entry| entry.path()) {
            let name = path.file_name().and_then(|name| name.to_str()).unwrap_or("");
            if path != own_file && name.starts_with(&start) && name.ends_with(ENDING) {
                others.push(path);
            }
        }
        others.sort();
        for path in others {
            match page(&path) {
                Ok(other) => {
                    let (caches, service) = self.own.merge(&other);
                    news.caches.extend(caches);
                    news.service |= service;
                    if Path::new("/proc").join(other.pid.to_string()).exists() {
                        news.company = true;
                        news.succeeded |= self.own.succeeded_by(&other);
                    } else if self.own.ready.is_some() && self.write(now).is_ok() {
                        // What it said is in the own file by now.
                        _ = fs::remove_file(&path);
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

fn page(path: &Path) -> Result<Page, String> {
    let mut text = String::new();
    let file = fs::File::open(path).map_err(|e| e.to_string())?;
    file.take(LONGEST as u64).read_to_string(&mut text).map_err(|e| e.to_string())?;
    Page::read(&text).map_err(str::to_string)
}
