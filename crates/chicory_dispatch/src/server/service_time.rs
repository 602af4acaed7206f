//! The smoothed time that a backend server takes for a request.

use std::time::Duration;

/// Weight of the past against one new sample.
const SMOOTHING: u32 = 7;
/// Samples from which the slowest of them is believed.
const LEARNED_SAMPLES: u32 = 8;
/// Service time that is assumed before the first sample.
const INITIAL: Duration = Duration::from_millis(5);

/// Exponentially weighted mean and slowly falling maximum of service times.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceTime {
    mean: Duration,
    peak: Duration,
    samples: u32,
}

impl ServiceTime {
    pub(crate) fn new() -> Self {
        Self {
            mean: INITIAL,
            peak: INITIAL,
            samples: 0,
        }
    }

    pub(crate) fn record(&mut self, sample: Duration) {
        if self.samples == 0 {
            self.mean = sample;
        }
        self.mean = (self.mean * SMOOTHING + sample) / (SMOOTHING + 1);
        self.peak = sample.max(self.peak * 63 / 64);
        self.samples = self.samples.saturating_add(1);
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
        self.samples > 0
    }

    /// Whether there are enough samples to tell slow requests from lost ones.
    pub(crate) fn is_learned(&self) -> bool {
        self.samples >= LEARNED_SAMPLES
    }
}
