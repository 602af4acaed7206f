//! Tracks whether the servers of an availability zone can be reached.

use std::time::Duration;

use chicory_types::MonoTime;

/// Consecutive failed connections, to any servers of a zone, after which the zone is treated as cut
/// off. Several are required because single servers are unreachable more often than whole zones.
const CUT_OFF_THRESHOLD: u32 = 3;
/// Time between two requests that probe whether the zone can be reached again. It is as long as
/// opening a connection may take.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Tracks whether the servers of an availability zone can be reached from this entry VM.
///
/// In a large site each entry VM rarely sends a request to any one server. Failures over all
/// servers of a zone therefore show that the zone is cut off long before the failures of each
/// server do.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ZoneReachability {
    failed_connections: u32,
    probe_at: MonoTime,
}

impl ZoneReachability {
    /// Records that a server of the zone responded in any way.
    pub(crate) fn record_contact(&mut self) {
        self.failed_connections = 0;
    }

    /// Records that no connection to a server of the zone could be opened.
    pub(crate) fn record_failed_connection(&mut self, now: MonoTime) {
        self.failed_connections = self.failed_connections.saturating_add(1);
        self.probe_at = now + PROBE_INTERVAL;
    }

    /// Whether requests to the zone are held back. One request per [`PROBE_INTERVAL`] is still sent
    /// to probe whether the zone can be reached again.
    pub(crate) fn is_cut_off(&self, now: MonoTime) -> bool {
        self.failed_connections >= CUT_OFF_THRESHOLD && now < self.probe_at
    }

    /// Records that a request is sent to the zone.
    pub(crate) fn record_sent(&mut self, now: MonoTime) {
        if self.failed_connections >= CUT_OFF_THRESHOLD {
            self.probe_at = now + PROBE_INTERVAL;
        }
    }
}
