//! Whether a newer route table is in force than the one here.

use std::time::Duration;

use chicory_routes::RouteTableVersion;
use chicory_types::MonoTime;

/// Time for which requests are served by a route table though a newer one is known of. Operators are
/// promised a table in force within two seconds; half a second is left for what was decided before.
const MAX_TABLE_LAG: Duration = Duration::from_millis(1500);

/// Whether a newer route table is in force than the one here: its version is told before it comes.
#[derive(Debug, Default)]
pub(super) struct TableLag {
    newest_version: RouteTableVersion,
    behind_since: Option<MonoTime>,
    last_lag: Option<Duration>,
}

impl TableLag {
    /// Takes in the version that a control VM tells. One in contact with a majority is believed also
    /// if the version is lower than one told before: the group may have been set up anew.
    pub(super) fn note_told(
        &mut self,
        now: MonoTime,
        told_version: RouteTableVersion,
        is_in_contact: bool,
        own_version: RouteTableVersion,
    ) {
        if is_in_contact || told_version > self.newest_version {
            self.newest_version = told_version;
        }
        self.note_own(now, own_version);
    }

    /// Takes in the version of the table here.
    pub(super) fn note_own(&mut self, now: MonoTime, own_version: RouteTableVersion) {
        self.newest_version = self.newest_version.max(own_version);
        if own_version < self.newest_version {
            self.behind_since.get_or_insert(now);
        } else if let Some(since) = self.behind_since.take() {
            self.last_lag = Some(now.saturating_sub(since));
        }
    }

    /// Time from the first word of a newer table until there was none, if that ended since the last
    /// call.
    pub(super) fn take_last_lag(&mut self) -> Option<Duration> {
        self.last_lag.take()
    }

    /// The newest version that is known of.
    pub(super) fn newest_version(&self) -> RouteTableVersion {
        self.newest_version
    }

    /// Whether a newer table is in force.
    pub(super) fn is_behind(&self) -> bool {
        self.behind_since.is_some()
    }

    /// Whether it has been for so long that the table here should not be gone by any more.
    pub(super) fn is_overdue(&self, now: MonoTime) -> bool {
        self.behind_since
            .is_some_and(|since| now >= since + MAX_TABLE_LAG)
    }
}
