//! The replicated state: routes, servers and key ranges.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use chicory_ranges::{Fence, OwnedRange, RangeMove, RangeRegistry, ServerIncarnation};
use chicory_routes::RouteTable;
use chicory_types::{LogIndex, ServerId, ZoneName};

use crate::{
    CommandOutcome, DirectoryPosition, DirectoryUpdate, DirectoryVersion, EndedServer,
    RemovalCause, RouteHistory, ServerRecord, ServerRemoval, ServerState, ServiceRanges,
    SiteCommand,
};

/// Maximum number of removals that are kept, to recognize late announcements of removed servers. A
/// busy site reaches it only after a few days.
const MAX_REMOVALS: usize = 4096;

/// A value with the log index of its last change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The value.
    pub value: T,
    /// Log index of its last change.
    pub changed_at: LogIndex,
}

/// The replicated state: routes, servers and owners of key ranges.
///
/// Every control VM applies the same commands in the same order, so all of them have the same state
/// at the same version.
///
/// # Examples
///
/// ```
/// use chicory_directory::{SiteCommand, SiteState};
/// use chicory_routes::RouteTable;
///
/// let mut state = SiteState::default();
/// let table = RouteTable { version: 7, ..RouteTable::default() };
/// state.apply(1, SiteCommand::PutRoutes(table));
/// assert_eq!(state.routes().version, 7);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SiteState {
    version: DirectoryVersion,
    pub(crate) routes: Versioned<Arc<RouteTable>>,
    pub(crate) servers: BTreeMap<ServerId, Versioned<ServerRecord>>,
    removals: BTreeMap<ServerId, Versioned<ServerRemoval>>,
    registry: RangeRegistry,
    evacuated_zones: Versioned<BTreeSet<ZoneName>>,
    /// Removals up to this index may have been dropped, so followers with an older version are sent
    /// the whole directory.
    forgotten_up_to: LogIndex,
}

impl<T: Default> Default for Versioned<T> {
    fn default() -> Self {
        Self {
            value: T::default(),
            changed_at: 0,
        }
    }
}

impl SiteState {
    /// Restores a state from its parts.
    #[must_use]
    pub fn restore(
        version: DirectoryVersion,
        routes: Versioned<RouteTable>,
        servers: Vec<Versioned<ServerRecord>>,
        removals: Vec<Versioned<ServerRemoval>>,
        registry: RangeRegistry,
        forgotten_up_to: LogIndex,
    ) -> Self {
        let servers = servers
            .into_iter()
            .map(|server| (server.value.incarnation.server.clone(), server));
        let removals = removals
            .into_iter()
            .map(|removal| (removal.value.incarnation.server.clone(), removal));
        Self {
            version,
            routes: Versioned {
                value: Arc::new(routes.value),
                changed_at: routes.changed_at,
            },
            servers: servers.collect(),
            removals: removals.collect(),
            registry,
            evacuated_zones: Versioned::default(),
            forgotten_up_to,
        }
    }

    /// Sets the evacuated availability zones of a state that is restored.
    #[must_use]
    pub fn with_evacuated_zones(mut self, evacuated_zones: Versioned<BTreeSet<ZoneName>>) -> Self {
        self.evacuated_zones = evacuated_zones;
        self
    }

    /// Returns the log index of the last command that was applied.
    #[must_use]
    pub fn version(&self) -> DirectoryVersion {
        self.version
    }

    /// Returns the route table in force.
    #[must_use]
    pub fn routes(&self) -> &Arc<RouteTable> {
        &self.routes.value
    }

    /// Returns the log index at which the route table came into force.
    #[must_use]
    pub fn routes_changed_at(&self) -> LogIndex {
        self.routes.changed_at
    }

    /// Returns all servers.
    pub fn servers(&self) -> impl Iterator<Item = &ServerRecord> {
        self.servers.values().map(|server| &server.value)
    }

    /// Returns all servers with the log index of their last change.
    pub fn versioned_servers(&self) -> impl Iterator<Item = &Versioned<ServerRecord>> {
        self.servers.values()
    }

    /// Returns all removals that are kept.
    pub fn removals(&self) -> impl Iterator<Item = &Versioned<ServerRemoval>> {
        self.removals.values()
    }

