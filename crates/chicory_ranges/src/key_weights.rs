//! Weights of keys, with fast sums over ranges.

use crate::{Key, KeyRange};

/// Weight of each key as running sums.
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
    /// Takes one positive weight for each key, in order.
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

    /// The weight 1 for each key.
    #[must_use]
    pub fn even() -> Self {
        Self::new(std::iter::repeat_n(1.0, KeyRange::ALL.key_count() as usize))
    }

    /// Sum over a range.
    #[must_use]
    pub fn of(&self, range: KeyRange) -> f64 {
        self.sums[usize::from(range.last) + 1] - self.sums[usize::from(range.first)]
    }

    /// The keys at the lower end of `range` whose weight comes closest to `weight`; at least one
    /// key, and never all of a range of two keys or more.
    #[must_use]
    pub fn lower_part(&self, range: KeyRange, weight: f64) -> KeyRange {
        let start = self.sums[usize::from(range.first)];
        let keys = usize::from(range.first) + 1..=usize::from(range.last);
        let sums = &self.sums[keys.clone()];
        let above = sums.partition_point(|sum| *sum - start < weight);
        let at = if above >= sums.len() {
            sums.len().saturating_sub(1)
        } else if above > 0 && weight - (sums[above - 1] - start) < (sums[above] - start) - weight {
            above - 1
        } else {
            above
        };
        let last = range
            .first
            .saturating_add(Key::try_from(at).unwrap_or(Key::MAX));
        KeyRange::new(range.first, last.min(range.last))
    }
}
