//! Distribution of requests in proportion to weights.

use std::sync::{Mutex, PoisonError};

/// Chooses parts of a split so that each gets its share even over few requests.
///
/// This is smooth weighted round robin: each choice raises every part's credit by its weight and
/// lowers that of the chosen part by the sum.
///
/// # Examples
///
/// ```
/// use chicory_routes::SplitCursor;
///
/// let cursor = SplitCursor::new([3, 1]);
/// let chosen: Vec<usize> = (0..4).map(|_| cursor.next()).collect();
/// assert_eq!(chosen.iter().filter(|part| **part == 0).count(), 3);
/// ```
#[derive(Debug)]
pub struct SplitCursor {
    parts: Mutex<Vec<SplitPart>>,
}

#[derive(Debug)]
struct SplitPart {
    weight: i64,
    credit: i64,
}

impl SplitCursor {
    /// Creates a cursor whose parts have no credit.
    #[must_use]
    pub fn new(weights: impl IntoIterator<Item = u32>) -> Self {
        let parts = weights.into_iter().map(|weight| SplitPart {
            weight: i64::from(weight),
            credit: 0,
        });
        Self {
            parts: Mutex::new(parts.collect()),
        }
    }

    /// Returns the index of the next part; a part of weight 0 is chosen only if all weights are 0.
    #[must_use]
    pub fn next(&self) -> usize {
        let mut parts = self.parts.lock().unwrap_or_else(PoisonError::into_inner);
        let sum: i64 = parts.iter().map(|part| part.weight).sum();
        for part in parts.iter_mut() {
            part.credit += part.weight;
        }
        let weighted = parts.iter().enumerate().filter(|(_, part)| part.weight > 0);
        let chosen = weighted.max_by_key(|(index, part)| (part.credit, std::cmp::Reverse(*index)));
        let chosen = chosen.map_or(0, |(index, _)| index);
        if let Some(part) = parts.get_mut(chosen) {
            part.credit -= sum;
        }
        chosen
    }
}