    /// Returns the log index up to which removals may have been dropped.
    #[must_use]
    pub fn forgotten_up_to(&self) -> LogIndex {
        self.forgotten_up_to
    }

    /// Returns the server with this id.
    #[must_use]
    pub fn server(&self, server: &str) -> Option<&ServerRecord> {
        self.servers.get(server).map(|server| &server.value)
    }

    /// Returns the removal of the last incarnation with this id.
    #[must_use]
    pub fn removal(&self, server: &str) -> Option<&ServerRemoval> {
        self.removals.get(server).map(|removal| &removal.value)
    }

    /// Returns the registry of the owners of key ranges.
    #[must_use]
    pub fn registry(&self) -> &RangeRegistry {
        &self.registry
    }

    /// Returns the availability zones that are evacuated.
    #[must_use]
    pub fn evacuated_zones(&self) -> &BTreeSet<ZoneName> {
        &self.evacuated_zones.value
    }

    /// Returns the log index at which the evacuated availability zones last changed.
    #[must_use]
    pub fn evacuations_changed_at(&self) -> LogIndex {
        self.evacuated_zones.changed_at
    }

    /// Returns the position of a follower that has the whole current state.
    #[must_use]
    pub fn position(&self) -> DirectoryPosition {
        DirectoryPosition {
            version: self.version,
            last_fence: self.registry.last_fence(),
            routes_version: self.routes.value.version,
        }
    }

    /// Applies the command that is at `index` in the log.
    pub fn apply(&mut self, index: LogIndex, command: SiteCommand) -> CommandOutcome {
        self.version = index;
        match command {
            SiteCommand::PutRoutes(table) => self.put_routes(index, table),
            SiteCommand::PutServer(record) => self.put_server(index, record),
            SiteCommand::RemoveServer(removal) => self.remove_server(index, removal),
            SiteCommand::MoveRange(change) => self.move_range(&change),
            SiteCommand::BeginEvacuation(zone) => self.begin_evacuation(index, zone),
            SiteCommand::FinishEvacuation(zone) => self.finish_evacuation(index, &zone),
        }
    }

    fn put_routes(&mut self, index: LogIndex, table: RouteTable) -> CommandOutcome {
        if table.version <= self.routes.value.version {
            return CommandOutcome::Unchanged;
        }
        self.routes = Versioned {
            value: Arc::new(table),
            changed_at: index,
        };
        CommandOutcome::RoutesChanged
    }

    /// Returns whether an announcement is of an incarnation that has ended.
    ///
    /// That is so if a later incarnation of the server is known, if the same incarnation is known
    /// with another address or service, if the incarnation or a later one was removed, or if a
    /// server that started later uses the address. An unresponsive server that was removed may
    /// announce the same incarnation again.
    #[must_use]
    pub fn is_stale(&self, record: &ServerRecord) -> bool {
        let started_at_ms = record.incarnation.started_at_ms;
        let known = self.server(&record.incarnation.server);
        let is_superseded =
            known.is_some_and(|known| known.incarnation.started_at_ms > started_at_ms);
        // A process never changes its address or its service.
        let has_other_address_or_service = known.is_some_and(|known| {
            known.incarnation == record.incarnation
                && (known.address != record.address || known.service != record.service)
        });
        let removal = self.removal(&record.incarnation.server);
        let was_removed = removal.is_some_and(|removal| removal.ends(started_at_ms));
        is_superseded
            || has_other_address_or_service
            || was_removed
            || self.later_server_at_address(record).is_some()
    }

    /// Returns a server at the same address that started later.
    fn later_server_at_address(&self, record: &ServerRecord) -> Option<&ServerRecord> {
        let mut others = self.other_servers_at_address(record);
        others.find(|other| other.incarnation.started_at_ms > record.incarnation.started_at_ms)
    }

    /// Returns the other servers at the address of an announced server, which would replace them.
    pub fn other_servers_at_address(
        &self,
        record: &ServerRecord,
    ) -> impl Iterator<Item = &ServerRecord> {
        let servers = self.servers();
        servers.filter(|other| {
            other.address == record.address && other.incarnation.server != record.incarnation.server
        })
    }

