//! The evacuated availability zones as an entry VM knows them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chicory_types::{MonoTime, ZoneName};

/// Time without contact to a majority of control VMs after which an order that is new to this entry
/// VM may have been acknowledged long before. Control VMs report every 350 ms.
const MAX_CONTACT_GAP: Duration = Duration::from_secs(1);
/// Time after the end of such a gap within which an update is taken to tell of what happened during
/// the gap. Over a slow link, an update takes some seconds.
const CATCH_UP_TIME: Duration = Duration::from_secs(5);

/// Time without contact to a majority of control VMs.
#[derive(Clone, Copy, Debug)]
struct ContactGap {
    /// `None` if there was no contact before.
    began_at: Option<MonoTime>,
    ended_at: MonoTime,
}

/// The evacuated availability zones, and since when this entry VM may count them as evacuated.
///
/// The time that orders take to have effect is bounded from their acknowledgement, which an entry VM
/// without contact does not see. After a gap in contact it therefore counts from the last moment
/// before the gap, and after its start it grants no grace.
///
/// # Examples
///
/// ```
/// use chicory_gateway::Evacuations;
/// use std::time::Duration;
///
/// let mut evacuations = Evacuations::default();
/// evacuations.replace(Duration::ZERO, ["north".to_owned()].into());
/// assert!(evacuations.contains("north"));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// `None` if the order may be older than any grace.
    since: BTreeMap<ZoneName, Option<MonoTime>>,
    /// Whether a directory was ever received.
    has_directory: bool,
    last_contact_at: Option<MonoTime>,
    gap: Option<ContactGap>,
}

impl Evacuations {
    /// Records contact to a majority of control VMs.
    pub fn record_contact(&mut self, now: MonoTime) {
        let last = self.last_contact_at;
        if last.is_none_or(|at| now > at + MAX_CONTACT_GAP) {
            self.gap = Some(ContactGap {
                began_at: last,
                ended_at: now,
            });
        }
        self.last_contact_at = Some(now);
    }

    /// Records that an update without the set was applied: what happened during a gap is known now.
    pub fn record_update(&mut self) {
        self.gap = None;
        self.has_directory = true;
    }

    /// Replaces the set.
    pub fn replace(&mut self, now: MonoTime, zones: BTreeSet<ZoneName>) {
        let gap = self.gap.take();
        let gap = gap.filter(|gap| now < gap.ended_at + CATCH_UP_TIME);
        let since_if_new = match gap {
            _ if !self.has_directory => None,
            Some(gap) => gap.began_at,
            None => Some(now),
        };
        let former = std::mem::take(&mut self.since);
        self.since = zones
            .into_iter()
            .map(|zone| {
                let since = former.get(&zone).copied().unwrap_or(since_if_new);
                (zone, since)
            })
            .collect();
        self.has_directory = true;
    }

    /// Whether a zone is evacuated.
    #[must_use]
    pub fn contains(&self, zone: &str) -> bool {
        self.since.contains_key(zone)
    }

    /// Whether a zone is evacuated and a grace from the moment that this became known has passed.
    #[must_use]
    pub fn has_passed(&self, now: MonoTime, zone: &str, grace: Duration) -> bool {
        let since = self.since.get(zone);
        since.is_some_and(|since| since.is_none_or(|since| now >= since + grace))
    }

    /// Returns the evacuated zones.
    #[must_use]
    pub fn zones(&self) -> impl ExactSizeIterator<Item = &ZoneName> {
        self.since.keys()
    }
}
