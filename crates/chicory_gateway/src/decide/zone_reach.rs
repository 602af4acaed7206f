//! Whether the servers of an availability zone can be reached.

use std::time::Duration;

use chicory_types::MonoTime;

/// Connections in a row, to any servers of a zone, that have to fail for the zone to count as cut
/// off: single servers are away more often than zones.
const MISSES: u32 = 3;
/// Time between two requests that find out whether the zone can be reached again; as long as a
/// connection may take to come about.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Whether the servers of an availability zone can be reached from here.
///
/// Each entry VM asks each server of a large site but rarely: that a zone is cut off shows over all
/// of its servers long before it shows at each of them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ZoneReach {
    misses: u32,
    probe_at: MonoTime,
}

impl ZoneReach {
    /// A server of the zone gave any sign of life.
    pub(crate) fn note_contact(&mut self) {
        self.misses = 0;
    }

    /// No connection to a server of the zone came about.
    pub(crate) fn note_miss(&mut self, now: MonoTime) {
        self.misses = self.misses.saturating_add(1);
        self.probe_at = now + PROBE_INTERVAL;
    }

    /// Whether requests for the zone are kept back: all but one now and then, which finds out
    /// whether it can be reached again.
    pub(crate) fn is_closed(&self, now: MonoTime) -> bool {
        self.misses >= MISSES && now < self.probe_at
    }

    /// A request goes to the zone.
    pub(crate) fn note_sent(&mut self, now: MonoTime) {
        if self.misses >= MISSES {
            self.probe_at = now + PROBE_INTERVAL;
        }
    }
}