    /// Returns the record that results from an announcement. A draining server stays draining even
    /// if the announced state is ready, because an incarnation never becomes ready again.
    #[must_use]
    pub fn merged(&self, mut record: ServerRecord) -> ServerRecord {
        let known = self.server(&record.incarnation.server);
        let is_draining = known.is_some_and(|known| {
            known.incarnation == record.incarnation && known.state == ServerState::Draining
        });
        if is_draining {
            record.state = ServerState::Draining;
        }
        record
    }

    /// Returns whether the service of an announced server is acceptable: it is in the route table,
    /// or the server is already known under it. Any service is accepted until the first route table
    /// is in force.
    #[must_use]
    pub fn knows_service_of(&self, record: &ServerRecord) -> bool {
        let routes = self.routes();
        let known = self.server(&record.incarnation.server);
        routes.version == 0
            || routes.service(&record.service).is_some()
            || known.is_some_and(|known| known.service == record.service)
    }

    fn put_server(&mut self, index: LogIndex, record: ServerRecord) -> CommandOutcome {
        if self.is_stale(&record) {
            return CommandOutcome::Stale;
        }
        let record = self.merged(record);
        let known = self.server(&record.incarnation.server);
        if let Some(known) = known.filter(|known| known.equals_except_cold_for(&record)) {
            if !self.is_cold_time_new(known, &record) {
                return CommandOutcome::Unchanged;
            }
            self.insert_server(index, record);
            return CommandOutcome::ColdTimeChanged;
        }
        let former = known.filter(|known| known.incarnation != record.incarnation);
        let mut ended: Vec<EndedServer> = former
            .map(|former| ended_server(former, &record))
            .into_iter()
            .collect();
        let replaced: Vec<EndedServer> = self
            .other_servers_at_address(&record)
            .map(|other| ended_server(other, &record))
            .collect();
        for EndedServer { incarnation, .. } in &replaced {
            self.servers.remove(&incarnation.server);
            self.record_removal(index, incarnation.clone(), RemovalCause::Replaced);
        }
        ended.extend(replaced);
        self.removals.remove(&record.incarnation.server);
        self.insert_server(index, record);
        CommandOutcome::ServerChanged { ended }
    }

    fn insert_server(&mut self, index: LogIndex, record: ServerRecord) {
        let server = record.incarnation.server.clone();
        let value = Versioned {
            value: record,
            changed_at: index,
        };
        self.servers.insert(server, value);
    }

    fn remove_server(&mut self, index: LogIndex, removal: ServerRemoval) -> CommandOutcome {
        let ServerRemoval { incarnation, cause } = removal;
        if cause == RemovalCause::Left {
            return self.record_departure(index, incarnation);
        }
        let known = self.server(&incarnation.server);
        let Some(known) = known.filter(|known| known.incarnation == incarnation) else {
            return CommandOutcome::Unchanged;
        };
        // An incarnation that drains never accepts new work again, so it does not come back.
        let cause = match known.state {
            ServerState::Draining => RemovalCause::Left,
            ServerState::Ready => cause,
        };
        self.servers.remove(&incarnation.server);
        self.record_removal(index, incarnation.clone(), cause);
        CommandOutcome::ServerRemoved(incarnation)
    }

    /// Records that an incarnation left, also if it is not known: its announcements may still be on
    /// their way. Earlier incarnations have ended as well.
    fn record_departure(&mut self, index: LogIndex, left: ServerIncarnation) -> CommandOutcome {
        if self.knows_departure(&left) {
            return CommandOutcome::Unchanged;
        }
        self.servers.remove(&left.server);
        self.record_removal(index, left.clone(), RemovalCause::Left);
        CommandOutcome::ServerRemoved(left)
    }

    /// Returns whether an incarnation is known to have ended for good, so that no announcement of it
    /// is accepted any more.
    #[must_use]
    pub fn knows_departure(&self, incarnation: &ServerIncarnation) -> bool {
        let started_at_ms = incarnation.started_at_ms;
        if let Some(known) = self.server(&incarnation.server) {
            return known.incarnation.started_at_ms > started_at_ms;
        }
        let removal = self.removal(&incarnation.server);
        removal.is_some_and(|removal| removal.ends(started_at_ms))
    }

