//! A limit on the rate of notes.

use std::time::Duration;

use chicory_types::MonoTime;

/// Span within which notes are counted.
const SPAN: Duration = Duration::from_secs(1);
/// Greatest number of notes in one span.
const MAX_NOTES: usize = 40;

/// A limit on the rate of notes about something that may change many times a second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct NoteBudget {
    span_started_at: MonoTime,
    /// Number of notes since then.
    note_count: usize,
    /// Number of notes that were left out since the last one.
    suppressed: u64,
}

impl NoteBudget {
    /// Uses one note. Returns how many were left out before it; `None` if it is left out as well.
    pub(super) fn take(&mut self, now: MonoTime) -> Option<u64> {
        if now >= self.span_started_at + SPAN {
            self.span_started_at = now;
            self.note_count = 0;
        }
        if self.note_count >= MAX_NOTES {
            self.suppressed += 1;
            return None;
        }
        self.note_count += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}
