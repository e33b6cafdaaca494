//! One proxy's process and its files.

use super::{StartSettings, config};
use crate::simulated_services::SimulatedServices;
use std::fs::{File, OpenOptions};
use std::io;
use std::path::PathBuf;
use std::process::Child;

/// State of a proxy's process, and the paths of its files.
pub(super) struct ProxyProcess {
    pub child: Option<Child>,
    /// CPU time of the proxy's earlier processes, in microseconds.
    pub earlier_cpu_us: u64,
    pub config_path: PathBuf,
    pub operator_path: PathBuf,
    pub list_path: PathBuf,
    pub log: File,
    /// Whether the configuration has the second address of the discovery service.
    pub list_moved: bool,
}

/// A proxy's name, for its files and for the platform.
pub(super) fn proxy_name(proxy: usize) -> String {
    format!("proxy-{proxy:02}")
}

impl ProxyProcess {
    /// Prepares a proxy's files; nothing is started.
    pub fn new(
        services: &SimulatedServices,
        start: &StartSettings,
        proxy: usize,
    ) -> io::Result<ProxyProcess> {
        let name = proxy_name(proxy);
        let file = |extension: &str| start.directory.join(format!("{name}.{extension}"));
        let log = OpenOptions::new().create(true).append(true).open(file("log"))?;
        let operator_path = file("operator.toml");
        let list_path = file("list.toml");
        let operator_text = start.operator_texts.first().map_or("", String::as_str);
        let text = config::operator_text(services, operator_text, proxy, &list_path);
        if !text.is_empty() {
            std::fs::write(&operator_path, text)?;
        }
        Ok(ProxyProcess {
            child: None,
            earlier_cpu_us: 0,
            config_path: file("json"),
            operator_path,
            list_path,
            log,
            list_moved: false,
        })
    }
}