    fn record_removal(
        &mut self,
        index: LogIndex,
        incarnation: ServerIncarnation,
        cause: RemovalCause,
    ) {
        let removal = Versioned {
            value: ServerRemoval {
                incarnation: incarnation.clone(),
                cause,
            },
            changed_at: index,
        };
        self.removals.insert(incarnation.server, removal);
        if self.removals.len() > MAX_REMOVALS {
            let oldest = self
                .removals
                .iter()
                .min_by_key(|(_, removal)| removal.changed_at);
            if let Some((server, changed_at)) =
                oldest.map(|(server, removal)| (server.clone(), removal.changed_at))
            {
                self.removals.remove(&server);
                self.forgotten_up_to = changed_at;
            }
        }
    }

    fn begin_evacuation(&mut self, index: LogIndex, zone: ZoneName) -> CommandOutcome {
        if !self.evacuated_zones.value.insert(zone.clone()) {
            return CommandOutcome::Unchanged;
        }
        self.evacuated_zones.changed_at = index;
        CommandOutcome::EvacuationBegun(zone)
    }

    fn finish_evacuation(&mut self, index: LogIndex, zone: &str) -> CommandOutcome {
        let Some(zone) = self.evacuated_zones.value.take(zone) else {
            return CommandOutcome::Unchanged;
        };
        self.evacuated_zones.changed_at = index;
        self.mark_zone_cold(index, &zone);
        CommandOutcome::EvacuationFinished(zone)
    }

    fn move_range(&mut self, change: &RangeMove) -> CommandOutcome {
        match self.registry.apply(change) {
            Ok(fence) => CommandOutcome::RangeMoved(fence),
            Err(rejection) => CommandOutcome::MoveRejected(rejection),
        }
    }

    /// Returns what changed since a follower's position, or `None` if the follower is up to date.
    ///
    /// The update is full if the follower has no directory, or if removals that it has not received
    /// may have been dropped.
    #[must_use]
    pub fn update_since(
        &self,
        known: DirectoryPosition,
        history: &RouteHistory,
    ) -> Option<DirectoryUpdate> {
        if known.version >= self.version && self.version > 0 {
            return None;
        }
        let is_full = known.version == 0 || known.version < self.forgotten_up_to;
        let known = if is_full {
            DirectoryPosition::default()
        } else {
            known
        };
        let since = known.version;
        let servers = self
            .servers
            .values()
            .filter(|server| server.changed_at > since);
        let removals = self
            .removals
            .values()
            .filter(|removal| removal.changed_at > since);
        let update = DirectoryUpdate {
            version: self.version,
            last_fence: self.registry.last_fence(),
            is_full,
            routes: (self.routes.changed_at > since)
                .then(|| history.delta(known.routes_version, &self.routes.value)),
            servers: servers.map(|server| server.value.clone()).collect(),
            removed: removals
                .map(|removal| removal.value.incarnation.clone())
                .collect(),
            ranges: self.ranges_since(known.last_fence),
            evacuated_zones: self.evacuations_since(since, is_full),
        };
        Some(update)
    }

    fn evacuations_since(&self, since: LogIndex, is_full: bool) -> Option<BTreeSet<ZoneName>> {
        let has_changed = is_full || self.evacuated_zones.changed_at > since;
        has_changed.then(|| self.evacuated_zones.value.clone())
    }

    /// Returns the ranges with a fence greater than `fence`, without their handovers, which
    /// followers don't need.
    fn ranges_since(&self, fence: Fence) -> Vec<ServiceRanges> {
        let services = self.registry.services().map(|service| {
            let ranges = self
                .registry
                .ranges(service)
                .filter(|owned| owned.fence > fence);
            ServiceRanges {
                service: service.clone(),
                ranges: ranges
                    .map(|owned| OwnedRange {
                        handover: None,
                        ..owned.clone()
                    })
                    .collect(),
            }
        });
        services
            .filter(|of_service| !of_service.ranges.is_empty())
            .collect()
    }
}

/// Returns the description of a server that has ended because of the process that `next` announces.
fn ended_server(former: &ServerRecord, next: &ServerRecord) -> EndedServer {
    let is_same_server = former.incarnation.server == next.incarnation.server;
    let is_successor =
        is_same_server && former.address == next.address && former.service == next.service;
    EndedServer {
        incarnation: former.incarnation.clone(),
        successor: is_successor.then(|| next.incarnation.clone()),
    }
}
