//! The retry budget of a service.

use chicory_policy::TokenBucket;
use chicory_types::MonoTime;

/// Retries per second that are allowed regardless of the rate of new requests.
const FLOOR_PER_S: f64 = 1.0;
/// Maximum number of unused retries that accumulate.
const BURST: f64 = 20.0;

/// Limits retries to a share of the new requests, so that retries can't multiply the load during an
/// outage.
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

    /// Adds the retry share of one new request.
    pub(crate) fn credit(&mut self) {
        self.tokens.add(self.share);
    }

    /// Spends one retry; returns `false` if none is left.
    pub(crate) fn try_spend(&mut self, now: MonoTime) -> bool {
        self.tokens.try_take(now).is_ok()
    }
}
