//! Notices that no attempt at any backend server is answered any more.

use std::time::Duration;

use chicory_types::MonoTime;

/// Time without an answer, while attempts run, after which the path to the servers is checked.
const LONG_SILENCE: Duration = Duration::from_millis(400);
/// Time after a connection was opened for which attempts give no reason to check the path.
const QUIET_TIME: Duration = Duration::from_secs(1);

/// Notices that no attempt is answered any more, or that one ended without an answer. Attempts on
/// connections that are open wait for an answer for long when the path to the servers is cut.
///
/// That does not show that the path is cut: servers are slow, and break connections. It is a reason
/// to check it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AnswerSilence {
    in_flight: u32,
    /// When the last answer was received, or the first attempt since was sent.
    since: MonoTime,
    has_unanswered: bool,
    quiet_until: MonoTime,
}

impl AnswerSilence {
    pub(super) fn record_sent(&mut self, now: MonoTime) {
        if self.in_flight == 0 {
            self.since = now;
        }
        self.in_flight += 1;
    }

    pub(super) fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    pub(super) fn record_answer(&mut self, now: MonoTime) {
        self.since = now;
        self.has_unanswered = false;
    }

    pub(super) fn record_unanswered(&mut self) {
        self.has_unanswered = true;
    }

    /// Records that a connection to a server was opened.
    pub(super) fn record_open(&mut self, now: MonoTime) {
        self.has_unanswered = false;
        self.quiet_until = now + QUIET_TIME;
    }

    /// Whether the path to the servers has to be checked.
    pub(super) fn needs_probe(&self, now: MonoTime) -> bool {
        self.probe_at().is_some_and(|at| now >= at)
    }

    /// Returns from when on the path to the servers has to be checked if no answer arrives until
    /// then; `None` if no attempt runs and all were answered.
    pub(super) fn probe_at(&self) -> Option<MonoTime> {
        if self.has_unanswered {
            return Some(self.quiet_until);
        }
        let silent_at = (self.in_flight > 0).then(|| self.since + LONG_SILENCE);
        silent_at.map(|at| at.max(self.quiet_until))
    }
}
