//! The number of entry VMs that share the load.

use std::time::Duration;

use chicory_types::MonoTime;

/// Number that is assumed until a leader reports one. A number that is too large is safe: it only
/// gives this entry VM a smaller share of the retry budget.
const DEFAULT_COUNT: u32 = 8;
/// Number that is assumed until a leader reports one where too small a number is not safe: the
/// largest fleet that the design aims at.
const GREATEST_COUNT: u32 = 450;
/// Time for which smaller numbers must be reported before the number decreases. After a
/// change of leader, entry VMs connect to the new leader one by one, and retry budgets cover
/// the last ten seconds.
const DECREASE_DELAY: Duration = Duration::from_secs(12);

/// The number of entry VMs that share the load.
///
/// An increase applies at once and a decrease only after a delay, so that the number is never too
/// small for long.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EntryCount {
    count: u32,
    is_reported: bool,
    /// Start of a series of reports below `count`, and the greatest number in the series.
    pending_decrease: Option<(MonoTime, u32)>,
}

impl Default for EntryCount {
    fn default() -> Self {
        Self {
            count: DEFAULT_COUNT,
            is_reported: false,
            pending_decrease: None,
        }
    }
}

impl EntryCount {
    pub(crate) fn get(self) -> u32 {
        self.count
    }

    /// Returns a number that is not too small, also if no leader has reported one.
    pub(crate) fn greatest_assumed(self) -> u32 {
        if self.is_reported {
            self.count
        } else {
            GREATEST_COUNT
        }
    }

    /// Records the number that a leader reports; 0 means that it reports none.
    pub(crate) fn record(&mut self, now: MonoTime, count: u32) {
        if count == 0 {
            return;
        }
        self.is_reported = true;
        if count >= self.count {
            self.count = count;
            self.pending_decrease = None;
            return;
        }
        let (since, greatest) = self.pending_decrease.unwrap_or((now, count));
        let greatest = greatest.max(count);
        self.pending_decrease = Some((since, greatest));
        if now >= since + DECREASE_DELAY {
            self.count = greatest;
            self.pending_decrease = None;
        }
    }
}
