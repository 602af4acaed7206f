//! Settings of the decisions.

use std::collections::BTreeSet;
use std::time::Duration;

use chicory_types::ZoneName;

use super::Policy;

/// Part of a service's requests that may be sent a second time; stated by the operators.
const RETRY_RATIO: f64 = 0.2;
/// Second sends allowed on top, over all entry VMs, in one window.
const RETRY_SLACK: f64 = 50.0;
/// Length of the window in which second sends are counted.
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// A server that has too many connections resets a new one within a round trip, which is below
/// this within a region.
const SETTLE: Duration = Duration::from_millis(5);

/// Settings of the decisions.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayConfig {
    /// Part of a service's requests that may be sent a second time.
    pub retry_ratio: f64,
    /// Second sends allowed on top, over all entry VMs, in one window.
    pub retry_slack: f64,
    /// Length of the window in which second sends are counted.
    pub retry_window: Duration,
    /// Time for which a new connection is watched before anything is sent on it.
    pub settle: Duration,
    /// Availability zone of the entry VM.
    pub zone: ZoneName,
    /// Seed of random choices.
    pub random_seed: u64,
    /// Policies that are switched off, to measure what they are worth.
    pub disabled_policies: BTreeSet<Policy>,
}

impl GatewayConfig {
    /// Whether a policy is in use.
    #[must_use]
    pub fn uses(&self, policy: Policy) -> bool {
        !self.disabled_policies.contains(&policy)
    }
}

impl Default for GatewayConfig {
    fn default() -> Self {
        Self {
            retry_ratio: RETRY_RATIO,
            retry_slack: RETRY_SLACK,
            retry_window: RETRY_WINDOW,
            settle: SETTLE,
            zone: ZoneName::new(),
            random_seed: 0,
            disabled_policies: BTreeSet::new(),
        }
    }
}
