//! When a server is reported on.

use std::time::Duration;

use chicory_types::MonoTime;

/// How long a server that came back is reported on with every renewal, some of which may be lost.
const RECOVERY_SPAN: Duration = Duration::from_secs(2);

/// When a server is reported on.
///
/// Heat changes slowly and its reports are long, so that a server that is up is reported on only
/// now and then. What the zone's leader must know at once, it is told with every renewal.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReportSchedule {
    due_at: MonoTime,
    was_down: bool,
    recovery_until: MonoTime,
}

impl ReportSchedule {
    /// Whether the renewal of this moment carries a report.
    pub(crate) fn take(&mut self, now: MonoTime, is_down: bool, interval: Duration) -> bool {
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
