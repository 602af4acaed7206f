//! How much the machine had to make its processes wait.

use std::fmt;
use std::time::Duration;

use crate::clock_ticks::duration_of_ticks;

/// Times since the start of the machine in which processes had to wait.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MachineUsage {
    /// Processor time that the host of a virtual machine gave to others, summed over processors.
    pub stolen: Duration,
    /// Time in which some process waited for a processor.
    pub waited_for_cpu: Duration,
    /// Time in which some process waited for a disk.
    pub waited_for_disk: Duration,
    /// Time in which some process waited for memory.
    pub waited_for_memory: Duration,
}

impl MachineUsage {
    /// Reads the present times. Those that the kernel doesn't offer are zero.
    pub(crate) fn read() -> Self {
        let content = |path: &str| std::fs::read_to_string(path).unwrap_or_default();
        let waited = |resource: &str| {
            let pressure = content(&format!("/proc/pressure/{resource}"));
            Self::waited_from_pressure(&pressure).unwrap_or_default()
        };
        let ticks_per_s = rustix::param::clock_ticks_per_second();
        Self {
            stolen: Self::stolen_from_stat(&content("/proc/stat"), ticks_per_s).unwrap_or_default(),
            waited_for_cpu: waited("cpu"),
            waited_for_disk: waited("io"),
            waited_for_memory: waited("memory"),
        }
    }

    /// Parses the stolen time in the content of `/proc/stat`. Returns `None` if it is malformed.
    #[must_use]
    pub fn stolen_from_stat(stat: &str, ticks_per_s: u64) -> Option<Duration> {
        let all_processors = stat.lines().next()?.strip_prefix("cpu ")?;
        let ticks: u64 = all_processors
            .split_ascii_whitespace()
            .nth(7)?
            .parse()
            .ok()?;
        Some(duration_of_ticks(ticks, ticks_per_s))
    }

    /// Parses the time in which some process waited in the content of a file of `/proc/pressure`.
    /// Returns `None` if it is malformed.
    #[must_use]
    pub fn waited_from_pressure(pressure: &str) -> Option<Duration> {
        let some = pressure
            .lines()
            .find_map(|line| line.strip_prefix("some "))?;
        let (_, total_us) = some.split_once("total=")?;
        Some(Duration::from_micros(total_us.trim().parse().ok()?))
    }

    /// Returns the times since an earlier reading.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self {
            stolen: self.stolen.saturating_sub(earlier.stolen),
            waited_for_cpu: self.waited_for_cpu.saturating_sub(earlier.waited_for_cpu),
            waited_for_disk: self.waited_for_disk.saturating_sub(earlier.waited_for_disk),
            waited_for_memory: self
                .waited_for_memory
                .saturating_sub(earlier.waited_for_memory),
        }
    }
}

impl fmt::Display for MachineUsage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} ms stolen by the host; some process waited for a processor {} ms, for a disk {} ms, \
             for memory {} ms",
            self.stolen.as_millis(),
            self.waited_for_cpu.as_millis(),
            self.waited_for_disk.as_millis(),
            self.waited_for_memory.as_millis()
        )
    }
}
