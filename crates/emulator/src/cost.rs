//! CPU time and peak memory of processes as the kernel reports them; zero where they are not available.

use serde::Serialize;

/// The resources that a process has used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Cost {
    /// CPU time, in seconds.
    pub cpu_s: f64,
    /// Peak resident memory, in MB.
    pub peak_mb: f64,
}

impl Cost {
    /// Combines the costs of processes that run one after the other: the sum of the CPU times and the higher peak.
    pub(crate) fn combine(self, other: Cost) -> Cost {
        Cost { cpu_s: self.cpu_s + other.cpu_s, peak_mb: self.peak_mb.max(other.peak_mb) }
    }
}

/// Reads the cost of the process with this id; `self` is the current process.
pub(crate) fn read_cost(process: &str) -> Cost {
    let read = |name: &str| std::fs::read_to_string(format!("/proc/{process}/{name}")).unwrap_or_default();
    let (stat, status) = (read("stat"), read("status"));
    // The process name may contain spaces, so fields are counted after it: user and system time are the 12th and 13th.
    let fields = stat.rsplit_once(')').map_or("", |s| s.1);
    let cpu_ticks: u64 =
        fields.split_whitespace().skip(11).take(2).filter_map(|f| f.parse::<u64>().ok()).sum();
    let peak_line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    let peak_kb: f64 = peak_line.and_then(|p| p.split_whitespace().next()?.parse().ok()).unwrap_or(0.0);
    Cost {
        cpu_s: cpu_ticks as f64 / rustix::param::clock_ticks_per_second().max(1) as f64,
        peak_mb: peak_kb / 1024.0,
    }
}
