//! The leases that a leader gave to entry processes.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_types::{ClockRateMargin, Incarnation, MonoTime, VmId};

/// The leases that a leader gave to entry processes, by their latest possible end.
///
/// Leases of former leaders are unknown: each process counts as a holder until a full lease after
/// the election.
#[derive(Clone, Debug)]
pub struct LeaseRegistry {
    unknown_end: MonoTime,
    ends: BTreeMap<(VmId, Incarnation), MonoTime>,
}

impl LeaseRegistry {
    /// Creates the book of a leader elected at `elected_at`.
    #[must_use]
    pub fn new(elected_at: MonoTime, lease: Duration) -> Self {
        Self {
            unknown_end: ClockRateMargin::lease_expiry_for_grantor(elected_at, lease),
            ends: BTreeMap::new(),
        }
    }

    /// Notes a lease answered at `now`.
    pub fn grant(&mut self, now: MonoTime, vm: &VmId, incarnation: Incarnation, lease: Duration) {
        let end = ClockRateMargin::lease_expiry_for_grantor(now, lease);
        let known = self.ends.entry((vm.clone(), incarnation)).or_default();
        *known = end.max(*known);
    }

    /// When the process surely holds no lease any more.
    #[must_use]
    pub fn end_of(&self, vm: &VmId, incarnation: Incarnation) -> MonoTime {
        let known = self.ends.get(&(vm.clone(), incarnation));
        known.map_or(self.unknown_end, |end| self.unknown_end.max(*end))
    }

    /// Whether the process renewed with this leader and still holds the lease.
    #[must_use]
    pub fn is_live(&self, now: MonoTime, vm: &VmId, incarnation: Incarnation) -> bool {
        let known = self.ends.get(&(vm.clone(), incarnation));
        known.is_some_and(|end| now < *end)
    }

    /// The greatest start of the VM that renewed with this leader.
    #[must_use]
    pub fn last_incarnation(&self, vm: &VmId) -> Option<Incarnation> {
        let starts = (vm.clone(), Incarnation::MIN)..=(vm.clone(), Incarnation::MAX);
        self.ends.range(starts).next_back().map(|((_, i), _)| *i)
    }

    /// When every lease of a former leader has surely ended.
    #[must_use]
    pub fn unknown_end(&self) -> MonoTime {
        self.unknown_end
    }

    /// Forgets leases that ended before `now`, but for the last start of each VM.
    pub fn forget_ended(&mut self, now: MonoTime) {
        let last: BTreeMap<VmId, Incarnation> = self.ends.keys().cloned().collect();
        self.ends
            .retain(|(vm, incarnation), end| now < *end || last[vm] == *incarnation);
    }

    /// The earliest end after `now`.
    #[must_use]
    pub fn next_end(&self, now: MonoTime) -> Option<MonoTime> {
        let ends = self.ends.values().copied();
        ends.chain([self.unknown_end])
            .filter(|end| *end > now)
            .min()
    }
}
