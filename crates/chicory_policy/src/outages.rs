//! Distinguishes short interruptions from lasting outages.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_types::MonoTime;

/// Time after which requests no longer wait for keys that have no usable owner.
///
/// A move of keys takes as long as the longest running request, which is usually less than this.
const LONG_OUTAGE: Duration = Duration::from_millis(800);
/// Time between two requests that probe whether an unreachable owner can be reached again.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which an outage is removed if no request has met it.
const OUTAGE_RETENTION: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct Outage {
    since: MonoTime,
    last_recorded_at: MonoTime,
    last_probe_at: MonoTime,
}

/// Tracks what requests could not be sent to, and since when.
///
/// This limits the effect of a lost server, whose keys nobody may own until its grants have
/// expired. The first requests wait, as a move of the keys would soon be over. Once the outage has
/// lasted, further requests are refused at once, so that their callers have time left to retry.
///
/// `FailureDomain` identifies what fails together: keys that share their owner, such as a service
/// and a fence, or one server.
///
/// # Examples
///
/// ```
/// use chicory_policy::Outages;
/// use std::time::Duration;
///
/// let mut outages = Outages::default();
/// assert!(!outages.record_unusable(Duration::from_secs(1), &"keys 0 to 99"));
/// assert!(outages.record_unusable(Duration::from_secs(2), &"keys 0 to 99"));
/// outages.record_usable(&"keys 0 to 99");
/// assert!(!outages.record_unusable(Duration::from_secs(3), &"keys 0 to 99"));
/// ```
#[derive(Clone, Debug)]
pub struct Outages<FailureDomain> {
    outages: BTreeMap<FailureDomain, Outage>,
}

impl<FailureDomain: Ord> Default for Outages<FailureDomain> {
    fn default() -> Self {
        Self {
            outages: BTreeMap::new(),
        }
    }
}

impl<FailureDomain: Ord + Clone> Outages<FailureDomain> {
    /// Records that a request found no usable owner; returns whether the outage is a lasting one.
    pub fn record_unusable(&mut self, now: MonoTime, domain: &FailureDomain) -> bool {
        let outage = self.outages.entry(domain.clone()).or_insert(Outage {
            since: now,
            last_recorded_at: now,
            last_probe_at: now,
        });
        outage.last_recorded_at = now;
        now >= outage.since + LONG_OUTAGE
    }

    /// Records that an owner can be used.
    pub fn record_usable(&mut self, domain: &FailureDomain) {
        self.outages.remove(domain);
    }

    /// Returns whether a request may probe an unreachable owner now, and records the probe if so.
    pub fn try_start_probe(&mut self, now: MonoTime, domain: &FailureDomain) -> bool {
        let Some(outage) = self.outages.get_mut(domain) else {
            return true;
        };
        let is_due = now >= outage.last_probe_at + PROBE_INTERVAL;
        if is_due {
            outage.last_probe_at = now;
        }
        is_due
    }

    /// Removes outages that no request has met for some seconds.
    pub fn remove_expired(&mut self, now: MonoTime) {
        self.outages
            .retain(|_, outage| now < outage.last_recorded_at + OUTAGE_RETENTION);
    }

    /// Keeps only outages of domains that are still known.
    pub fn retain(&mut self, is_known: impl Fn(&FailureDomain) -> bool) {
        self.outages.retain(|domain, _| is_known(domain));
    }
}
