//! Settings of a [`Gateway`](crate::Gateway).

use std::collections::BTreeSet;
use std::time::Duration;

use chicory_types::ZoneName;

use super::Policy;

/// Fraction of a service's requests that may be sent a second time; the operators
/// specify this value.
const RETRY_RATIO: f64 = 0.2;
/// Retries that all entry VMs together may send in one window in addition to the ratio.
const RETRY_SLACK: f64 = 50.0;
/// Length of the window in which retries are counted.
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Time to wait on a new connection before anything is sent on it. A server that has too
/// many connections resets a new one within a round trip, which takes less than this time
/// within a region.
const SETTLE_TIME: Duration = Duration::from_millis(5);
/// Time that the owners of keys in an evacuated zone still get requests: keys leave a zone within
/// 2 s, and nothing may reach its servers 5 s after the order.
const EVACUATION_GRACE: Duration = Duration::from_secs(3);

/// Memory of the entry VM if it is not known.
const DEFAULT_MEMORY_BYTES: u64 = 256 * 1024 * 1024;
/// Descriptors that the entry process may have open if that is not known.
const DEFAULT_MAX_DESCRIPTORS: usize = 4096;

/// Settings of a [`Gateway`](crate::Gateway).
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayConfig {
    /// Fraction of a service's requests that may be sent a second time.
    pub retry_ratio: f64,
    /// Retries that all entry VMs together may send in one window in addition to the ratio.
    pub retry_slack: f64,
    /// Length of the window in which retries are counted.
    pub retry_window: Duration,
    /// Time to wait on a new connection before anything is sent on it. If the server closes the
    /// connection within this time, it has rejected it.
    pub settle_time: Duration,
    /// Time from when an entry VM learns that an availability zone is evacuated until its servers get
    /// no more requests for keys that they own. They get no requests without keys from the start.
    pub evacuation_grace: Duration,
    /// Availability zone of the entry VM.
    pub zone: ZoneName,
    /// Rate of the entry VM's link in bytes per second, if it is so thin that large bodies have to
    /// take turns. The value is positive.
    pub thin_link_bytes_per_s: Option<f64>,
    /// Processor cores that the entry VM may use, which may be a fraction; `None` if it is not
    /// known.
    pub cpu_share: Option<f64>,
    /// Memory that the entry process may use, in bytes. Requests and answers may occupy a part of it.
    pub memory_bytes: u64,
    /// Descriptors that the entry process may have open. Connections of callers and of other entry
    /// VMs may use a part of them.
    pub max_descriptors: usize,
    /// Seed of random choices.
    pub random_seed: u64,
    /// Policies that are switched off to measure their benefit.
    pub disabled_policies: BTreeSet<Policy>,
}

impl GatewayConfig {
    /// Whether a policy is switched on.
    #[must_use]
    pub fn is_enabled(&self, policy: Policy) -> bool {
        !self.disabled_policies.contains(&policy)
    }
}

impl Default for GatewayConfig {
    fn default() -> Self {
        Self {
            retry_ratio: RETRY_RATIO,
            retry_slack: RETRY_SLACK,
            retry_window: RETRY_WINDOW,
            settle_time: SETTLE_TIME,
            evacuation_grace: EVACUATION_GRACE,
            zone: ZoneName::new(),
            thin_link_bytes_per_s: None,
            cpu_share: None,
            memory_bytes: DEFAULT_MEMORY_BYTES,
            max_descriptors: DEFAULT_MAX_DESCRIPTORS,
            random_seed: 0,
            disabled_policies: BTreeSet::new(),
        }
    }
}
