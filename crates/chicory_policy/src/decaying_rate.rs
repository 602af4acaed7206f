//! Estimates of how often something happens.

use std::time::Duration;

use chicory_types::MonoTime;

/// Time in which the weight of an event falls to about a third.
const DECAY_TIME: Duration = Duration::from_secs(2);

/// The rate of recent events, in which older events weigh less.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingRate {
    weight: f64,
    updated_at: MonoTime,
}

impl DecayingRate {
    pub(crate) fn record(&mut self, now: MonoTime) {
        self.weight = self.weight_at(now) + 1.0;
        self.updated_at = now;
    }

    pub(crate) fn per_second(&self, now: MonoTime) -> f64 {
        self.weight_at(now) / DECAY_TIME.as_secs_f64()
    }

    fn weight_at(&self, now: MonoTime) -> f64 {
        let passed = now.saturating_sub(self.updated_at);
        self.weight * (-passed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
    }
}
