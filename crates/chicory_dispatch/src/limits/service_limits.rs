//! Retry budget and rate limit of one service in this process.

use chicory_policy::TokenBucket;
use chicory_types::MonoTime;

use crate::limits::RetryBudget;

/// Retry budget and rate limit of one service in this process.
#[derive(Clone, Debug)]
pub(crate) struct ServiceLimits {
    pub(crate) retries: RetryBudget,
    /// `None` means no limit.
    pub(crate) rate: Option<TokenBucket>,
}

impl ServiceLimits {
    pub(crate) fn new(retry_share: f64, now: MonoTime) -> Self {
        Self {
            retries: RetryBudget::new(retry_share, now),
            rate: None,
        }
    }

    /// Applies the rate limit of the table; 0 means no limit.
    pub(crate) fn set_rate(&mut self, rate_per_s: u32, now: MonoTime) {
        if rate_per_s == 0 {
            self.rate = None;
        } else if !self.rate.as_ref().is_some_and(|b| b.has_rate(rate_per_s)) {
            self.rate = Some(TokenBucket::per_second(rate_per_s, now));
        }
    }
}
