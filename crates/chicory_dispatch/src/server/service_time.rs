//! The smoothed time that a backend server takes for a request.

use std::time::Duration;

/// Weight of the past against one new sample.
const SMOOTHING: u32 = 7;
/// Samples from which the slowest of them is believed.
const LEARNED_SAMPLES: u32 = 8;
/// Service time that is assumed before the first sample.
const INITIAL: Duration = Duration::from_millis(5);

/// How long a server takes until its answer begins, and until it is passed on to its end.
///
/// The whole time is how long a slot is taken, which also depends on how fast the caller reads; what
/// is expected of the server itself is judged by the beginning of its answers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceTime {
    mean: Duration,
    head_mean: Duration,
    head_peak: Duration,
    samples: u32,
    heads: u32,
}

impl ServiceTime {
    pub(crate) fn new() -> Self {
        Self {
            mean: INITIAL,
            head_mean: INITIAL,
            head_peak: INITIAL,
            samples: 0,
            heads: 0,
        }
    }

    /// Notes the time of a request from its write to the end of its answer.
    pub(crate) fn record(&mut self, whole: Duration) {
        let before = if self.samples == 0 { whole } else { self.mean };
        self.mean = smoothed(before, whole);
        self.samples = self.samples.saturating_add(1);
    }

    /// Notes the time of a request from its write to the beginning of its answer.
    pub(crate) fn record_head(&mut self, head: Duration) {
        let before = if self.heads == 0 {
            head
        } else {
            self.head_mean
        };
        self.head_mean = smoothed(before, head);
        self.head_peak = head.max(self.head_peak * 63 / 64);
        self.heads = self.heads.saturating_add(1);
    }

    /// Notes a silence that turned out to be no proof of a dead server.
    pub(crate) fn widen(&mut self, silence: Duration) {
        self.head_peak = self.head_peak.max(silence);
    }

    /// Mean time for which a request takes its slot.
    pub(crate) fn mean(&self) -> Duration {
        self.mean
    }

    /// Mean time until an answer begins; `None` before the first one.
    pub(crate) fn head_mean(&self) -> Option<Duration> {
        (self.heads > 0).then_some(self.head_mean)
    }

    /// The slowest beginning of the recent answers, fading.
    pub(crate) fn head_peak(&self) -> Duration {
        self.head_peak
    }

    /// Whether there are enough samples to tell slow requests from lost ones.
    pub(crate) fn is_learned(&self) -> bool {
        self.heads >= LEARNED_SAMPLES
    }
}

fn smoothed(before: Duration, sample: Duration) -> Duration {
    (before * SMOOTHING + sample) / (SMOOTHING + 1)
}
