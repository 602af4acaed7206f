//! The smoothed time that a backend server takes for a request.

use std::time::Duration;

/// Weight of the past against one new sample.
const SMOOTHING: u32 = 7;
/// Service time that is assumed before the first sample.
const INITIAL: Duration = Duration::from_millis(5);

/// Exponentially weighted mean and slowly falling maximum of service times.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceTime {
    mean: Duration,
    peak: Duration,
    has_sample: bool,
}

impl ServiceTime {
    pub(crate) fn new() -> Self {
        Self {
            mean: INITIAL,
            peak: INITIAL,
            has_sample: false,
        }
    }

    pub(crate) fn record(&mut self, sample: Duration) {
        if !self.has_sample {
            self.has_sample = true;
            self.mean = sample;
        }
        self.mean = (self.mean * SMOOTHING + sample) / (SMOOTHING + 1);
        self.peak = sample.max(self.peak * 63 / 64);
    }

    /// Notes a silence that turned out to be no proof of a dead server.
    pub(crate) fn widen(&mut self, silence: Duration) {
        self.peak = self.peak.max(silence);
    }

    pub(crate) fn mean(&self) -> Duration {
        self.mean
    }

    /// The slowest of the recent samples, fading.
    pub(crate) fn peak(&self) -> Duration {
        self.peak
    }

    pub(crate) fn has_sample(&self) -> bool {
        self.has_sample
    }
}
