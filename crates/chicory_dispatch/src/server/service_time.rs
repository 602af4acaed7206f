//! The smoothed service time of a backend server.

use std::time::Duration;

/// Weight of the past relative to one new sample.
const SMOOTHING: u32 = 7;
/// Number of answers from which the slowest one is a usable estimate.
const MIN_SAMPLES: u32 = 8;
/// Service time assumed before the first sample.
const INITIAL: Duration = Duration::from_millis(5);

/// The time that a server takes until its answer begins, and until the answer is forwarded
/// completely.
///
/// The total time is how long a request occupies a slot, which also depends on how fast the caller
/// reads. The speed of the server itself is therefore measured by the time until its answers begin.
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

    /// Records the time of a request from its write to the end of its answer.
    pub(crate) fn record(&mut self, total: Duration) {
        let before = if self.samples == 0 { total } else { self.mean };
        self.mean = smoothed(before, total);
        self.samples = self.samples.saturating_add(1);
    }

    /// Records the time of a request from its write to the beginning of its answer.
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

    /// Raises the peak to the wait of a cancelled exchange whose server a probe found alive, since
    /// the server may just be slow.
    pub(crate) fn widen(&mut self, waited: Duration) {
        self.head_peak = self.head_peak.max(waited);
    }

    /// Returns the mean time for which a request occupies a slot.
    pub(crate) fn mean(&self) -> Duration {
        self.mean
    }

    /// Returns the mean time until an answer begins; `None` before the first one.
    pub(crate) fn head_mean(&self) -> Option<Duration> {
        (self.heads > 0).then_some(self.head_mean)
    }

    /// Returns the longest time until a recent answer began, which decays with each new answer.
    pub(crate) fn head_peak(&self) -> Duration {
        self.head_peak
    }

    /// Returns whether there are enough samples to distinguish slow requests from lost ones.
    pub(crate) fn has_enough_samples(&self) -> bool {
        self.heads >= MIN_SAMPLES
    }
}

fn smoothed(before: Duration, sample: Duration) -> Duration {
    (before * SMOOTHING + sample) / (SMOOTHING + 1)
}
