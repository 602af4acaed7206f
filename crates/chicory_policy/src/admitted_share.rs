//! Admits a fraction of a sender's requests, evenly.

use crate::Rank;

/// Number of admissions that are kept back for each step of rank, up to [`MAX_RESERVED_RANK`].
const RESERVE_PER_RANK: f64 = 1.0;
/// Rank from which on requests are treated alike.
const MAX_RESERVED_RANK: Rank = 2;

/// Admits a fraction of a sender's requests for one owner, by error diffusion.
///
/// Each request adds the fraction to a credit, and an admission takes one from it. A sender has few
/// requests for one owner, and draws by chance would admit none or all of them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdmittedShare {
    credit: f64,
}

impl AdmittedShare {
    /// Creates a share whose first request has this rank. `chance`, a random number from 0 to 1,
    /// keeps senders from admitting at the same time.
    pub(crate) fn new(rank: Rank, chance: f64) -> Self {
        Self {
            credit: reserve(rank) + chance,
        }
    }

    /// Decides whether the next request is admitted.
    pub(crate) fn try_admit(&mut self, rank: Rank, fraction: f64) -> bool {
        self.credit += fraction;
        if self.credit < 1.0 + reserve(rank) {
            return false;
        }
        self.credit -= 1.0;
        true
    }
}

/// Returns the credit that requests of this rank leave to more urgent ones.
fn reserve(rank: Rank) -> f64 {
    RESERVE_PER_RANK * f64::from(rank.min(MAX_RESERVED_RANK))
}
