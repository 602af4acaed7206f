//! How many entry VMs share the load.

use std::time::Duration;

use chicory_types::MonoTime;

/// Assumed number before a leader has told: some VMs too many only make this one more careful.
const DEFAULT_COUNT: u32 = 8;
/// Time for which a smaller number has to last: after a change of leader entry VMs come to the new
/// one little by little, and budgets look back ten seconds.
const SHRINK_TIME: Duration = Duration::from_secs(12);

/// The number of entry VMs that share the load, never too small for long.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EntryCount {
    count: u32,
    /// The greatest number since then, if it is smaller than `count`.
    smaller: Option<(MonoTime, u32)>,
}

impl Default for EntryCount {
    fn default() -> Self {
        Self {
            count: DEFAULT_COUNT,
            smaller: None,
        }
    }
}

impl EntryCount {
    pub(crate) fn get(self) -> u32 {
        self.count
    }

    /// Takes in a leader's number; 0 is none.
    pub(crate) fn note(&mut self, now: MonoTime, count: u32) {
        if count == 0 {
            return;
        }
        if count >= self.count {
            self.count = count;
            self.smaller = None;
            return;
        }
        let (since, greatest) = self.smaller.unwrap_or((now, count));
        let greatest = greatest.max(count);
        self.smaller = Some((since, greatest));
        if now >= since + SHRINK_TIME {
            self.count = greatest;
            self.smaller = None;
        }
    }
}
