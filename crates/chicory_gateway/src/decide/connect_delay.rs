//! How long new connections to backend servers take to open.

use std::time::Duration;

use chicory_types::MonoTime;

/// Time for which a connection counts, at least.
const RETENTION: Duration = Duration::from_secs(3);
/// Time limit of a probe where connections open without delay.
const MIN_PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest time limit of a probe: a cut has to be found within a second and a half.
const MAX_PROBE_TIMEOUT: Duration = Duration::from_millis(900);
/// Ratio of the time limit of a probe to the longest time that a connection took to open.
const PROBE_TIMEOUT_FACTOR: u32 = 2;

/// The longest time that a new connection to a backend server took to open lately.
///
/// A link that is full delays all that opens on it, so that a time limit which shows a cut on an idle
/// link shows nothing there.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ConnectDelay {
    /// Longest time since `since`.
    current: Duration,
    /// Longest time in the span before.
    former: Duration,
    since: MonoTime,
}

impl ConnectDelay {
    pub(super) fn record(&mut self, now: MonoTime, took: Duration) {
        self.advance(now);
        self.current = self.current.max(took);
    }

    /// Returns the time limit for opening a connection, and for the answer, of a probe that begins
    /// now.
    pub(super) fn probe_timeout(&mut self, now: MonoTime) -> Duration {
        self.advance(now);
        let longest = self.current.max(self.former);
        (longest * PROBE_TIMEOUT_FACTOR).clamp(MIN_PROBE_TIMEOUT, MAX_PROBE_TIMEOUT)
    }

    fn advance(&mut self, now: MonoTime) {
        if now < self.since + RETENTION {
            return;
        }
        let is_former_recent = now < self.since + RETENTION * 2;
        self.former = if is_former_recent {
            self.current
        } else {
            Duration::ZERO
        };
        self.current = Duration::ZERO;
        self.since = now;
    }
}
