//! When the cold periods of backend servers end, by this member's clock.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_directory::ServerRecord;
use chicory_ranges::ServerIncarnation;
use chicory_types::{MonoTime, ZoneName};

/// Time by which a stated end must be later than the known one to be a change. Entry VMs treat
/// servers as cold for this much longer.
const MIN_EXTENSION: Duration = Duration::from_millis(500);
/// Time for which a change that was proposed or forwarded counts as known. Servers announce
/// themselves every 0.87 s, so one that got lost is proposed again with the next announcement.
const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(600);
/// Time after the end of an evacuation in which announcements of servers of the zone as warm are
/// ignored: they may have been sent before.
const WARM_HOLD: Duration = Duration::from_secs(1);

/// End of a cold period; `None` for a warm server.
type ColdEnd = Option<MonoTime>;

/// When the cold periods of backend servers end, by this member's clock.
///
/// A record states how long its server stays cold as of its announcement, so each announcement of a
/// cold server differs from the one before. Only those that say something new are worth an entry of
/// the log: this type tells which.
#[derive(Debug, Default)]
pub(super) struct ColdPeriods {
    /// Ends of the cold periods that the log states.
    ends: BTreeMap<ServerIncarnation, MonoTime>,
    /// Changes that were proposed or forwarded, and when.
    proposed: BTreeMap<ServerIncarnation, (ColdEnd, MonoTime)>,
    /// Availability zones whose servers aren't taken as warm, and until when.
    holds: BTreeMap<ZoneName, MonoTime>,
}

impl ColdPeriods {
    /// Records that the log states the cold time of a server.
    pub(super) fn record_applied(&mut self, now: MonoTime, record: &ServerRecord) {
        let incarnation = &record.incarnation;
        self.proposed.remove(incarnation);
        match end_of(now, record) {
            Some(end) => self.ends.insert(incarnation.clone(), end),
            None => self.ends.remove(incarnation),
        };
    }

    /// Returns whether an announcement says something new about the cold period of a server. It
    /// counts as known for a while from then on, as it is proposed or forwarded.
    pub(super) fn is_change(
        &mut self,
        now: MonoTime,
        known: &ServerRecord,
        announced: &ServerRecord,
    ) -> bool {
        let incarnation = &known.incarnation;
        let known_end = self.known_end(now, known);
        let end = end_of(now, announced);
        let is_change = match (known_end, end) {
            (None, None) => false,
            (None, Some(_)) => true,
            (Some(_), None) => !self.is_held(now, &known.zone),
            (Some(known), Some(stated)) => stated > known + MIN_EXTENSION,
        };
        if is_change {
            self.proposed.insert(incarnation.clone(), (end, now));
        }
        is_change
    }

    fn known_end(&mut self, now: MonoTime, known: &ServerRecord) -> ColdEnd {
        let incarnation = &known.incarnation;
        let proposed = self.proposed.get(incarnation);
        let recent = proposed.filter(|(_, at)| now < *at + PROPOSAL_TIMEOUT);
        if let Some((end, _)) = recent {
            return *end;
        }
        // A record from a snapshot may be of any age; it counts from when it is first used.
        let end = end_of(now, known)?;
        Some(*self.ends.entry(incarnation.clone()).or_insert(end))
    }

    /// Returns an announced record whose cold time is not shorter than that of `known`, if the
    /// server is not to be taken as warm at present.
    pub(super) fn without_early_warmth(
        &self,
        now: MonoTime,
        known: Option<&ServerRecord>,
        mut announced: ServerRecord,
    ) -> ServerRecord {
        let known = known.filter(|known| known.incarnation == announced.incarnation);
        if let Some(known) = known
            && announced.cold_for.is_zero()
            && self.is_held(now, &known.zone)
        {
            announced.cold_for = known.cold_for;
        }
        announced
    }

    /// Ignores announcements of a zone's servers as warm for a while.
    pub(super) fn hold_zone(&mut self, now: MonoTime, zone: ZoneName) {
        self.holds.insert(zone, now + WARM_HOLD);
    }

    fn is_held(&self, now: MonoTime, zone: &str) -> bool {
        self.holds.get(zone).is_some_and(|until| now < *until)
    }

    /// Removes what no longer counts.
    pub(super) fn remove_expired(
        &mut self,
        now: MonoTime,
        is_known: impl Fn(&ServerIncarnation) -> bool,
    ) {
        self.ends.retain(|incarnation, _| is_known(incarnation));
        self.proposed
            .retain(|_, (_, at)| now < *at + PROPOSAL_TIMEOUT);
        self.holds.retain(|_, until| now < *until);
    }
}

fn end_of(now: MonoTime, record: &ServerRecord) -> ColdEnd {
    (!record.cold_for.is_zero()).then(|| now + record.cold_for)
}
