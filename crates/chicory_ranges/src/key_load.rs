//! Request counts of keys.

use std::time::Duration;

use chicory_types::MonoTime;

use crate::{Key, KeyRange, KeyWeights};

/// Time after which a request counts half; short, since hot keys change within seconds.
pub const KEY_LOAD_HALF_LIFE: Duration = Duration::from_millis(1200);

/// Fraction of the weight that is spread evenly over all keys, so that idle keys have some too.
const UNIFORM_SHARE: f32 = 0.15;

/// Request count of each key, with exponential decay.
#[derive(Clone, Debug)]
pub struct KeyLoad {
    counts: Vec<f32>,
    decayed_at: MonoTime,
}

impl KeyLoad {
    /// Creates a load without any requests.
    #[must_use]
    pub fn new(now: MonoTime) -> Self {
        let key_count = KeyRange::ALL.key_count() as usize;
        Self {
            counts: vec![0.0; key_count],
            decayed_at: now,
        }
    }

    /// Adds requests for a key.
    pub fn add(&mut self, key: Key, request_count: u32) {
        #[expect(
            clippy::cast_precision_loss,
            reason = "counts of one report are far below 2^24"
        )]
        let request_count = request_count as f32;
        self.counts[usize::from(key)] += request_count;
    }

    /// Reduces all counts by the time since the last decay.
    pub fn decay(&mut self, now: MonoTime) {
        let elapsed = now.saturating_sub(self.decayed_at);
        let factor = 0.5_f32.powf(elapsed.as_secs_f32() / KEY_LOAD_HALF_LIFE.as_secs_f32());
        for count in &mut self.counts {
            *count *= factor;
        }
        self.decayed_at = now;
    }

    /// Returns the sum of all decayed counts.
    #[must_use]
    pub fn total(&self) -> f32 {
        self.counts.iter().sum()
    }

    /// Returns the weight of each key: its decayed count, and an even part for idle keys.
    #[must_use]
    pub fn weights(&self) -> KeyWeights {
        let even = (self.total() * UNIFORM_SHARE).max(1.0);
        #[expect(
            clippy::cast_precision_loss,
            reason = "the number of keys is far below 2^24"
        )]
        let even = even / self.counts.len() as f32;
        KeyWeights::new(self.counts.iter().map(|count| f64::from(count + even)))
    }
}
