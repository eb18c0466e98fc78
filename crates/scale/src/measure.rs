//! What a process costs, from `/proc`.

use serde::{Deserialize, Serialize};
use std::io;

/// Clock ticks of `/proc/PID/stat` a second: fixed at 100 for user space on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// What a process has used and holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Processor time since its start, seconds.
    pub cpu_seconds: f64,
    /// Resident memory, bytes.
    pub resident_bytes: u64,
    /// Threads.
    pub threads: u64,
    /// Open descriptors.
    pub descriptors: u64,
}

impl Usage {
    /// Reads the usage of a process.
    ///
    /// # Errors
    /// There is no such process, or `/proc` can't be read.
    pub fn of(process: u32) -> io::Result<Usage> {
        let stat = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
        let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
        let descriptors = std::fs::read_dir(format!("/proc/{process}/fd"))?.count() as u64;
        Ok(Usage {
            cpu_seconds: cpu_ticks(&stat) as f64 / TICKS_PER_SECOND,
            resident_bytes: field(&status, "VmRSS:") * 1_024,
            threads: field(&status, "Threads:"),
            descriptors,
        })
    }
}

/// User and system time out of a line of `/proc/PID/stat`. The name in it may hold spaces, and ends with a bracket.
fn cpu_ticks(stat: &str) -> u64 {
    const USER: usize = 11;
    let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields = after_name.split_whitespace().skip(USER).take(2);
    fields.filter_map(|field| field.parse::<u64>().ok()).sum()
}

fn field(status: &str, name: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|rest| rest.split_whitespace().next()).and_then(|word| word.parse().ok()).unwrap_or(0)
}

/// The value below which this part of all lies; 0 where there is none.
pub fn quantile(values: &mut [f64], part: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let at = ((values.len() as f64 * part).ceil() as usize).clamp(1, values.len().max(1)) - 1;
    values.get(at).copied().unwrap_or(0.0)
}
