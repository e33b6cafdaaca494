//! What a process uses, as Linux shows it.

use crate::clock::{Micros, SECOND};

/// Clock ticks a second, in which Linux counts CPU time for all that read it from files.
const TICKS_PER_SECOND: u64 = 100;
/// Fields of `/proc/PID/stat` after the process's name: ticks in user mode and in the kernel.
const USER_TICKS: usize = 11;
const SYSTEM_TICKS: usize = 12;

/// CPU time and memory of a process.
pub(super) struct ProcessUsage {
    pub cpu_us: Micros,
    pub memory_kb: u64,
}

impl ProcessUsage {
    /// Of a process that runs.
    pub fn read(pid: u32) -> Option<ProcessUsage> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The second field is a name in brackets that may hold anything.
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let field = |i: usize| fields.get(i)?.parse::<u64>().ok();
        let ticks = field(USER_TICKS)? + field(SYSTEM_TICKS)?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let memory_kb = memory.split_whitespace().next()?.parse().ok()?;
        Some(ProcessUsage { cpu_us: ticks * SECOND / TICKS_PER_SECOND, memory_kb })
    }
}
