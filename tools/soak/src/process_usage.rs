//! What a process has used of the machine.

use std::time::Duration;

/// The state of a process and the processor time that it has used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessUsage {
    /// State as the kernel names it: `R` runs, `S` sleeps, `D` waits for a disk, `T` is paused.
    pub state: char,
    /// Processor time of all its threads since its start.
    pub cpu_time: Duration,
}

impl ProcessUsage {
    /// Reads what a process has used. Returns `None` if there is no such process.
    pub(crate) fn of_process(id: u32) -> Option<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        Self::from_stat(&stat, rustix::param::clock_ticks_per_second())
    }

    /// Parses the content of `/proc/PID/stat`. Returns `None` if it is malformed.
    #[must_use]
    pub fn from_stat(stat: &str, ticks_per_s: u64) -> Option<Self> {
        // The name of the program is in parentheses and may contain spaces.
        let (_, fields) = stat.rsplit_once(") ")?;
        let fields: Vec<&str> = fields.split_ascii_whitespace().collect();
        let ticks = |index: usize| fields.get(index)?.parse::<u64>().ok();
        let cpu_ticks = ticks(11)? + ticks(12)?;
        Some(Self {
            state: fields.first()?.chars().next()?,
            cpu_time: Duration::from_millis(cpu_ticks * 1000 / ticks_per_s.max(1)),
        })
    }
}
