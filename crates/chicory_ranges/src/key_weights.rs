//! Weights of keys, with fast sums over ranges.

use crate::{Key, KeyRange};

/// Weight of each key, stored as running sums so that the sum of a range is fast to compute.
///
/// # Examples
///
/// ```
/// use chicory_ranges::{KeyRange, KeyWeights};
///
/// let weights = KeyWeights::even();
/// assert_eq!(weights.of(KeyRange::new(0, 9)), 10.0);
/// ```
#[derive(Clone, Debug)]
pub struct KeyWeights {
    /// Sum of the weights of all keys below the index.
    sums: Vec<f64>,
}

impl KeyWeights {
    /// Creates weights from one positive weight for each key, in order.
    #[must_use]
    pub fn new(weights: impl IntoIterator<Item = f64>) -> Self {
        let mut sums = vec![0.0];
        let mut sum = 0.0;
        for weight in weights {
            sum += weight;
            sums.push(sum);
        }
        Self { sums }
    }

    /// Creates weights of 1 for each key.
    #[must_use]
    pub fn even() -> Self {
        Self::new(std::iter::repeat_n(1.0, KeyRange::ALL.key_count() as usize))
    }

    /// Returns the sum of the weights in a range.
    #[must_use]
    pub fn of(&self, range: KeyRange) -> f64 {
        self.sums[usize::from(range.last) + 1] - self.sums[usize::from(range.first)]
    }

    /// Returns the keys at the lower end of `range` whose weight comes closest to `weight`.
    ///
    /// It is at least one key, and never all of a range of two keys or more.
    #[must_use]
    pub fn lower_part(&self, range: KeyRange, weight: f64) -> KeyRange {
        let start = self.sums[usize::from(range.first)];
        let keys = usize::from(range.first) + 1..=usize::from(range.last);
        let sums = &self.sums[keys.clone()];
        let first_reaching = sums.partition_point(|sum| *sum - start < weight);
        let index = if first_reaching >= sums.len() {
            sums.len().saturating_sub(1)
        } else if first_reaching > 0
            && weight - (sums[first_reaching - 1] - start) < (sums[first_reaching] - start) - weight
        {
            first_reaching - 1
        } else {
            first_reaching
        };
        let last = range
            .first
            .saturating_add(Key::try_from(index).unwrap_or(Key::MAX));
        KeyRange::new(range.first, last.min(range.last))
    }
}
