//! When an entry process ceases to take requests in a planned stop.

use std::time::Duration;

/// Longest time from switching readiness off until new connections are no longer accepted. The
/// balancer checks once a second and removes a VM after two failed checks.
const BALANCER_REACTION_TIME: Duration = Duration::from_millis(2600);
/// Time before a planned stop ends in which requests that still wait are answered by this entry VM, so
/// that no connection closes without an answer.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(200);
/// Part of the grace period that is reserved for the end of the process itself.
const STOP_MARGIN: Duration = Duration::from_millis(300);

/// When an entry process ceases to take requests in a planned stop. Times count from its begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StopSchedule {
    /// Time at which new connections are no longer accepted.
    pub(super) closing: Duration,
    /// Time at which requests that still wait are answered by this entry VM.
    pub(super) last_answers: Duration,
    /// Time at which the process ends.
    pub(super) end: Duration,
}

impl StopSchedule {
    /// Divides a grace period. In a short one, at most half of it passes before new connections are
    /// no longer accepted, so that requests that were taken can end.
    pub(super) fn new(grace: Duration) -> Self {
        let end = grace.saturating_sub(STOP_MARGIN);
        Self {
            closing: BALANCER_REACTION_TIME.min(end / 2),
            last_answers: end.saturating_sub(LAST_ANSWERS_TIME),
            end,
        }
    }
}
