//! Limits how many requests are sent a second time.

use std::collections::VecDeque;
use std::time::Duration;

use chicory_types::MonoTime;

use super::GatewayConfig;

/// Number of slices in which a window is counted.
const SLICES: u32 = 10;
/// Fraction of the allowance that one entry VM uses. The rest is a margin, as the request counts
/// and windows of the entry VMs differ a little.
const USED_FRACTION: f64 = 0.85;

#[derive(Clone, Copy, Debug)]
struct Slice {
    begins_at: MonoTime,
    requests: u32,
    retries: u32,
}

/// Limits the retries of one service at one entry VM.
///
/// In each window all entry VMs together may send `ratio` times the requests, and `slack` more, a
/// second time. An entry VM uses the ratio of its own requests and an even share of the slack.
///
/// # Examples
///
/// ```
/// use chicory_gateway::{GatewayConfig, RetryBudget};
/// use std::time::Duration;
///
/// let mut budget = RetryBudget::default();
/// let config = GatewayConfig::default();
/// assert!(budget.try_retry(Duration::ZERO, &config, 10));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    slices: VecDeque<Slice>,
}

impl RetryBudget {
    /// Counts a request.
    pub fn record_request(&mut self, now: MonoTime, window: Duration) {
        self.slice(now, window).requests += 1;
    }

    /// Returns whether a retry is left.
    pub fn has_retry(&mut self, now: MonoTime, config: &GatewayConfig, entry_count: u32) -> bool {
        let allowed = self.allowed(now, config, entry_count);
        let used: u32 = self.slices.iter().map(|slice| slice.retries).sum();
        f64::from(used) + 1.0 <= allowed
    }

    /// Takes one retry out of the budget. Returns `false` if none is left.
    pub fn try_retry(&mut self, now: MonoTime, config: &GatewayConfig, entry_count: u32) -> bool {
        if !self.has_retry(now, config, entry_count) {
            return false;
        }
        self.slice(now, config.retry_window).retries += 1;
        true
    }

    fn allowed(&mut self, now: MonoTime, config: &GatewayConfig, entry_count: u32) -> f64 {
        self.slice(now, config.retry_window);
        let requests: u32 = self.slices.iter().map(|slice| slice.requests).sum();
        let share = config.retry_slack / f64::from(entry_count.max(1));
        USED_FRACTION * (config.retry_ratio * f64::from(requests) + share)
    }

    fn slice(&mut self, now: MonoTime, window: Duration) -> &mut Slice {
        let length = window / SLICES;
        while self
            .slices
            .front()
            .is_some_and(|slice| slice.begins_at + window + length <= now)
        {
            self.slices.pop_front();
        }
        let is_current = self
            .slices
            .back()
            .is_some_and(|slice| now < slice.begins_at + length);
        if !is_current {
            self.slices.push_back(Slice {
                begins_at: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
