//! The replicated state: routes, servers and key ranges.

use std::collections::BTreeMap;
use std::sync::Arc;

use chicory_ranges::{Fence, OwnedRange, RangeMove, RangeRegistry, ServerIncarnation};
use chicory_routes::RouteTable;
use chicory_types::{LogIndex, ServerId};

use crate::{
    CommandOutcome, DirectoryPosition, DirectoryUpdate, DirectoryVersion, RemovalCause,
    RouteHistory, ServerRecord, ServerRemoval, ServerState, ServiceRanges, SiteCommand,
};

/// Removals that are remembered, against late announcements; a few days' worth of a busy site.
const MAX_REMOVALS: usize = 4096;

/// A value with the log index of its last change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The value.
    pub value: T,
    /// Log index of its last change.
    pub changed_at: LogIndex,
}

/// Routes, servers and key ranges as all control VMs agree on them.
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
    routes: Versioned<Arc<RouteTable>>,
    servers: BTreeMap<ServerId, Versioned<ServerRecord>>,
    removals: BTreeMap<ServerId, Versioned<ServerRemoval>>,
    registry: RangeRegistry,
    /// Removals up to this index may be forgotten; older followers get everything anew.
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
            .map(|s| (s.value.incarnation.server.clone(), s));
        let removals = removals
            .into_iter()
            .map(|r| (r.value.incarnation.server.clone(), r));
        Self {
            version,
            routes: Versioned {
                value: Arc::new(routes.value),
                changed_at: routes.changed_at,
            },
            servers: servers.collect(),
            removals: removals.collect(),
            registry,
            forgotten_up_to,
        }
    }

    /// Log index of the last command that was applied.
    #[must_use]
    pub fn version(&self) -> DirectoryVersion {
        self.version
    }

    /// The route table in force.
    #[must_use]
    pub fn routes(&self) -> &Arc<RouteTable> {
        &self.routes.value
    }

    /// Log index at which the route table came into force.
    #[must_use]
    pub fn routes_changed_at(&self) -> LogIndex {
        self.routes.changed_at
    }

    /// All servers.
    pub fn servers(&self) -> impl Iterator<Item = &ServerRecord> {
        self.servers.values().map(|server| &server.value)
    }

    /// All servers with the log index of their last change.
    pub fn versioned_servers(&self) -> impl Iterator<Item = &Versioned<ServerRecord>> {
        self.servers.values()
    }

    /// All removals that are remembered.
    pub fn removals(&self) -> impl Iterator<Item = &Versioned<ServerRemoval>> {
        self.removals.values()
    }

    /// Log index up to which removals may be forgotten.
    #[must_use]
    pub fn forgotten_up_to(&self) -> LogIndex {
        self.forgotten_up_to
    }

    /// The server of this id.
    #[must_use]
    pub fn server(&self, server: &str) -> Option<&ServerRecord> {
        self.servers.get(server).map(|server| &server.value)
    }

    /// The removal of the last life of this id.
    #[must_use]
    pub fn removal(&self, server: &str) -> Option<&ServerRemoval> {
        self.removals.get(server).map(|removal| &removal.value)
    }

    /// Who owns which keys.
    #[must_use]
    pub fn registry(&self) -> &RangeRegistry {
        &self.registry
    }

    /// What a follower has that was told of everything.
    #[must_use]
    pub fn position(&self) -> DirectoryPosition {
        DirectoryPosition {
            version: self.version,
            last_fence: self.registry.last_fence(),
            routes_version: self.routes.value.version,
        }
    }

    /// Applies the command at a log index.
    pub fn apply(&mut self, index: LogIndex, command: SiteCommand) -> CommandOutcome {
        self.version = index;
        match command {
            SiteCommand::PutRoutes(table) => self.put_routes(index, table),
            SiteCommand::PutServer(record) => self.put_server(index, record),
            SiteCommand::RemoveServer(removal) => self.remove_server(index, removal),
            SiteCommand::MoveRange(change) => self.move_range(&change),
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

    /// Whether an announcement tells of a life that is over.
    #[must_use]
    pub fn is_stale(&self, record: &ServerRecord) -> bool {
        let started_at_ms = record.incarnation.started_at_ms;
        let known = self.server(&record.incarnation.server);
        let is_superseded =
            known.is_some_and(|known| known.incarnation.started_at_ms > started_at_ms);
        // A process keeps its address and service as long as it lives.
        let is_contradicted = known.is_some_and(|known| {
            known.incarnation == record.incarnation
                && (known.address != record.address || known.service != record.service)
        });
        let removal = self.removal(&record.incarnation.server);
        let has_gone = removal.is_some_and(|removal| match removal.cause {
            RemovalCause::Silent => removal.incarnation.started_at_ms > started_at_ms,
            RemovalCause::Left | RemovalCause::Replaced => {
                removal.incarnation.started_at_ms >= started_at_ms
            }
        });
        is_superseded || is_contradicted || has_gone || self.later_server_at(record).is_some()
    }

    /// A server at the same address that started later.
    fn later_server_at(&self, record: &ServerRecord) -> Option<&ServerRecord> {
        let mut others = self.other_servers_at_address(record);
        others.find(|other| other.incarnation.started_at_ms > record.incarnation.started_at_ms)
    }

    /// Other servers at the address of an announcement; it would replace them.
    pub fn other_servers_at_address(
        &self,
        record: &ServerRecord,
    ) -> impl Iterator<Item = &ServerRecord> {
        let servers = self.servers();
        servers.filter(|other| {
            other.address == record.address && other.incarnation.server != record.incarnation.server
        })
    }

    /// The record after an announcement: a server that drains never becomes ready again.
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

    /// Whether a server's service is in the route table, or was when the server was first known.
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
        if known.is_some_and(|known| known.equals_except_cold_for(&record)) {
            return CommandOutcome::Unchanged;
        }
        let former = known.map(|known| known.incarnation.clone());
        let mut ended: Vec<ServerIncarnation> = former
            .into_iter()
            .filter(|l| *l != record.incarnation)
            .collect();
        let replaced: Vec<_> = self
            .other_servers_at_address(&record)
            .map(|o| o.incarnation.clone())
            .collect();
        for incarnation in &replaced {
            self.servers.remove(&incarnation.server);
            self.note_removal(index, incarnation.clone(), RemovalCause::Replaced);
        }
        ended.extend(replaced);
        self.removals.remove(&record.incarnation.server);
        let server = record.incarnation.server.clone();
        let value = Versioned {
            value: record,
            changed_at: index,
        };
        self.servers.insert(server, value);
        CommandOutcome::ServerChanged { ended }
    }

    fn remove_server(&mut self, index: LogIndex, removal: ServerRemoval) -> CommandOutcome {
        let incarnation = removal.incarnation;
        let known = self.server(&incarnation.server);
        if known.is_none_or(|known| known.incarnation != incarnation) {
            return CommandOutcome::Unchanged;
        }
        self.servers.remove(&incarnation.server);
        self.note_removal(index, incarnation.clone(), removal.cause);
        CommandOutcome::ServerRemoved(incarnation)
    }

    fn note_removal(
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
            let oldest = self.removals.iter().min_by_key(|(_, r)| r.changed_at);
            if let Some((server, changed_at)) = oldest.map(|(s, r)| (s.clone(), r.changed_at)) {
                self.removals.remove(&server);
                self.forgotten_up_to = changed_at;
            }
        }
    }

    fn move_range(&mut self, change: &RangeMove) -> CommandOutcome {
        match self.registry.apply(change) {
            Ok(fence) => CommandOutcome::RangeMoved(fence),
            Err(rejection) => CommandOutcome::MoveRejected(rejection),
        }
    }

    /// What a follower lacks; `None` if it lacks nothing.
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
        let servers = self.servers.values().filter(|s| s.changed_at > since);
        let removals = self.removals.values().filter(|r| r.changed_at > since);
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
        };
        Some(update)
    }

    /// Ranges with a greater fence; followers need no handovers.
    fn ranges_since(&self, fence: Fence) -> Vec<ServiceRanges> {
        let services = self.registry.services().map(|service| {
            let ranges = self.registry.ranges(service).filter(|o| o.fence > fence);
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
        services.filter(|s| !s.ranges.is_empty()).collect()
    }
}
