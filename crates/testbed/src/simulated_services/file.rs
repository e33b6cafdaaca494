//! The endpoint list as a file, one for each proxy with the addresses that the proxy uses. It is
//! replaced atomically with a rename, or overwritten in place, as by a writer that ignores
//! concurrent readers.

use super::SimulatedServices;
use crate::clock::Micros;
use crate::evidence::EventKind;
use crate::model::server_list::ListedServer;
use crate::model::timeline::EndpointStatus;
use crate::sync::lock;
use std::collections::HashMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::time::Duration;

/// Pause between the halves of a file that is overwritten in place.
const SPLIT_WRITE_DELAY: Duration = Duration::from_millis(20);

/// The list file of one proxy.
pub struct ListFile {
    path: PathBuf,
    proxy: usize,
    /// By server, whether it was off in the file as it was last written.
    notified_off: Mutex<HashMap<usize, bool>>,
    write_lock: smol::lock::Mutex<()>,
}

/// How a file is overwritten.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WriteMode {
    /// A new file is written in the same directory, and renamed over the old one.
    AtomicReplace,
    /// The file is overwritten in place with content that cannot be parsed.
    MalformedInPlace,
    /// The file is overwritten in place: first with the first half of the content, later with all
    /// of it.
    InPlaceInHalves,
}

impl ListFile {
    /// A list file that is not written yet.
    pub fn new(path: &Path, proxy: usize) -> ListFile {
        ListFile {
            path: path.to_path_buf(),
            proxy,
            notified_off: Mutex::default(),
            write_lock: smol::lock::Mutex::new(()),
        }
    }

    /// The current content of the file.
    fn text(&self, services: &SimulatedServices) -> String {
        let now = services.clock.now();
        let mut text = format!("version = 1\nserial = {now}\n");
        for entry in &entries_at(services, now) {
            let fields = services.list_entry(self.proxy, entry);
            let state = if entry.status == EndpointStatus::Ready { "serving" } else { "draining" };
            text += &format!(
                "[[cache]]\nid = {}\naddr = {}\nzone = {}\nkind = {}\ncell = {}\n\
                 state = \"{state}\"\nstarted_ms = {}\n",
                fields["id"],
                fields["addr"],
                fields["zone"],
                fields["kind"],
                fields["cell"],
                fields["started_ms"]
            );
        }
        text + "[end]\n"
    }

    /// Writes the current list.
    pub async fn write(&self, services: &SimulatedServices, mode: WriteMode) {
        // One writer at a time. Otherwise the second half of an old list could overwrite a new one.
        let _guard = self.write_lock.lock().await;
        let text = self.text(services);
        let written = match mode {
            WriteMode::AtomicReplace => self.replace(&text),
            WriteMode::MalformedInPlace => {
                _ = std::fs::write(&self.path, text.replace("addr = \"", "addr = \"x"));
                return;
            }
            WriteMode::InPlaceInHalves => {
                _ = std::fs::write(&self.path, &text.as_bytes()[..text.len() / 2]);
                smol::Timer::after(SPLIT_WRITE_DELAY).await;
                std::fs::write(&self.path, &text)
            }
        };
        if written.is_ok() {
            self.record_notified(services);
        }
    }

    fn replace(&self, text: &str) -> io::Result<()> {
        let new_file = self.path.with_extension("new");
        std::fs::write(&new_file, text)?;
        std::fs::rename(&new_file, &self.path)
    }

    /// Records that the proxy is notified from now on, because the file can be read.
    fn record_notified(&self, services: &SimulatedServices) {
        let now = services.clock.now();
        let entries = entries_at(services, now);
        let is_ready = |server: usize| {
            entries.iter().any(|entry| entry.server == server && entry.status == EndpointStatus::Ready)
        };
        let mut notified_off = lock(&self.notified_off);
        for server in 0..services.origin_index() {
            let is_off = !is_ready(server);
            if notified_off.insert(server, is_off).unwrap_or(false) != is_off {
                let kind = EventKind::Notified { server: server as u16, is_off };
                services.recorder.record_at(now, 0, self.proxy, kind);
            }
        }
    }
}

fn entries_at(services: &SimulatedServices, now: Micros) -> Vec<ListedServer> {
    services.server_list.snapshot(services.server_list.version(now))
}
