//! CPU time and memory of a process, read from Linux's `/proc`.

use crate::clock::{Micros, SECOND};

/// Clock ticks per second: the unit in which Linux shows CPU time in `/proc` files.
const TICKS_PER_SECOND: u64 = 100;
/// Indexes of fields in `/proc/PID/stat`, counted from 0 after the process's name: ticks in user
/// mode and in the kernel.
const USER_TICKS_FIELD: usize = 11;
const SYSTEM_TICKS_FIELD: usize = 12;

/// CPU time and memory of a process.
pub(super) struct ProcessUsage {
    pub cpu_us: Micros,
    pub memory_kb: u64,
}

impl ProcessUsage {
    /// Reads the usage of a running process; `None` if it cannot be read.
    pub fn read(pid: u32) -> Option<ProcessUsage> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The second field is the process's name in parentheses; the name itself may contain spaces
        // and parentheses.
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let field = |i: usize| fields.get(i)?.parse::<u64>().ok();
        let ticks = field(USER_TICKS_FIELD)? + field(SYSTEM_TICKS_FIELD)?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let memory_kb = memory.split_whitespace().next()?.parse().ok()?;
        Some(ProcessUsage { cpu_us: ticks * SECOND / TICKS_PER_SECOND, memory_kb })
    }
}
