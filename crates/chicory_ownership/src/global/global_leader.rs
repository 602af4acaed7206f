//! Unreplicated state of the leader of the global group.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chicory_table::CustodyLease;
use chicory_types::{ClockRateMargin, MonoTime, ServiceName, ZoneName};

use super::global_leader_config::GlobalLeaderConfig;
use crate::{
    CustodyRelease, GlobalState, ZoneDirectory, ZoneSyncAnswer, ZoneSyncRefusal, ZoneSyncRequest,
};

/// Contents and time of the last sync of a zone.
#[derive(Clone, Debug)]
pub(super) struct ZoneContact {
    pub(super) last_contact_at: MonoTime,
    pub(super) group_epoch: u64,
    pub(super) in_force_revision: u64,
    pub(super) known_custody_version: u64,
    pub(super) directory: ZoneDirectory,
    pub(super) releases: Vec<CustodyRelease>,
    /// Services that the zone serves, with the time of the first of the consecutive syncs that
    /// listed them as served.
    pub(super) served_since: BTreeMap<ServiceName, MonoTime>,
    /// Services that the zone does not serve, with the time of the first of the consecutive syncs
    /// that did not list them.
    pub(super) unserved_since: BTreeMap<ServiceName, MonoTime>,
}

/// Unreplicated state of the leader of the global group, collected since its election.
///
/// It must be created at the time of the election. It must be used only while the process is
/// certainly still the leader and has applied every log entry of earlier terms.
#[derive(Clone, Debug)]
pub struct GlobalLeader {
    pub(super) config: GlobalLeaderConfig,
    pub(super) elected_at: MonoTime,
    pub(super) contacts: BTreeMap<ZoneName, ZoneContact>,
    /// Latest possible end of each limited custody lease that this leader granted.
    lease_ends: BTreeMap<(ZoneName, ServiceName), MonoTime>,
    /// Leases that are no longer renewed because the custody is in transfer to another zone.
    pub(super) revoking: BTreeSet<(ZoneName, ServiceName)>,
}

impl GlobalLeader {
    /// Creates the state of a leader elected at `now`.
    #[must_use]
    pub fn new(now: MonoTime, config: GlobalLeaderConfig) -> Self {
        Self {
            config,
            elected_at: now,
            contacts: BTreeMap::new(),
            lease_ends: BTreeMap::new(),
            revoking: BTreeSet::new(),
        }
    }

    /// Answers a zone and renews its custody leases.
    pub fn on_zone_sync(
        &mut self,
        now: MonoTime,
        state: &GlobalState,
        request: &ZoneSyncRequest,
    ) -> ZoneSyncAnswer {
        let registered = state.zones().get(&request.zone).map(|z| z.group_epoch);
        if registered.is_some_and(|epoch| epoch > request.group_epoch) {
            return ZoneSyncAnswer::Refused(ZoneSyncRefusal::SupersededGroup);
        }
        self.record_contact(now, state, request);
        if registered != Some(request.group_epoch) {
            return ZoneSyncAnswer::Refused(ZoneSyncRefusal::Registering);
        }
        let known_version = request.known_custody_version;
        let custody = (known_version < state.custody_version())
            .then(|| state.custody_update(&request.zone, known_version));
        let table =
            (request.in_force_revision < state.table().revision).then(|| state.table().clone());
        ZoneSyncAnswer::Current {
            custody_leases: self.renew_leases(now, state, &request.zone),
            custody_version: state.custody_version(),
            table,
            custody,
            zones: self.changed_directories(request),
        }
    }

    /// Returns the directories of other zones of which the requesting zone does not have the
    /// current version.
    fn changed_directories(&self, request: &ZoneSyncRequest) -> Vec<ZoneDirectory> {
        let directories = self.contacts.values().map(|contact| &contact.directory);
        let is_changed = |directory: &&ZoneDirectory| {
            let known = request.known_directories.get(&directory.zone);
            let fingerprint = ZoneDirectory::fingerprint(&directory.entries);
            directory.zone != request.zone && known != Some(&fingerprint)
        };
        directories.filter(is_changed).cloned().collect()
    }

