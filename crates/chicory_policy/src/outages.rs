//! Tells short interruptions from outages that last.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_types::MonoTime;

/// Time after which keys that still have no usable owner are not waited for: a move takes as long
/// as the longest running request, which is less as a rule.
const LONG_OUTAGE: Duration = Duration::from_millis(800);
/// Time between two requests that find out whether an unreachable owner is back.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which an outage that no request met is forgotten.
const MEMORY: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct Outage {
    since: MonoTime,
    noted_at: MonoTime,
    probed_at: MonoTime,
}

/// Remembers what requests could not be sent to, and since when.
///
/// It answers the loss of a server, whose keys nobody may own until its grants have run out: the
/// first requests wait, as a move would soon be over; once the outage has lasted, later ones are
/// refused at once, and keep the time that they have for coming back.
///
/// `Part` names what fails together: keys that share their owner, such as a service and a fence, or
/// one server.
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
pub struct Outages<Part> {
    outages: BTreeMap<Part, Outage>,
}

impl<Part: Ord> Default for Outages<Part> {
    fn default() -> Self {
        Self {
            outages: BTreeMap::new(),
        }
    }
}

impl<Part: Ord + Clone> Outages<Part> {
    /// Takes in that a request found no usable owner; whether the outage lasts.
    pub fn record_unusable(&mut self, now: MonoTime, part: &Part) -> bool {
        let outage = self.outages.entry(part.clone()).or_insert(Outage {
            since: now,
            noted_at: now,
            probed_at: now,
        });
        outage.noted_at = now;
        now >= outage.since + LONG_OUTAGE
    }

    /// Takes in that an owner can be used.
    pub fn record_usable(&mut self, part: &Part) {
        self.outages.remove(part);
    }

    /// Whether a request to an owner that could not be reached is due, to see whether it is back.
    pub fn try_start_probe(&mut self, now: MonoTime, part: &Part) -> bool {
        let Some(outage) = self.outages.get_mut(part) else {
            return true;
        };
        let is_due = now >= outage.probed_at + PROBE_INTERVAL;
        if is_due {
            outage.probed_at = now;
        }
        is_due
    }

    /// Forgets parts that nobody has asked for lately.
    pub fn remove_expired(&mut self, now: MonoTime) {
        self.outages
            .retain(|_, outage| now < outage.noted_at + MEMORY);
    }

    /// Forgets parts that are not served any more.
    pub fn retain(&mut self, is_known: impl Fn(&Part) -> bool) {
        self.outages.retain(|part, _| is_known(part));
    }
}
