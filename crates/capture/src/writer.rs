//! The thread that writes captures, so that the proxy never waits for the disk.

use crate::recorder::Sink;
use crate::segments::{Retention, SegmentFiles};
use std::io;
use std::path::PathBuf;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::thread::JoinHandle;

/// Blocks that wait for the disk: some seconds' worth of a busy proxy, and two megabytes at the most.
const QUEUED_BLOCKS: usize = 128;

/// Why no capture can be written.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The folder or the first segment can't be created.
    #[error("{}: {error}", folder.display())]
    Folder {
        /// The folder of captures.
        folder: PathBuf,
        /// What the system says.
        error: io::Error,
    },
    /// The thread can't be started.
    #[error("{0}")]
    Thread(io::Error),
}

/// The thread that writes, and the queue to it.
pub struct CaptureWriter {
    queue: SyncSender<Vec<u8>>,
    thread: Option<JoinHandle<()>>,
}

impl CaptureWriter {
    /// Opens the first segment. The name of the instance is part of every file's name, so that many may share a folder.
    pub fn open(retention: Retention, instance: &str) -> Result<CaptureWriter, OpenError> {
        let folder = retention.folder.clone();
        let files = SegmentFiles::open(retention, instance);
        let mut files = files.map_err(|error| OpenError::Folder { folder, error })?;
        let (queue, blocks) = sync_channel::<Vec<u8>>(QUEUED_BLOCKS);
        let write_all = move || blocks.iter().for_each(|block| files.write(&block));
        let thread = std::thread::Builder::new().name("capture".into()).spawn(write_all);
        let thread = thread.map_err(OpenError::Thread)?;
        Ok(CaptureWriter { queue, thread: Some(thread) })
    }

    /// Queues blocks without ever waiting; one for which the queue has no room is refused.
    pub fn sink(&self) -> Sink {
        let queue = self.queue.clone();
        Box::new(move |block| queue.try_send(block).is_ok())
    }

    /// Waits until every queued block is written. Every sink has to be dropped by then.
    pub fn close(mut self) {
        let thread = self.thread.take();
        drop(self);
        if let Some(thread) = thread {
            _ = thread.join();
        }
    }
}
