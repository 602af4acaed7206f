//! Requests for keys, some of which are hot for a while.

use std::time::Duration;

use chicory_ranges::Key;
use rand::RngExt;
use rand::rngs::StdRng;

/// Number of keys in use.
const KEY_COUNT: f64 = 60_000.0;
/// Exponent by which the popularity of keys falls with their rank.
const SKEW: f64 = 0.3;
/// Time after which other keys get hot.
const HOT_TIME: Duration = Duration::from_secs(5);

/// Which part of the requests is for hot keys.
#[derive(Clone, Copy, Debug)]
pub struct HotKeys {
    pub keys_per_thousand_servers: usize,
    pub share: f64,
}

/// Draws the keys of requests.
pub struct Load {
    hot_keys: HotKeys,
    /// Keys by descending popularity.
    ranked: Vec<Key>,
    hot: Vec<Key>,
    hot_until: Duration,
}

impl Load {
    pub fn new(hot_keys: HotKeys, rng: &mut StdRng) -> Self {
        let mut ranked: Vec<Key> = (0..=Key::MAX).collect();
        for last in (1..ranked.len()).rev() {
            ranked.swap(last, rng.random_range(0..=last));
        }
        Self {
            hot_keys,
            ranked,
            hot: Vec::new(),
            hot_until: Duration::ZERO,
        }
    }

    pub fn next_key(&mut self, now: Duration, server_count: usize, rng: &mut StdRng) -> Key {
        if now >= self.hot_until {
            self.hot_until = now + HOT_TIME;
            let count = self.hot_keys.keys_per_thousand_servers * server_count / 1000;
            self.hot = (0..count).map(|_| rng.random()).collect();
        }
        if !self.hot.is_empty() && rng.random_bool(self.hot_keys.share) {
            return self.hot[rng.random_range(0..self.hot.len())];
        }
        let uniform: f64 = rng.random();
        let rank = KEY_COUNT * uniform.powf(1.0 / (1.0 - SKEW));
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the rank is at least 0 and below the number of keys"
        )]
        let rank = rank as usize;
        self.ranked[rank]
    }
}
