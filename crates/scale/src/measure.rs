//! Resource usage of a process, from `/proc`.

use serde::{Deserialize, Serialize};
use std::io;

/// Clock ticks per second in `/proc/PID/stat`: Linux always reports 100 to user space.
const TICKS_PER_SECOND: f64 = 100.0;

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// CPU time since its start, seconds.
    pub cpu_seconds: f64,
    /// Resident memory, bytes.
    pub resident_bytes: u64,
    /// Number of threads.
    pub threads: u64,
    /// Number of open file descriptors.
    pub descriptors: u64,
}

impl Usage {
    /// Reads the usage of a process.
    ///
    /// # Errors
    /// Returns an error if there is no such process, or `/proc` cannot be read.
    pub fn of_process(pid: u32) -> io::Result<Usage> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd"))?.count() as u64;
        Ok(Usage {
            cpu_seconds: cpu_ticks(&stat) as f64 / TICKS_PER_SECOND,
            resident_bytes: field(&status, "VmRSS:") * 1_024,
            threads: field(&status, "Threads:"),
            descriptors,
        })
    }
}

/// Returns the sum of user and system time from `/proc/PID/stat`, in ticks. The process name in it may
/// contain spaces and parentheses, so fields are counted from its closing parenthesis, the last one of the
/// line.
fn cpu_ticks(stat: &str) -> u64 {
    const USER: usize = 11;
    let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields = after_name.split_whitespace().skip(USER).take(2);
    fields.filter_map(|field| field.parse::<u64>().ok()).sum()
}

/// Returns the number after a field name of `/proc/PID/status`; 0 if there is none.
fn field(status: &str, name: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|rest| rest.split_whitespace().next()).and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Returns the quantile of the values at this fraction, 0 if there are none. Sorts the values.
pub fn quantile(values: &mut [f64], fraction: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = ((values.len() as f64 * fraction).ceil() as usize).clamp(1, values.len().max(1)) - 1;
    values.get(index).copied().unwrap_or(0.0)
}
