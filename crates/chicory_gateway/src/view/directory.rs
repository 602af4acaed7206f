//! The directory as an entry VM follows it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use chicory_directory::{
    DirectoryMark, DirectoryUpdate, DirectoryVersion, ServerRecord, ServerState,
};
use chicory_ranges::{Key, OwnedRange, OwnerMap, ServerIncarnation};
use chicory_routes::{RouteMatcher, RouteTable, RouteTableDelta};

use chicory_types::{MonoTime, ServerId, ServiceName};

use super::UpdateOutcome;

/// Routes, servers and owners of keys, as of one version.
///
/// It never goes back to an older version, whichever control VM it listens to.
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
    mark: DirectoryMark,
    /// Something is missing: the next control VM has to tell everything.
    is_incomplete: bool,
    routes: Arc<RouteTable>,
    matcher: RouteMatcher,
    keyed: BTreeSet<ServiceName>,
    servers: BTreeMap<ServerId, ServerRecord>,
    /// When each server was first known here, with its present life.
    known_since: BTreeMap<ServerIncarnation, MonoTime>,
    draining_since: BTreeMap<ServerIncarnation, MonoTime>,
    owners: BTreeMap<ServiceName, OwnerMap>,
}

impl Directory {
    /// Takes in an update.
    pub fn apply(&mut self, now: MonoTime, update: DirectoryUpdate) -> UpdateOutcome {
        let known = self.mark.version;
        if update.version < known || (update.version == known && !update.is_full) {
            return UpdateOutcome::Older;
        }
        let mut routes = update.routes.iter();
        if !routes.all(|delta| delta.applies_to(&self.routes)) {
            self.is_incomplete = true;
            return UpdateOutcome::Unfit;
        }
        self.is_incomplete &= !update.is_full;
        self.mark.version = update.version;
        self.mark.last_fence = update.last_fence;
        if update.is_full {
            self.servers.clear();
            self.owners.clear();
        }
        if let Some(routes) = update.routes
            && routes.version >= self.routes.version
        {
            self.change_routes(routes);
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
        for of_service in update.ranges {
            let owners = self.owners.entry(of_service.service).or_default();
            for owned in of_service.ranges {
                owners.put(owned);
            }
        }
        self.forget_gone();
        UpdateOutcome::Changed
    }

    fn change_routes(&mut self, delta: RouteTableDelta) {
        self.matcher.apply(&delta);
        let former = std::mem::take(&mut self.routes);
        let routes = delta.apply(Arc::unwrap_or_clone(former));
        let keyed = routes.services.iter().filter(|s| s.is_keyed == Some(true));
        self.keyed = keyed.map(|service| service.name.clone()).collect();
        self.mark.routes_version = routes.version;
        self.routes = Arc::new(routes);
    }

    fn put_server(&mut self, now: MonoTime, record: ServerRecord) {
        self.known_since
            .entry(record.incarnation.clone())
            .or_insert(now);
        if record.state == ServerState::Draining {
            self.draining_since
                .entry(record.incarnation.clone())
                .or_insert(now);
        }
        self.servers
            .insert(record.incarnation.server.clone(), record);
    }

    fn forget_gone(&mut self) {
        let servers = &self.servers;
        let is_known = |incarnation: &ServerIncarnation| {
            let known = servers.get(&incarnation.server);
            known.is_some_and(|known| known.incarnation == *incarnation)
        };
        self.known_since
            .retain(|incarnation, _| is_known(incarnation));
        self.draining_since
            .retain(|incarnation, _| is_known(incarnation));
    }

    /// Version of the directory; 0 before the first update.
    #[must_use]
    pub fn version(&self) -> DirectoryVersion {
        self.mark.version
    }

    /// Asks the next control VM for everything: an update was lost.
    pub fn set_incomplete(&mut self) {
        self.is_incomplete = true;
    }

    /// What this entry VM has, for a control VM to take it from there.
    #[must_use]
    pub fn mark(&self) -> DirectoryMark {
        if self.is_incomplete {
            return DirectoryMark::default();
        }
        self.mark
    }

    /// The route table in force.
    #[must_use]
    pub fn routes(&self) -> &Arc<RouteTable> {
        &self.routes
    }

    /// Finds routes of requests.
    #[must_use]
    pub fn matcher(&self) -> &RouteMatcher {
        &self.matcher
    }

    /// Whether servers of the service own keys exclusively.
    #[must_use]
    pub fn is_keyed(&self, service: &str) -> bool {
        self.keyed.contains(service)
    }

    /// Servers of a service that take new work.
    pub fn ready_servers<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a ServerRecord> + 'a {
        let servers = self.servers.values();
        servers
            .filter(move |record| record.service == service && record.state == ServerState::Ready)
    }

    /// All servers.
    pub fn servers(&self) -> impl Iterator<Item = &ServerRecord> {
        self.servers.values()
    }

    /// The record of this life, if the server is known and has not started again.
    #[must_use]
    pub fn server(&self, incarnation: &ServerIncarnation) -> Option<&ServerRecord> {
        let record = self.servers.get(&incarnation.server)?;
        (record.incarnation == *incarnation).then_some(record)
    }

    /// The owner of a key, as the book has it.
    #[must_use]
    pub fn owner(&self, service: &str, key: Key) -> Option<&OwnedRange> {
        self.owners.get(service)?.owner(key)
    }

    /// When this entry VM heard that a server drains.
    #[must_use]
    pub fn draining_since(&self, incarnation: &ServerIncarnation) -> Option<MonoTime> {
        self.draining_since.get(incarnation).copied()
    }

    /// When this entry VM first heard of a life.
    #[must_use]
    pub fn known_since(&self, incarnation: &ServerIncarnation) -> Option<MonoTime> {
        self.known_since.get(incarnation).copied()
    }
}
