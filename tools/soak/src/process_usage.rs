//! What a process has used of the machine.

use std::time::Duration;

use crate::clock_ticks::duration_of_ticks;

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
            cpu_time: duration_of_ticks(cpu_ticks, ticks_per_s),
        })
    }

    /// Returns the present state, and the processor time since an earlier reading. An earlier
    /// reading of another process with the same name counts as none.
    #[must_use]
    pub fn since(self, earlier: Option<Self>) -> Self {
        let cpu_time_before = earlier.map_or(Duration::ZERO, |usage| usage.cpu_time);
        let cpu_time = self.cpu_time.checked_sub(cpu_time_before);
        Self {
            cpu_time: cpu_time.unwrap_or(self.cpu_time),
            ..self
        }
    }
}
