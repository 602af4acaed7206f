//! What the leader of a zone group knows beside the replicated state.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chicory_types::{Incarnation, MonoTime, ServerId, ServiceName, VmId};

use super::custody_leases::CustodyLeases;
use super::lease_registry::LeaseRegistry;
use super::server_health::ServerHealth;
use super::zone_leader_config::ZoneLeaderConfig;
use crate::claims::millis;
use crate::{
    HeatMap, PlacementPolicy, ReleasedSlots, RenewAnswer, RenewRefusal, RenewRequest, ServerRecord,
    SlotHold, ZoneCommand, ZoneState,
};

/// What the leader found in the replicated state when it was elected.
#[derive(Clone, Copy, Debug)]
pub(super) struct Election {
    first_called_at: MonoTime,
    clock_ms: u64,
    /// Whether the group had never named a dispatcher.
    is_first_election: bool,
}

/// A confirmed release that waits for the end of a server's lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct DeferredRelease {
    pub(super) server: ServerId,
    pub(super) command: ZoneCommand,
}

/// A server that was proposed to be removed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Removal {
    /// Until when a former dispatcher may hold a lease; `None` until the removal is in force.
    pub(super) leased_until: Option<MonoTime>,
}

/// What the leader of a zone group knows beside the replicated state, from its election on.
///
/// It must be created at the moment of the election and asked only while the process is surely
/// still the leader, with every entry of earlier terms applied. Then no two leaders give leases at
/// a time, and an answered lease rests on a view that later commands of others can't contradict.
pub struct ZoneLeader {
    pub(super) config: ZoneLeaderConfig,
    pub(super) election: Option<Election>,
    pub(super) leases: LeaseRegistry,
    pub(super) custody: CustodyLeases,
    pub(super) health: ServerHealth,
    pub(super) heat: BTreeMap<ServiceName, HeatMap>,
    pub(super) placers: BTreeMap<ServiceName, Box<dyn PlacementPolicy>>,
    pub(super) rebalanced_at: BTreeMap<ServiceName, MonoTime>,
    /// Processes whose roles are being given to others; they get no lease until that is done.
    pub(super) revoking: BTreeSet<(VmId, Incarnation)>,
    pub(super) stopping: BTreeSet<(VmId, Incarnation)>,
    /// Until when a server may hold a lease that a former dispatcher gave it.
    pub(super) leased_until: BTreeMap<ServerId, MonoTime>,
    /// Reported releases that wait for such a lease to end.
    pub(super) deferred_releases: Vec<DeferredRelease>,
    /// Removed servers, as long as former dispatchers may not know of it.
    pub(super) removals: BTreeMap<ServerId, Removal>,
}

impl ZoneLeader {
    /// Creates the leader at its election.
    #[must_use]
    pub fn new(now: MonoTime, config: ZoneLeaderConfig) -> Self {
        Self {
            config,
            election: None,
            leases: LeaseRegistry::new(now, config.dispatcher_lease),
            custody: CustodyLeases::default(),
            health: ServerHealth::default(),
            heat: BTreeMap::new(),
            placers: BTreeMap::new(),
            rebalanced_at: BTreeMap::new(),
            revoking: BTreeSet::new(),
            stopping: BTreeSet::new(),
            leased_until: BTreeMap::new(),
            deferred_releases: Vec::new(),
            removals: BTreeMap::new(),
        }
    }

    /// The log clock that commands carry, in milliseconds.
    ///
    /// It follows the leader's monotonic clock and goes on from the greatest value in the log.
    pub fn log_clock_ms(&mut self, now: MonoTime, state: &ZoneState) -> u64 {
        let election = self.election(now, state);
        let span = now.saturating_sub(election.first_called_at);
        state.clock_ms().max(election.clock_ms + millis(span))
    }

    /// Answers a renewal; the commands are to be proposed.
    pub fn on_renew(
        &mut self,
        now: MonoTime,
        state: &ZoneState,
        request: &RenewRequest,
    ) -> (RenewAnswer, Vec<ZoneCommand>) {
        self.election(now, state);
        if let Some(refusal) = self.refusal(state, request) {
            return (RenewAnswer::Refused(refusal), Vec::new());
        }
        let mut commands = Vec::new();
        self.handle_entry(state, request, &mut commands);
        self.handle_servers(now, state, request, &mut commands);
        self.handle_resignations(state, request, &mut commands);
        self.handle_releases(now, state, request, &mut commands);
        let lease = self.grantable_lease(now, state, request);
        if !lease.is_zero() {
            let entry = &request.entry;
            self.leases.grant(now, &entry.vm, entry.incarnation, lease);
        }
        let update = state.changes_since(request.known_view);
        (RenewAnswer::Granted { lease, update }, commands)
    }

