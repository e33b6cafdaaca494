//! Captures as files: segments by name, written by a thread of their own, the oldest gone first.

use crate::format::FILE_MARK;
use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread::JoinHandle;
use std::time::{SystemTime, UNIX_EPOCH};

/// How much is kept, in bytes.
#[derive(Clone, Debug, PartialEq)]
pub struct Retention {
    pub folder: PathBuf,
    pub segment_bytes: u64,
    pub max_bytes: u64,
}

/// Blocks that wait for the disk: some seconds' worth of a busy proxy, and two megabytes at the most.
const QUEUE: usize = 128;

/// The thread that writes, and the way to it.
pub struct CaptureWriter {
    into: SyncSender<Vec<u8>>,
    thread: Option<JoinHandle<()>>,
}

impl CaptureWriter {
    /// Opens the first segment. `name` is the instance's, and part of every file's name, so that many may share a folder.
    pub fn open(keep: Retention, name: &str) -> Result<CaptureWriter, String> {
        std::fs::create_dir_all(&keep.folder).map_err(|e| format!("{}: {e}", keep.folder.display()))?;
        let safe: String =
            name.chars().map(|c| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' }).collect();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis());
        let mut segments = Segments {
            keep,
            prefix: format!("{safe}.{unix:013}"),
            name: safe,
            nth: 0,
            open: None,
            written: 0,
        };
        segments.next().map_err(|e| format!("{}: {e}", segments.keep.folder.display()))?;
        let (into, from) = sync_channel(QUEUE);
        let thread = std::thread::Builder::new().name("capture".into()).spawn(move || segments.run(from));
        let thread = thread.map_err(|e| e.to_string())?;
        Ok(CaptureWriter { into, thread: Some(thread) })
    }

    /// Takes blocks without ever waiting; what there is no room for is not taken.
    pub fn sink(&self) -> crate::recorder::Sink {
        let into = self.into.clone();
        Box::new(move |block| into.try_send(block).is_ok())
    }
}

impl CaptureWriter {
    /// Waits until all that was taken is written. Every sink has to be gone by then.
    pub fn close(mut self) {
        let thread = self.thread.take();
        drop(self);
        if let Some(thread) = thread {
            _ = thread.join();
        }
    }
}

struct Segments {
    keep: Retention,
    name: String,
    prefix: String,
    nth: u32,
    open: Option<File>,
    written: u64,
}

impl Segments {
    fn run(mut self, from: Receiver<Vec<u8>>) {
        while let Ok(block) = from.recv() {
            if self.written + block.len() as u64 > self.keep.segment_bytes {
                self.open = None;
            }
            if self.open.is_none() && self.next().is_err() {
                // Full, or gone: what comes meanwhile is lost, and the next whole segment begins once it can.
                continue;
            }
            if let Some(file) = &mut self.open {
                match file.write_all(&block) {
                    Ok(()) => self.written += block.len() as u64,
                    Err(_) => self.open = None,
                }
            }
        }
    }

    fn next(&mut self) -> io::Result<()> {
        self.tidy();
        let path = self.keep.folder.join(format!("{}.{:06}.capture", self.prefix, self.nth));
        let mut file = File::create(path)?;
        file.write_all(FILE_MARK)?;
        self.nth += 1;
        self.written = FILE_MARK.len() as u64;
        self.open = Some(file);
        Ok(())
    }

    /// The oldest go until there is room for one more.
    fn tidy(&self) {
        let own = segments(&self.keep.folder, &self.name);
        let mut all: u64 = own.iter().map(|p| p.metadata().map_or(0, |m| m.len())).sum();
        for path in own {
            if all + self.keep.segment_bytes <= self.keep.max_bytes {
                return;
            }
            all -= path.metadata().map_or(0, |m| m.len());
            _ = std::fs::remove_file(path);
        }
    }
}

/// An instance's segments in their order, of all of its starts.
pub fn segments(folder: &Path, name: &str) -> Vec<PathBuf> {
    let own = |path: &PathBuf| {
        let file = path.file_name().and_then(|f| f.to_str()).unwrap_or("");
        file.strip_prefix(name).is_some_and(|rest| rest.starts_with('.')) && file.ends_with(".capture")
    };
    let listed = std::fs::read_dir(folder).into_iter().flatten().flatten().map(|e| e.path());
    let mut paths: Vec<PathBuf> = listed.filter(own).collect();
    paths.sort();
    paths
}
