//! A limit of the rate of log lines.

use std::time::Duration;

use chicory_types::MonoTime;

/// Lines per second. Under overload most of them have the same content.
const LINES_PER_S: f64 = 40.0;
/// Lines that may be written at once.
const LINES_BURST: f64 = 80.0;

/// Log lines that may still be written.
#[derive(Clone, Copy, Debug)]
pub(super) struct LineBudget {
    lines: f64,
    refilled_at: MonoTime,
    suppressed: u64,
}

impl Default for LineBudget {
    fn default() -> Self {
        Self {
            lines: LINES_BURST,
            refilled_at: Duration::ZERO,
            suppressed: 0,
        }
    }
}

impl LineBudget {
    /// Returns the number of lines suppressed before this one, or `None` if this one is suppressed
    /// too.
    pub(super) fn take(&mut self, now: MonoTime) -> Option<u64> {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.lines = (self.lines + elapsed * LINES_PER_S).min(LINES_BURST);
        if self.lines < 1.0 {
            self.suppressed += 1;
            return None;
        }
        self.lines -= 1.0;
        Some(std::mem::take(&mut self.suppressed))
    }
}
