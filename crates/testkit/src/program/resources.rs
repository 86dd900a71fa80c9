//! Processor time and memory of a sender's process, read from `/proc`.

use super::Program;

impl Program {
    /// Processor time that the running process has used so far, in microseconds; `None` without a process.
    pub fn cpu_us(&self) -> Option<u64> {
        // The first field of schedstat is the time on the processor in nanoseconds.
        let stat = std::fs::read_to_string(format!("/proc/{}/schedstat", self.pid()?)).ok()?;
        let ns: u64 = stat.split_whitespace().next()?.parse().ok()?;
        Some(ns / 1_000)
    }

    /// Peak resident memory of the running process, in KiB; `None` without a process.
    pub fn peak_kib(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid()?)).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        line.split_whitespace().next()?.parse().ok()
    }
}
