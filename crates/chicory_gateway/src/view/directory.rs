//! The directory as an entry VM follows it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use chicory_directory::{
    DirectoryPosition, DirectoryUpdate, DirectoryVersion, ServerRecord, ServerState,
};
use chicory_ranges::{Key, OwnedRange, OwnerMap, ServerIncarnation};
use chicory_routes::{RouteMatcher, RouteTable, RouteTableDelta};

use chicory_types::{MonoTime, ServerId, ServiceName};

use super::cold_servers::ColdServers;
use super::{Evacuations, UpdateOutcome};

/// Time for which incarnations that have ended are remembered. It is longer than the directory of an
/// entry VM in contact with control VMs can lag behind that of another one.
const ENDED_MEMORY: Duration = Duration::from_mins(1);

/// Routes, servers and owners of keys, as of one version.
///
/// The version never decreases, whichever control VM the updates come from.
///
/// # Examples
///
/// ```
/// use chicory_directory::DirectoryUpdate;
/// use chicory_gateway::{Directory, UpdateOutcome};
/// use std::time::Duration;
///
/// let mut directory = Directory::default();
/// let update = DirectoryUpdate { version: 3, is_full: true, ..DirectoryUpdate::default() };
/// assert_eq!(directory.apply(Duration::ZERO, update), UpdateOutcome::Changed);
/// assert_eq!(directory.version(), 3);
/// ```
#[derive(Debug, Default)]
pub struct Directory {
    position: DirectoryPosition,
    /// Whether an update is missing, so that the next control VM has to send the whole directory.
    is_incomplete: bool,
    routes: Arc<RouteTable>,
    matcher: RouteMatcher,
    keyed: BTreeSet<ServiceName>,
    servers: BTreeMap<ServerId, ServerRecord>,
    /// Time at which this entry VM first learned of each server's current incarnation.
    known_since: BTreeMap<ServerIncarnation, MonoTime>,
    draining_since: BTreeMap<ServerIncarnation, MonoTime>,
    /// Time at which this entry VM learned that an incarnation had ended.
    ended_at: BTreeMap<ServerIncarnation, MonoTime>,
    owners: BTreeMap<ServiceName, OwnerMap>,
    cold: ColdServers,
    evacuations: Evacuations,
}

impl Directory {
    /// Applies an update.
    pub fn apply(&mut self, now: MonoTime, update: DirectoryUpdate) -> UpdateOutcome {
        let known = self.position.version;
        if update.version < known || (update.version == known && !update.is_full) {
            return UpdateOutcome::Older;
        }
        let mut routes = update.routes.iter();
        if !routes.all(|delta| delta.applies_to(&self.routes)) {
            self.is_incomplete = true;
            return UpdateOutcome::UnknownBase;
        }
        self.is_incomplete &= !update.is_full;
        self.position.version = update.version;
        self.position.last_fence = update.last_fence;
        if update.is_full {
            self.servers.clear();
            self.owners.clear();
        }
        if let Some(routes) = update.routes
            && routes.version >= self.routes.version
        {
            self.apply_routes(routes);
        }
        for incarnation in update.removed {
            let known = self.servers.get(&incarnation.server);
            if known
                .is_some_and(|known| known.incarnation.started_at_ms <= incarnation.started_at_ms)
            {
                self.servers.remove(&incarnation.server);
            }
        }
        for record in update.servers {
            self.put_server(now, record);
        }
        for service_ranges in update.ranges {
            let owners = self.owners.entry(service_ranges.service).or_default();
            for owned in service_ranges.ranges {
                owners.put(owned);
            }
        }
        match update.evacuated_zones {
            Some(zones) => self.evacuations.replace(now, zones),
            None => self.evacuations.record_update(),
        }
        self.forget_removed_servers(now);
        UpdateOutcome::Changed
    }

    fn apply_routes(&mut self, delta: RouteTableDelta) {
        self.matcher.apply(&delta);
        let previous = std::mem::take(&mut self.routes);
        let routes = delta.apply(Arc::unwrap_or_clone(previous));
        let keyed = routes.services.iter().filter(|s| s.is_keyed == Some(true));
        self.cold.record_routes(&routes);
        self.keyed = keyed.map(|service| service.name.clone()).collect();
        self.position.routes_version = routes.version;
        self.routes = Arc::new(routes);
    }

    fn put_server(&mut self, now: MonoTime, record: ServerRecord) {
        self.ended_at.remove(&record.incarnation);
        self.known_since
            .entry(record.incarnation.clone())
            .or_insert(now);
        if record.state == ServerState::Draining {
            self.draining_since
                .entry(record.incarnation.clone())
                .or_insert(now);
        }
        self.cold.record(now, &record);
        self.servers
            .insert(record.incarnation.server.clone(), record);
    }

