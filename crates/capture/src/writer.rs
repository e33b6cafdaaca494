//! The thread that writes captures, so that the proxy's own thread never waits for the disk.

use crate::recorder::Sink;
use crate::segments::{Retention, SegmentFiles};
use std::io;
use std::path::PathBuf;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::thread::JoinHandle;

/// The maximum number of blocks that wait to be written: a few seconds' worth on a busy proxy, and
/// at most two megabytes.
const MAX_QUEUED_BLOCKS: usize = 128;

/// Why a capture can't be started.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The folder or the first segment can't be created.
    #[error("cannot create a segment in {}: {error}", folder.display())]
    Folder {
        /// The folder for segments.
        folder: PathBuf,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The thread that writes segments can't be started.
    #[error("cannot start the capture thread: {0}")]
    Thread(io::Error),
}

/// The thread that writes segments, and the queue of blocks for it.
pub struct CaptureWriter {
    queue: SyncSender<Vec<u8>>,
    thread: Option<JoinHandle<()>>,
}

impl CaptureWriter {
    /// Opens the first segment and starts the thread. The instance's name is part of every file
    /// name, so several instances may share a folder.
    pub fn open(retention: Retention, instance: &str) -> Result<CaptureWriter, OpenError> {
        let folder = retention.folder.clone();
        let files = SegmentFiles::open(retention, instance);
        let mut files = files.map_err(|error| OpenError::Folder { folder, error })?;
        let (queue, blocks) = sync_channel::<Vec<u8>>(MAX_QUEUED_BLOCKS);
        let write_blocks = move || blocks.iter().for_each(|block| files.write(&block));
        let thread = std::thread::Builder::new().name("capture".into()).spawn(write_blocks);
        let thread = thread.map_err(OpenError::Thread)?;
        Ok(CaptureWriter { queue, thread: Some(thread) })
    }

    /// Returns a sink that queues items for the thread. It never waits: it refuses an item if the
    /// queue is full.
    pub fn sink(&self) -> Sink {
        let queue = self.queue.clone();
        Box::new(move |block| queue.try_send(block).is_ok())
    }

    /// Waits until every queued block is written. The thread ends only after all sinks are dropped,
    /// so the caller has to drop them first.
    pub fn close(mut self) {
        let thread = self.thread.take();
        drop(self);
        if let Some(thread) = thread {
            _ = thread.join();
        }
    }
}
