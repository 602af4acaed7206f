//! The choice of the keys that load is sent for.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// How often keys are chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum KeyPattern {
    /// All keys equally often.
    Uniform,
    /// The key of rank `r` in proportion to `1 / r^exponent`.
    Zipf {
        /// The exponent.
        exponent: f64,
    },
    /// A set of hot keys gets a share of the calls; the next keys replace it after a number of
    /// calls.
    MovingHotSet {
        /// Number of hot keys.
        hot_keys: usize,
        /// Share of calls that go to hot keys, from 0 to 1.
        hot_share: f64,
        /// Calls until the next keys replace the set.
        calls_per_move: u64,
    },
}

/// Chooses keys by a seeded random number generator.
#[derive(Debug)]
pub struct KeyChooser {
    rng: SmallRng,
    pattern: KeyPattern,
    key_count: usize,
    cumulative: Vec<f64>,
    calls: u64,
}

impl KeyChooser {
    /// Creates a chooser among `key_count` keys.
    #[must_use]
    pub fn new(seed: u64, key_count: usize, pattern: KeyPattern) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            pattern,
            key_count,
            cumulative: cumulative_weights(key_count, pattern),
            calls: 0,
        }
    }

    /// Returns the next key.
    pub fn next_key(&mut self) -> String {
        let index = match self.pattern {
            KeyPattern::Uniform => self.rng.random_range(0..self.key_count),
            KeyPattern::Zipf { .. } => self.next_by_weight(),
            KeyPattern::MovingHotSet {
                hot_keys,
                hot_share,
                calls_per_move,
            } => self.next_of_hot_set(hot_keys, hot_share, calls_per_move),
        };
        self.calls += 1;
        format!("k{index}")
    }

    fn next_by_weight(&mut self) -> usize {
        let total = self.cumulative.last().copied().unwrap_or_default();
        let point = self.rng.random::<f64>() * total;
        let index = self.cumulative.partition_point(|sum| *sum <= point);
        index.min(self.key_count - 1)
    }

    fn next_of_hot_set(&mut self, hot_keys: usize, share: f64, calls_per_move: u64) -> usize {
        if self.rng.random::<f64>() >= share {
            return self.rng.random_range(0..self.key_count);
        }
        let moves = usize::try_from(self.calls / calls_per_move).unwrap_or(usize::MAX);
        let first = moves.wrapping_mul(hot_keys);
        let index = first.wrapping_add(self.rng.random_range(0..hot_keys));
        index % self.key_count
    }
}

fn cumulative_weights(key_count: usize, pattern: KeyPattern) -> Vec<f64> {
    let KeyPattern::Zipf { exponent } = pattern else {
        return Vec::new();
    };
    let ranks = std::iter::successors(Some(1.0_f64), |rank| Some(rank + 1.0));
    let weights = ranks.take(key_count).map(|rank| rank.powf(-exponent));
    weights
        .scan(0.0, |sum, weight| {
            *sum += weight;
            Some(*sum)
        })
        .collect()
}