    fn forget_removed_servers(&mut self, now: MonoTime) {
        let servers = &self.servers;
        let is_known = |incarnation: &ServerIncarnation| {
            let known = servers.get(&incarnation.server);
            known.is_some_and(|known| known.incarnation == *incarnation)
        };
        self.ended_at.retain(|_, at| now < *at + ENDED_MEMORY);
        let ended = self
            .known_since
            .extract_if(.., |incarnation, _| !is_known(incarnation));
        self.ended_at
            .extend(ended.map(|(incarnation, _)| (incarnation, now)));
        self.draining_since
            .retain(|incarnation, _| is_known(incarnation));
        self.cold.retain(is_known);
    }

    /// Returns the requests per second that a server bears from all entry VMs together because it is
    /// cold; `None` if it is warm or its service has no cold limit.
    #[must_use]
    pub fn cold_rate_per_s(&self, now: MonoTime, incarnation: &ServerIncarnation) -> Option<f64> {
        self.cold.rate_per_s(now, self.server(incarnation)?)
    }

    /// Returns whether the route table limits the requests to cold servers of a service.
    #[must_use]
    pub fn has_cold_limit(&self, service: &str) -> bool {
        self.cold.has_limit(service)
    }

    /// Returns when this entry VM received the record that says that a server is cold.
    #[must_use]
    pub fn cold_since(&self, incarnation: &ServerIncarnation) -> Option<MonoTime> {
        self.cold.since(incarnation)
    }

    /// Returns the number of servers that are cold and have a cold limit.
    #[must_use]
    pub fn cold_count(&self, now: MonoTime) -> usize {
        let servers = self.servers.values();
        servers
            .filter(|record| self.cold.rate_per_s(now, record).is_some())
            .count()
    }

    /// Returns the version of the directory; 0 before the first update.
    #[must_use]
    pub fn version(&self) -> DirectoryVersion {
        self.position.version
    }

    /// Records that an update was lost, so that the next control VM sends the whole directory.
    pub fn set_incomplete(&mut self) {
        self.is_incomplete = true;
    }

    /// Returns the position of this directory, from which a control VM continues with updates. It
    /// is the default position if an update is missing.
    #[must_use]
    pub fn position(&self) -> DirectoryPosition {
        if self.is_incomplete {
            return DirectoryPosition::default();
        }
        self.position
    }

    /// Returns the route table in force.
    #[must_use]
    pub fn routes(&self) -> &Arc<RouteTable> {
        &self.routes
    }

    /// Returns the matcher that finds the routes of requests.
    #[must_use]
    pub fn matcher(&self) -> &RouteMatcher {
        &self.matcher
    }

    /// Whether servers of the service own keys exclusively.
    #[must_use]
    pub fn is_keyed(&self, service: &str) -> bool {
        self.keyed.contains(service)
    }

    /// Returns the servers of a service that accept new work; those of evacuated availability zones
    /// don't.
    pub fn ready_servers<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a ServerRecord> + 'a {
        let servers = self.servers.values();
        servers
            .filter(move |record| record.service == service && record.state == ServerState::Ready)
            .filter(|record| !self.evacuations.contains(&record.zone))
    }

    /// Returns the evacuated availability zones.
    #[must_use]
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Records contact to a majority of control VMs.
    pub fn record_contact(&mut self, now: MonoTime) {
        self.evacuations.record_contact(now);
    }

    /// Returns all servers.
    pub fn servers(&self) -> impl Iterator<Item = &ServerRecord> {
        self.servers.values()
    }

    /// Returns the record of this incarnation, or `None` if the server is unknown or
    /// has started again.
    #[must_use]
    pub fn server(&self, incarnation: &ServerIncarnation) -> Option<&ServerRecord> {
        let record = self.servers.get(&incarnation.server)?;
        (record.incarnation == *incarnation).then_some(record)
    }

    /// Whether this incarnation was removed or replaced by a later start of the server. Incarnations
    /// that were removed over a minute ago are no longer remembered.
    #[must_use]
    pub fn has_ended(&self, incarnation: &ServerIncarnation) -> bool {
        let known = self.servers.get(&incarnation.server);
        let is_replaced =
            known.is_some_and(|known| known.incarnation.started_at_ms > incarnation.started_at_ms);
        is_replaced || self.ended_at.contains_key(incarnation)
    }

    /// Returns the owner of a key according to the directory.
    #[must_use]
    pub fn owner(&self, service: &str, key: Key) -> Option<&OwnedRange> {
        self.owners.get(service)?.owner(key)
    }

    /// Returns the time at which this entry VM learned that a server drains.
    #[must_use]
    pub fn draining_since(&self, incarnation: &ServerIncarnation) -> Option<MonoTime> {
        self.draining_since.get(incarnation).copied()
    }

    /// Returns the time at which this entry VM first learned of an incarnation.
    #[must_use]
    pub fn known_since(&self, incarnation: &ServerIncarnation) -> Option<MonoTime> {
        self.known_since.get(incarnation).copied()
    }
}
