//! The schedule of the reports on a server.

use std::time::Duration;

use chicory_types::MonoTime;

/// How long a server that has recovered is reported on with every renewal. Several renewals carry
/// the report because some of them may be lost.
const RECOVERY_SPAN: Duration = Duration::from_secs(2);

/// The schedule of the reports on a server to the zone group.
///
/// The request counts per slot change slowly and their reports are long, so a server that is up is
/// reported on only at intervals. A server that is down or has just recovered is reported on with
/// every renewal, because the leader of the zone group must know that at once.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReportSchedule {
    due_at: MonoTime,
    was_down: bool,
    recovery_until: MonoTime,
}

impl ReportSchedule {
    /// Returns whether the renewal sent now carries a report, and schedules the next one.
    pub(crate) fn take_due(&mut self, now: MonoTime, is_down: bool, interval: Duration) -> bool {
        if self.was_down && !is_down {
            self.recovery_until = now + RECOVERY_SPAN;
        }
        self.was_down = is_down;
        let is_urgent = is_down || now < self.recovery_until;
        let is_due = now >= self.due_at;
        if is_due {
            self.due_at = now + interval;
        }
        is_urgent || is_due
    }
}
