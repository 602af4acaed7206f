//! The grants of one backend server and the slots that it has to release.

use std::time::Duration;

use chicory_types::{ClockRateMargin, FencingToken, MonoTime, Slot, SlotRun};

use crate::GrantedRun;
use crate::view::ServerSlots;

/// Number of bits in a grants version below the dispatcher's epoch.
const VERSION_BITS: u32 = 24;

/// Slots that the server has to stop serving before they can get another owner.
#[derive(Clone, Debug)]
struct PendingRelease {
    slots: Vec<Slot>,
    /// First version of the grants without these slots.
    version: u64,
    /// When the last lease on an earlier version, which still contains the slots, has ended.
    grant_expiry: MonoTime,
}

/// The grants of one backend server and the slots that it has to release.
#[derive(Clone, Debug)]
pub(crate) struct GrantRegistry {
    version: u64,
    owned: Vec<(Slot, FencingToken)>,
    releases: Vec<PendingRelease>,
    lease_end: MonoTime,
    acknowledged_version: u64,
}

impl GrantRegistry {
    /// Creates the registry for a dispatcher role taken over at `now`.
    ///
    /// The previous dispatcher may have granted leases until `now`, so the registry treats a lease
    /// granted at `now` as outstanding.
    pub(crate) fn new(epoch: u64, server_lease: Duration, now: MonoTime) -> Self {
        Self {
            version: (epoch << VERSION_BITS) + 1,
            owned: Vec::new(),
            releases: Vec::new(),
            lease_end: ClockRateMargin::lease_expiry_for_grantor(now, server_lease),
            acknowledged_version: 0,
        }
    }

    /// Returns the time at which all leases granted so far have ended.
    pub(crate) fn lease_end(&self) -> MonoTime {
        self.lease_end
    }

    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Applies the slots of the server in the view.
    pub(crate) fn sync(&mut self, server_slots: ServerSlots) {
        let newly_releasing: Vec<Slot> = self.not_yet_releasing(&server_slots.releasing);
        if server_slots.owned != self.owned || !newly_releasing.is_empty() {
            self.version += 1;
            self.owned = server_slots.owned;
        }
        for release in &mut self.releases {
            let is_still_releasing =
                |slot: &Slot| server_slots.releasing.binary_search(slot).is_ok();
            release.slots.retain(is_still_releasing);
        }
        self.releases.retain(|release| !release.slots.is_empty());
        if !newly_releasing.is_empty() {
            self.releases.push(PendingRelease {
                slots: newly_releasing,
                version: self.version,
                grant_expiry: self.lease_end,
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

    /// Records the grants version that the server reports to have.
    pub(crate) fn acknowledge(&mut self, version: u64) {
        if version <= self.version {
            self.acknowledged_version = version;
        }
    }

    /// Records that the server was granted a lease on the current version.
    pub(crate) fn record_grant(&mut self, now: MonoTime, lease: Duration) {
        let end = ClockRateMargin::lease_expiry_for_grantor(now, lease);
        self.lease_end = self.lease_end.max(end);
    }

    /// Returns the grants, as runs of adjacent slots with the same token.
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

    /// Returns the slots that the server certainly doesn't serve any more, except those in
    /// `in_flight`.
    ///
    /// That holds once the server has acknowledged grants without the slots, or once all leases on
    /// grants with them have ended.
    pub(crate) fn released(&self, now: MonoTime, in_flight: &[Slot]) -> Vec<SlotRun> {
        let is_over =
            |r: &&PendingRelease| self.acknowledged_version >= r.version || now >= r.grant_expiry;
        let ended = self.releases.iter().filter(is_over);
        let mut slots: Vec<Slot> = ended
            .flat_map(|release| release.slots.iter().copied())
            .filter(|slot| !in_flight.contains(slot))
            .collect();
        slots.sort_unstable();
        SlotRun::from_slots(slots)
    }
}
