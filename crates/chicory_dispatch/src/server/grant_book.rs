//! The grants of one backend server and the slots that it has to give up.

use std::time::Duration;

use chicory_types::{ClockRateMargin, FencingToken, MonoTime, Slot, SlotRun};

use crate::GrantedRun;
use crate::view::Holdings;

/// Bits of a grants version below the dispatcher's epoch.
const VERSION_BITS: u32 = 24;

/// Slots that the server must no longer serve.
#[derive(Clone, Debug)]
struct Release {
    slots: Vec<Slot>,
    /// First version of the grants without the slots.
    version: u64,
    /// When the last lease of an older version has ended.
    outwaited_at: MonoTime,
}

/// The grants of one backend server and the slots that it has to give up.
#[derive(Clone, Debug)]
pub(crate) struct GrantBook {
    version: u64,
    owned: Vec<(Slot, FencingToken)>,
    releases: Vec<Release>,
    lease_end: MonoTime,
    acked_version: u64,
}

impl GrantBook {
    /// Starts the book of a role taken over at `now`: the former dispatcher may have granted up to
    /// then.
    pub(crate) fn new(epoch: u64, server_lease: Duration, now: MonoTime) -> Self {
        Self {
            version: (epoch << VERSION_BITS) + 1,
            owned: Vec::new(),
            releases: Vec::new(),
            lease_end: ClockRateMargin::grantor_end(now, server_lease),
            acked_version: 0,
        }
    }

    /// When all leases granted so far have ended.
    pub(crate) fn lease_end(&self) -> MonoTime {
        self.lease_end
    }

    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Takes over what the view says of the server's slots.
    pub(crate) fn sync(&mut self, holdings: Holdings) {
        let fresh: Vec<Slot> = self.not_yet_releasing(&holdings.releasing);
        if holdings.owned != self.owned || !fresh.is_empty() {
            self.version += 1;
            self.owned = holdings.owned;
        }
        for release in &mut self.releases {
            let still = |slot: &Slot| holdings.releasing.binary_search(slot).is_ok();
            release.slots.retain(still);
        }
        self.releases.retain(|release| !release.slots.is_empty());
        if !fresh.is_empty() {
            self.releases.push(Release {
                slots: fresh,
                version: self.version,
                outwaited_at: self.lease_end,
            });
        }
    }

    fn not_yet_releasing(&self, releasing: &[Slot]) -> Vec<Slot> {
        let known = |slot: &Slot| {
            self.releases
                .iter()
                .any(|r| r.slots.binary_search(slot).is_ok())
        };
        releasing.iter().copied().filter(|s| !known(s)).collect()
    }

    /// Notes the version that the server says it has.
    pub(crate) fn acknowledge(&mut self, version: u64) {
        if version <= self.version {
            self.acked_version = version;
        }
    }

    /// Notes that the server was granted a lease on the present version.
    pub(crate) fn granted(&mut self, now: MonoTime, lease: Duration) {
        let end = ClockRateMargin::grantor_end(now, lease);
        self.lease_end = self.lease_end.max(end);
    }

    /// The grants, packed.
    pub(crate) fn runs(&self) -> Vec<GrantedRun> {
        let mut runs: Vec<GrantedRun> = Vec::new();
        for (slot, token) in &self.owned {
            match runs.last_mut() {
                Some(last) if last.run.last + 1 == *slot && last.token == *token => {
                    last.run.last = *slot;
                }
                _ => runs.push(GrantedRun {
                    run: SlotRun::new(*slot, *slot),
                    token: *token,
                }),
            }
        }
        runs
    }

    /// Slots that the server can't serve any more, given the slots still in flight.
    pub(crate) fn released(&self, now: MonoTime, in_flight: &[Slot]) -> Vec<SlotRun> {
        let is_over = |r: &&Release| self.acked_version >= r.version || now >= r.outwaited_at;
        let ended = self.releases.iter().filter(is_over);
        let mut slots: Vec<Slot> = ended
            .flat_map(|release| release.slots.iter().copied())
            .filter(|slot| !in_flight.contains(slot))
            .collect();
        slots.sort_unstable();
        SlotRun::from_slots(slots)
    }
}
