//! Custody leases that the leader of a zone group holds.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_table::CustodyLease;
use chicory_types::{ClockRateMargin, MonoTime, ServiceName};

use crate::ZoneState;

/// Custody leases granted by one answer of the global group.
#[derive(Clone, Debug)]
struct CustodyGrant {
    sent_at: MonoTime,
    version: u64,
    leases: BTreeMap<ServiceName, CustodyLease>,
}

/// Custody leases that the leader of a zone group holds from the global group.
///
/// New leases take effect only once the custody version that they were granted for is in force in
/// the zone. Until then the former leases apply.
#[derive(Clone, Debug, Default)]
pub struct CustodyLeases {
    current: Option<CustodyGrant>,
    pending: Option<CustodyGrant>,
}

impl CustodyLeases {
    /// Records the leases of an answer to a request sent at `sent_at`, unless a later request was
    /// already answered.
    pub fn record_answer(
        &mut self,
        sent_at: MonoTime,
        version: u64,
        leases: BTreeMap<ServiceName, CustodyLease>,
    ) {
        let is_outdated = |known: &Option<CustodyGrant>| {
            known.as_ref().is_some_and(|grant| grant.sent_at > sent_at)
        };
        if is_outdated(&self.current) || is_outdated(&self.pending) {
            return;
        }
        self.pending = Some(CustodyGrant {
            sent_at,
            version,
            leases,
        });
    }

    /// Activates the pending leases if their custody version is in force.
    pub fn activate_pending(&mut self, state: &ZoneState) {
        let is_in_force = |grant: &CustodyGrant| grant.version <= state.custody_version();
        if self.pending.as_ref().is_some_and(is_in_force) {
            self.current = self.pending.take();
        }
    }

    /// Returns how long the zone's custody of the service's slots still lasts, or `None` if it is
    /// unlimited.
    #[must_use]
    pub fn time_left(
        &self,
        now: MonoTime,
        state: &ZoneState,
        service: &ServiceName,
    ) -> Option<Duration> {
        let policy = state.table().services.get(service)?;
        let CustodyLease::Limited(span) = policy.custody_lease else {
            return None;
        };
        let Some(grant) = &self.current else {
            return Some(Duration::ZERO);
        };
        let span = match grant.leases.get(service) {
            Some(CustodyLease::Limited(granted)) => span.min(*granted),
            Some(CustodyLease::Unlimited) => span,
            None => Duration::ZERO,
        };
        let end = ClockRateMargin::lease_expiry_for_holder(grant.sent_at, span);
        Some(end.saturating_sub(now))
    }

    /// Returns when the most recent answered request was sent.
    #[must_use]
    pub fn last_sent_at(&self) -> Option<MonoTime> {
        let newest = self.pending.as_ref().or(self.current.as_ref());
        newest.map(|grant| grant.sent_at)
    }
}
