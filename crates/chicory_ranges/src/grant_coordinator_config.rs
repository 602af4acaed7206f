//! Settings of a grant coordinator.

use std::time::Duration;

use chicory_types::CLOCK_RATE_MARGIN_PERCENT;

/// How long a grant holds unless operators allow less: long enough to outlast an election, and a
/// network partition of some seconds between a server and the control VMs.
pub const GRANT_HOLD: Duration = Duration::from_secs(10);
/// Time between renewals: three renewals may fail before a grant expires.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(2);
/// Least number of renewals that fit into a hold.
const MIN_RENEWALS_PER_HOLD: u32 = 4;
/// Time before a call that failed is made again.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Time after which a grant without an answer times out and its connection is reset.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a release without an answer times out; the server waits for running work to
/// end before it answers.
pub const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time added to a hold before its grant counts as expired, for delays within the machines.
pub const GRANT_EXPIRY_SLACK: Duration = Duration::from_millis(300);

/// Settings of a grant coordinator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantCoordinatorConfig {
    /// How long a grant holds.
    pub hold: Duration,
    /// Time between renewals.
    pub renewal_interval: Duration,
    /// Time before a call that failed is made again.
    pub retry_interval: Duration,
}

impl Default for GrantCoordinatorConfig {
    fn default() -> Self {
        Self {
            hold: GRANT_HOLD,
            renewal_interval: RENEWAL_INTERVAL,
            retry_interval: RETRY_INTERVAL,
        }
    }
}

impl GrantCoordinatorConfig {
    /// Limits the hold to what operators allow, and the renewal interval to what fits that hold.
    #[must_use]
    pub fn with_max_hold(mut self, max_hold: Duration) -> Self {
        self.hold = self.hold.min(max_hold);
        self.renewal_interval = self.renewal_interval.min(self.hold / MIN_RENEWALS_PER_HOLD);
        self
    }

    /// Returns for how long after the election of a leader a call of the former one may arrive.
    #[must_use]
    pub(crate) fn former_call_expiry() -> Duration {
        CALL_TIMEOUT + CALL_TIMEOUT * CLOCK_RATE_MARGIN_PERCENT / 100
    }

    /// Returns the longest time for which a server may hold keys after the last moment at which a
    /// grant may have reached it.
    ///
    /// This is the hold, a margin for the rate of the server's clock and [`GRANT_EXPIRY_SLACK`].
    #[must_use]
    pub fn grant_expiry(&self) -> Duration {
        self.hold + self.hold * CLOCK_RATE_MARGIN_PERCENT / 100 + GRANT_EXPIRY_SLACK
    }
}