    /// The next moment at which [`plan`](Self::plan) has something to do by itself.
    #[must_use]
    pub fn next_wakeup(&self, now: MonoTime) -> MonoTime {
        let regular = now + self.config.plan_interval;
        let lease_end = self.leases.next_end(now);
        lease_end.map_or(regular, |end| end.min(regular))
    }

    pub(super) fn election(&mut self, now: MonoTime, state: &ZoneState) -> Election {
        *self.election.get_or_insert_with(|| Election {
            first_called_at: now,
            clock_ms: state.clock_ms(),
            is_first_election: !state.has_named_dispatchers(),
        })
    }

    /// Whether grants that the replicated state doesn't know of are surely over.
    ///
    /// A group that was formed anew doesn't know what its predecessor granted.
    pub(super) fn are_all_grants_known(&self, now: MonoTime, state: &ZoneState) -> bool {
        let is_first_election = self
            .election
            .is_some_and(|election| election.is_first_election);
        let is_first_group = state.group_epoch() <= 1;
        now >= self.leases.unknown_end() || (is_first_election && is_first_group)
    }

    /// Whether an earlier group of the zone may have given the slots to somebody.
    pub(super) fn may_have_unknown_holds(&self, now: MonoTime, state: &ZoneState) -> bool {
        let is_first_election = self
            .election
            .is_some_and(|election| election.is_first_election);
        is_first_election && !self.are_all_grants_known(now, state)
    }

    fn refusal(&self, state: &ZoneState, request: &RenewRequest) -> Option<RenewRefusal> {
        let entry = &request.entry;
        let registered = state
            .entries()
            .get(&entry.vm)
            .map(|known| known.incarnation);
        let renewed = self.leases.last_incarnation(&entry.vm);
        if registered.max(renewed) > Some(entry.incarnation) {
            return Some(RenewRefusal::SupersededIncarnation);
        }
        let is_elsewhere = |record: &ServerRecord| record.zone != *state.zone();
        if request.announcements.iter().any(is_elsewhere) {
            return Some(RenewRefusal::WrongZone);
        }
        None
    }

    fn handle_entry(
        &mut self,
        state: &ZoneState,
        request: &RenewRequest,
        commands: &mut Vec<ZoneCommand>,
    ) {
        let entry = &request.entry;
        if !entry.lacks_addresses() && state.entries().get(&entry.vm) != Some(entry) {
            commands.push(ZoneCommand::RegisterEntry {
                record: entry.clone(),
            });
        }
        if request.stopping {
            self.stopping.insert((entry.vm.clone(), entry.incarnation));
        }
    }

    fn handle_servers(
        &mut self,
        now: MonoTime,
        state: &ZoneState,
        request: &RenewRequest,
        commands: &mut Vec<ZoneCommand>,
    ) {
        for record in &request.announcements {
            let known = state.servers().get(&record.server).map(|s| &s.record);
            let is_known = known.is_some_and(|k| k.incarnation >= record.incarnation);
            self.health.on_announcement(now, record, is_known);
            if known != Some(record) {
                commands.push(ZoneCommand::RegisterServer {
                    record: record.clone(),
                });
            }
        }
        for report in &request.reports {
            let Some(server) = state.servers().get(&report.server) else {
                continue;
            };
            if !is_dispatcher(server, request) {
                continue;
            }
            self.health.on_report(now, report);
            let service = &server.record.service;
            let heat = self.heat.entry(service.clone()).or_default();
            heat.on_report(now, report, &state.runs_of(service, &report.server));
        }
    }

