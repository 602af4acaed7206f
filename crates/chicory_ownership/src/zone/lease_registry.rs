//! Leases that a leader granted to entry processes.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_types::{ClockRateMargin, Incarnation, MonoTime, VmId};

/// Leases that a leader granted to entry processes, with their latest possible end.
///
/// Leases granted by former leaders are unknown. Every process therefore counts as a holder until a
/// full lease after the election.
#[derive(Clone, Debug)]
pub struct LeaseRegistry {
    unknown_end: MonoTime,
    ends: BTreeMap<(VmId, Incarnation), MonoTime>,
}

impl LeaseRegistry {
    /// Creates the registry of a leader elected at `elected_at`.
    #[must_use]
    pub fn new(elected_at: MonoTime, lease: Duration) -> Self {
        Self {
            unknown_end: ClockRateMargin::lease_expiry_for_grantor(elected_at, lease),
            ends: BTreeMap::new(),
        }
    }

    /// Records a lease granted at `now`.
    pub fn grant(&mut self, now: MonoTime, vm: &VmId, incarnation: Incarnation, lease: Duration) {
        let end = ClockRateMargin::lease_expiry_for_grantor(now, lease);
        let known = self.ends.entry((vm.clone(), incarnation)).or_default();
        *known = end.max(*known);
    }

    /// Returns when the process certainly holds no lease any more.
    #[must_use]
    pub fn end_of(&self, vm: &VmId, incarnation: Incarnation) -> MonoTime {
        let known = self.ends.get(&(vm.clone(), incarnation));
        known.map_or(self.unknown_end, |end| self.unknown_end.max(*end))
    }

    /// Returns whether the process renewed with this leader and may still hold the lease.
    #[must_use]
    pub fn is_live(&self, now: MonoTime, vm: &VmId, incarnation: Incarnation) -> bool {
        let known = self.ends.get(&(vm.clone(), incarnation));
        known.is_some_and(|end| now < *end)
    }

    /// Returns the latest incarnation of the VM's entry process that renewed with this leader.
    #[must_use]
    pub fn last_incarnation(&self, vm: &VmId) -> Option<Incarnation> {
        let starts = (vm.clone(), Incarnation::MIN)..=(vm.clone(), Incarnation::MAX);
        self.ends
            .range(starts)
            .next_back()
            .map(|((_, latest), _)| *latest)
    }

    /// Returns when every lease of a former leader has certainly ended.
    #[must_use]
    pub fn unknown_end(&self) -> MonoTime {
        self.unknown_end
    }

    /// Removes leases that ended before `now`, except that of the latest incarnation of each VM.
    pub fn forget_ended(&mut self, now: MonoTime) {
        let last: BTreeMap<VmId, Incarnation> = self.ends.keys().cloned().collect();
        self.ends
            .retain(|(vm, incarnation), end| now < *end || last[vm] == *incarnation);
    }

    /// Returns the earliest end of a lease after `now`, including the leases of former leaders.
    #[must_use]
    pub fn next_end(&self, now: MonoTime) -> Option<MonoTime> {
        let ends = self.ends.values().copied();
        ends.chain([self.unknown_end])
            .filter(|end| *end > now)
            .min()
    }
}
