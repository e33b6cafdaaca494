//! One proxy's process and its files.

use super::{StartSettings, config};
use crate::stand_ins::Site;
use std::fs::{File, OpenOptions};
use std::io;
use std::path::PathBuf;
use std::process::Child;

/// What is known of a proxy's process.
pub(super) struct ProxyProcess {
    pub child: Option<Child>,
    /// CPU time of earlier processes.
    pub cpu_us_before: u64,
    pub config: PathBuf,
    pub operator: PathBuf,
    pub list: PathBuf,
    pub log: File,
    /// Whether its configuration has the list's second address.
    pub list_moved: bool,
}

/// A proxy's name: of its files, and for the platform.
pub(super) fn name(proxy: usize) -> String {
    format!("proxy-{proxy:02}")
}

impl ProxyProcess {
    /// Prepares a proxy's files; nothing is started.
    pub fn new(site: &Site, start: &StartSettings, proxy: usize) -> io::Result<ProxyProcess> {
        let name = name(proxy);
        let file = |ending: &str| start.folder.join(format!("{name}.{ending}"));
        let log = OpenOptions::new().create(true).append(true).open(file("log"))?;
        let operator = file("operator.toml");
        let list = file("list.toml");
        let own = start.operator.first().map_or("", String::as_str);
        let text = config::operator_text(site, own, proxy, &list);
        if !text.is_empty() {
            std::fs::write(&operator, text)?;
        }
        Ok(ProxyProcess {
            child: None,
            cpu_us_before: 0,
            config: file("json"),
            operator,
            list,
            log,
            list_moved: false,
        })
    }
}