    fn handle_resignations(
        &mut self,
        state: &ZoneState,
        request: &RenewRequest,
        commands: &mut Vec<ZoneCommand>,
    ) {
        for server in &request.resigned {
            let Some(entry) = state.servers().get(server) else {
                continue;
            };
            let Some(dispatcher) = &entry.dispatcher else {
                continue;
            };
            // A delayed copy of an earlier resignation knows nothing of the present role.
            let is_current = request.known_view >= dispatcher.since;
            if !is_dispatcher(entry, request) || !is_current {
                continue;
            }
            let end = self.leases.end_of(&dispatcher.vm, dispatcher.incarnation);
            self.leased_until.insert(server.clone(), end);
            commands.push(ZoneCommand::ReleaseDispatcher {
                server: server.clone(),
                vm: dispatcher.vm.clone(),
                incarnation: dispatcher.incarnation,
                epoch: entry.epoch,
            });
        }
    }

    fn handle_releases(
        &mut self,
        now: MonoTime,
        state: &ZoneState,
        request: &RenewRequest,
        commands: &mut Vec<ZoneCommand>,
    ) {
        for released in &request.released {
            let server = state.servers().get(&released.server);
            if !server.is_some_and(|server| is_dispatcher(server, request)) {
                continue;
            }
            let is_shown = |hold: &SlotHold| {
                let since = hold.releasing_since;
                since.is_some_and(|since| since <= request.known_view)
            };
            let confirmed = confirmations(state, released, is_shown);
            if now >= self.lease_end_of_server(&released.server) {
                commands.extend(confirmed);
            } else {
                self.defer_releases(&released.server, confirmed);
            }
        }
    }

    fn defer_releases(&mut self, server: &ServerId, confirmed: Vec<ZoneCommand>) {
        for command in confirmed {
            let deferred = DeferredRelease {
                server: server.clone(),
                command,
            };
            if !self.deferred_releases.contains(&deferred) {
                self.deferred_releases.push(deferred);
            }
        }
    }

    /// When no lease that a former dispatcher gave the server can hold any more.
    pub(super) fn lease_end_of_server(&self, server: &ServerId) -> MonoTime {
        let is_first_election = self
            .election
            .is_some_and(|election| election.is_first_election);
        let unknown_end = self.leases.unknown_end();
        let default = if is_first_election {
            MonoTime::ZERO
        } else {
            unknown_end
        };
        self.leased_until
            .get(server)
            .map_or(default, |end| default.max(*end))
    }

    fn grantable_lease(
        &mut self,
        now: MonoTime,
        state: &ZoneState,
        request: &RenewRequest,
    ) -> Duration {
        let vm = &request.entry.vm;
        let incarnation = request.entry.incarnation;
        if self.revoking.contains(&(vm.clone(), incarnation)) {
            return Duration::ZERO;
        }
        self.custody.activate_pending(state);
        let mut lease = self.config.dispatcher_lease;
        for (server, entry) in state.servers() {
            let Some(dispatcher) = &entry.dispatcher else {
                continue;
            };
            if dispatcher.vm != *vm {
                continue;
            }
            // The view names only the VM, so a later start would take the role for its own.
            if dispatcher.incarnation != incarnation {
                return Duration::ZERO;
            }
            let service = &entry.record.service;
            let Some(left) = self.custody.time_left(now, state, service) else {
                continue;
            };
            if left < lease && state.holds_slots(server) {
                lease = left;
            }
        }
        lease
    }
}

/// Commands that free the parts of a report that `matches` lets through.
pub(super) fn confirmations(
    state: &ZoneState,
    released: &ReleasedSlots,
    matches: impl Fn(&SlotHold) -> bool,
) -> Vec<ZoneCommand> {
    let Some(holds) = state.holds(&released.service) else {
        return Vec::new();
    };
    let mut by_token = BTreeMap::new();
    for run in &released.runs {
        let releasing = holds.within(*run).filter(|(_, hold)| {
            hold.server == released.server && hold.releasing_since.is_some() && matches(hold)
        });
        for (part, hold) in releasing {
            let runs: &mut Vec<_> = by_token.entry(hold.token).or_default();
            runs.push(part);
        }
    }
    by_token
        .into_iter()
        .map(|(token, runs)| ZoneCommand::ConfirmReleased {
            service: released.service.clone(),
            runs,
            server: released.server.clone(),
            token,
        })
        .collect()
}

fn is_dispatcher(server: &super::ServerEntry, request: &RenewRequest) -> bool {
    let entry = &request.entry;
    server.dispatcher.as_ref().is_some_and(|dispatcher| {
        dispatcher.vm == entry.vm && dispatcher.incarnation == entry.incarnation
    })
}
