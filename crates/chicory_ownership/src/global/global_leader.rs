//! What the leader of the global group knows beside the replicated state.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chicory_table::CustodyLease;
use chicory_types::{ClockRateMargin, MonoTime, ServiceName, ZoneName};

use super::global_leader_config::GlobalLeaderConfig;
use crate::{
    CustodyRelease, GlobalState, ZoneDirectory, ZoneSyncAnswer, ZoneSyncRefusal, ZoneSyncRequest,
};

/// A zone as the leader last heard of it.
#[derive(Clone, Debug)]
pub(super) struct ZoneContact {
    pub(super) last_contact_at: MonoTime,
    pub(super) group_epoch: u64,
    pub(super) in_force_revision: u64,
    pub(super) known_custody_version: u64,
    pub(super) directory: ZoneDirectory,
    pub(super) releases: Vec<CustodyRelease>,
    /// Services that the zone serves, with the first sync that said so in a row.
    pub(super) served_since: BTreeMap<ServiceName, MonoTime>,
    /// Services that the zone doesn't serve, likewise.
    pub(super) unserved_since: BTreeMap<ServiceName, MonoTime>,
}

/// What the leader of the global group knows beside the replicated state, from its election on.
///
/// It must be created at the moment of the election and asked only while the process is surely
/// still the leader, with every entry of earlier terms applied.
#[derive(Clone, Debug)]
pub struct GlobalLeader {
    pub(super) config: GlobalLeaderConfig,
    pub(super) elected_at: MonoTime,
    pub(super) contacts: BTreeMap<ZoneName, ZoneContact>,
    /// When each limited custody lease that this leader gave ends at the latest.
    lease_ends: BTreeMap<(ZoneName, ServiceName), MonoTime>,
    /// Leases that are ended for good: custody is on its way to another zone.
    pub(super) revoking: BTreeSet<(ZoneName, ServiceName)>,
}

impl GlobalLeader {
    /// Creates the leader at its election.
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

    /// Entry processes of other zones that the zone doesn't know as they are.
    fn changed_directories(&self, request: &ZoneSyncRequest) -> Vec<ZoneDirectory> {
        let directories = self.contacts.values().map(|contact| &contact.directory);
        let is_changed = |directory: &&ZoneDirectory| {
            let known = request.known_directories.get(&directory.zone);
            let fingerprint = ZoneDirectory::fingerprint(&directory.entries);
            directory.zone != request.zone && known != Some(&fingerprint)
        };
        directories.filter(is_changed).cloned().collect()
    }

    /// The earliest moment at which [`plan`](Self::plan) has something to do by itself.
    #[must_use]
    pub fn next_wakeup(&self, now: MonoTime) -> MonoTime {
        now + PLAN_INTERVAL
    }

    /// The zone's entry processes, as it last told of them; none for a zone never heard of.
    #[must_use]
    pub fn directory_of(&self, zone: &ZoneName) -> ZoneDirectory {
        let unknown = || ZoneDirectory {
            zone: zone.clone(),
            entries: Vec::new(),
        };
        let contact = self.contacts.get(zone);
        contact.map_or_else(unknown, |contact| contact.directory.clone())
    }

    /// Whether the zone was heard of lately.
    #[must_use]
    pub fn is_reachable(&self, now: MonoTime, zone: &ZoneName) -> bool {
        let limit = self.config.zone_contact_limit;
        let contact = self.contacts.get(zone);
        contact.is_some_and(|contact| now < contact.last_contact_at + limit)
    }

    /// Whether the custody lease of a zone that knows it as limited has surely ended.
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

/// Since when `holds` is true of each service, as far as it is.
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

/// How often the leader plans at the latest.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);
