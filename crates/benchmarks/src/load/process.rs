//! CPU time and memory of processes, from /proc. A statistic that cannot be read is 0.

use std::path::Path;

/// CPU time of a process's main thread since its start, us.
pub(super) fn cpu_us(pid: u32) -> u64 {
    run_time_ns(Path::new(&format!("/proc/{pid}/schedstat"))).unwrap_or(0) / 1_000
}

/// Peak resident memory of a process, KiB.
pub(super) fn peak_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    peak.and_then(|peak| peak.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// CPU time of all threads of this process since its start, us.
pub(super) fn own_cpu_us() -> u64 {
    let threads = std::fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
    let run_times = threads.filter_map(|thread| run_time_ns(&thread.path().join("schedstat")));
    run_times.sum::<u64>() / 1_000
}

/// The first field of a `schedstat` file, ns.
fn run_time_ns(schedstat: &Path) -> Option<u64> {
    std::fs::read_to_string(schedstat).ok()?.split_whitespace().next()?.parse().ok()
}
