//! Tracks whether a route table is in force that is newer than the one of this entry VM.

use std::time::Duration;

use chicory_routes::RouteTableVersion;
use chicory_types::MonoTime;

/// Time for which requests are served by a route table that is known to be outdated. Operators are
/// guaranteed that a table is in force everywhere within two seconds. The half second that remains
/// is for requests that were routed just before.
const MAX_TABLE_LAG: Duration = Duration::from_millis(1500);

/// Tracks whether a route table is in force that is newer than the one of this entry VM. Control
/// VMs report the version of a table before the table itself arrives.
#[derive(Debug, Default)]
pub(super) struct TableLag {
    newest_version: RouteTableVersion,
    behind_since: Option<MonoTime>,
    last_lag: Option<Duration>,
}

impl TableLag {
    /// Records the version that a control VM reports. A version from a control VM in contact with a
    /// majority is accepted even if it is lower than an earlier one, as the group may have been
    /// formed anew.
    pub(super) fn record_reported(
        &mut self,
        now: MonoTime,
        reported_version: RouteTableVersion,
        is_in_contact: bool,
        own_version: RouteTableVersion,
    ) {
        if is_in_contact || reported_version > self.newest_version {
            self.newest_version = reported_version;
        }
        self.record_own(now, own_version);
    }

    /// Records the version of this entry VM's table.
    pub(super) fn record_own(&mut self, now: MonoTime, own_version: RouteTableVersion) {
        self.newest_version = self.newest_version.max(own_version);
        if own_version < self.newest_version {
            self.behind_since.get_or_insert(now);
        } else if let Some(since) = self.behind_since.take() {
            self.last_lag = Some(now.saturating_sub(since));
        }
    }

    /// Returns the time from the first report of a newer table until the newest one was applied, if
    /// that lag ended since the last call.
    pub(super) fn take_last_lag(&mut self) -> Option<Duration> {
        self.last_lag.take()
    }

    /// Returns the newest version that is known.
    pub(super) fn newest_version(&self) -> RouteTableVersion {
        self.newest_version
    }

    /// Whether a newer table is in force.
    pub(super) fn is_behind(&self) -> bool {
        self.behind_since.is_some()
    }

    /// Whether a newer table has been in force for so long that this entry VM's table must not be
    /// used any more.
    pub(super) fn is_overdue(&self, now: MonoTime) -> bool {
        self.behind_since
            .is_some_and(|since| now >= since + MAX_TABLE_LAG)
    }
}