    /// Returns the time at which [`plan`](Self::plan) should run next even if no message arrives.
    #[must_use]
    pub fn next_wakeup(&self, now: MonoTime) -> MonoTime {
        now + PLAN_INTERVAL
    }

    /// Returns the entry processes that the zone last reported, or an empty directory for a zone
    /// that has not synced with this leader.
    #[must_use]
    pub fn directory_of(&self, zone: &ZoneName) -> ZoneDirectory {
        let unknown = || ZoneDirectory {
            zone: zone.clone(),
            entries: Vec::new(),
        };
        let contact = self.contacts.get(zone);
        contact.map_or_else(unknown, |contact| contact.directory.clone())
    }

    /// Returns whether the last sync of the zone is within the contact limit.
    #[must_use]
    pub fn is_reachable(&self, now: MonoTime, zone: &ZoneName) -> bool {
        let limit = self.config.zone_contact_limit;
        let contact = self.contacts.get(zone);
        contact.is_some_and(|contact| now < contact.last_contact_at + limit)
    }

    /// Returns whether the custody lease of a zone has certainly ended, given that the limited
    /// lease is in force there.
    pub(super) fn has_lease_ended(
        &self,
        now: MonoTime,
        zone: &ZoneName,
        service: &ServiceName,
        lease: Duration,
    ) -> bool {
        let key = (zone.clone(), service.clone());
        let unknown_end = ClockRateMargin::lease_expiry_for_grantor(self.elected_at, lease);
        now >= self.lease_ends.get(&key).copied().unwrap_or(unknown_end)
    }

    fn record_contact(&mut self, now: MonoTime, state: &GlobalState, request: &ZoneSyncRequest) {
        let former = self.contacts.get(&request.zone);
        let served_since =
            since_when_true(now, state, former.map(|f| &f.served_since), |service| {
                request.served.contains(service)
            });
        let unserved_since =
            since_when_true(now, state, former.map(|f| &f.unserved_since), |service| {
                !request.served.contains(service)
            });
        let contact = ZoneContact {
            last_contact_at: now,
            group_epoch: request.group_epoch,
            in_force_revision: request.in_force_revision,
            known_custody_version: request.known_custody_version,
            directory: ZoneDirectory {
                zone: request.zone.clone(),
                entries: request.entries.clone(),
            },
            releases: request.releases.clone(),
            served_since,
            unserved_since,
        };
        self.contacts.insert(request.zone.clone(), contact);
    }

    fn renew_leases(
        &mut self,
        now: MonoTime,
        state: &GlobalState,
        zone: &ZoneName,
    ) -> BTreeMap<ServiceName, CustodyLease> {
        let services = state.table().services.iter();
        let kept = services.filter(|(_, policy)| policy.has_custody());
        kept.map(|(service, policy)| {
            let lease = self.renew_lease(now, zone, service, policy.custody_lease);
            (service.clone(), lease)
        })
        .collect()
    }

    fn renew_lease(
        &mut self,
        now: MonoTime,
        zone: &ZoneName,
        service: &ServiceName,
        lease: CustodyLease,
    ) -> CustodyLease {
        let CustodyLease::Limited(span) = lease else {
            return lease;
        };
        let key = (zone.clone(), service.clone());
        if self.revoking.contains(&key) {
            return CustodyLease::Limited(Duration::ZERO);
        }
        let end = ClockRateMargin::lease_expiry_for_grantor(now, span);
        let known = self.lease_ends.entry(key).or_insert(end);
        *known = end.max(*known);
        lease
    }
}

/// Returns the services for which `holds` is true, with the time since when it has been.
fn since_when_true(
    now: MonoTime,
    state: &GlobalState,
    former: Option<&BTreeMap<ServiceName, MonoTime>>,
    holds: impl Fn(&ServiceName) -> bool,
) -> BTreeMap<ServiceName, MonoTime> {
    let services = state
        .table()
        .services
        .keys()
        .filter(|service| holds(service));
    services
        .map(|service| {
            let known = former.and_then(|former| former.get(service)).copied();
            (service.clone(), known.unwrap_or(now))
        })
        .collect()
}

/// Maximum time between two runs of the planner.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);
