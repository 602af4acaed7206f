//! The retry budget of a service.

use chicory_types::MonoTime;

use crate::limits::TokenBucket;

/// Retries per second that are allowed however little fresh traffic there is.
const FLOOR_PER_S: f64 = 1.0;
/// Retries that may be saved up.
const BURST: f64 = 20.0;

/// Allows retries as a share of fresh requests, so that an outage can't multiply the load.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    share: f64,
    tokens: TokenBucket,
}

impl RetryBudget {
    pub(crate) fn new(share: f64, now: MonoTime) -> Self {
        Self {
            share,
            tokens: TokenBucket::new(FLOOR_PER_S, BURST, now),
        }
    }

    /// Credits a fresh request.
    pub(crate) fn credit(&mut self) {
        self.tokens.add(self.share);
    }

    /// Takes the right to retry once.
    pub(crate) fn try_spend(&mut self, now: MonoTime) -> bool {
        self.tokens.try_take(now).is_ok()
    }
}
