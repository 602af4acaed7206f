//! Unreplicated state of the leader of a zone group.

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

/// Facts from the replicated state at the first call after the election.
#[derive(Clone, Copy, Debug)]
pub(super) struct Election {
    first_called_at: MonoTime,
    clock_ms: u64,
    /// Whether no dispatcher had ever been assigned by the group.
    had_no_dispatchers: bool,
}

/// Reported release whose confirmation is deferred until the server's lease has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct DeferredRelease {
    pub(super) server: ServerId,
    pub(super) command: ZoneCommand,
}

/// Proposed removal of a server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Removal {
    /// Until when a former dispatcher may hold a lease. `None` until the removal is in force.
    pub(super) leased_until: Option<MonoTime>,
}

/// Unreplicated state of the leader of a zone group, collected since its election.
///
/// It must be created at the time of the election. It must be used only while the process is
/// certainly still the leader and has applied every log entry of earlier terms. This ensures that
/// no two leaders grant leases at the same time, and that the view behind a granted lease cannot be
/// contradicted by commands of another leader.
pub struct ZoneLeader {
    pub(super) config: ZoneLeaderConfig,
    pub(super) election: Option<Election>,
    pub(super) leases: LeaseRegistry,
    pub(super) custody: CustodyLeases,
    pub(super) health: ServerHealth,
    pub(super) heat: BTreeMap<ServiceName, HeatMap>,
    pub(super) placement_policies: BTreeMap<ServiceName, Box<dyn PlacementPolicy>>,
    pub(super) rebalanced_at: BTreeMap<ServiceName, MonoTime>,
    /// Processes whose dispatcher roles are being revoked. They get no lease until the roles are
    /// released.
    pub(super) revoking: BTreeSet<(VmId, Incarnation)>,
    pub(super) stopping: BTreeSet<(VmId, Incarnation)>,
    /// Until when a server may hold a lease from a former dispatcher.
    pub(super) leased_until: BTreeMap<ServerId, MonoTime>,
    /// Reported releases that are deferred until such a lease ends.
    pub(super) deferred_releases: Vec<DeferredRelease>,
    /// Removed servers, kept while former dispatchers may still have a view that lists them.
    pub(super) removals: BTreeMap<ServerId, Removal>,
}

impl ZoneLeader {
    /// Creates the state of a leader elected at `now`.
    #[must_use]
    pub fn new(now: MonoTime, config: ZoneLeaderConfig) -> Self {
        Self {
            config,
            election: None,
            leases: LeaseRegistry::new(now, config.dispatcher_lease),
            custody: CustodyLeases::default(),
            health: ServerHealth::default(),
            heat: BTreeMap::new(),
            placement_policies: BTreeMap::new(),
            rebalanced_at: BTreeMap::new(),
            revoking: BTreeSet::new(),
            stopping: BTreeSet::new(),
            leased_until: BTreeMap::new(),
            deferred_releases: Vec::new(),
            removals: BTreeMap::new(),
        }
    }

    /// Returns the log clock for commands, in milliseconds.
    ///
    /// It follows the leader's monotonic clock and continues from the greatest value in the log.
    pub fn log_clock_ms(&mut self, now: MonoTime, state: &ZoneState) -> u64 {
        let election = self.election(now, state);
        let span = now.saturating_sub(election.first_called_at);
        state.clock_ms().max(election.clock_ms + millis(span))
    }

    /// Handles a renewal and returns the answer and the commands to propose.
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

    /// Returns the time at which [`plan`](Self::plan) should run next even if no message arrives.
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
            had_no_dispatchers: !state.has_assigned_dispatchers(),
        })
    }

    /// Returns whether all grants that the replicated state does not contain have certainly
    /// expired.
    ///
    /// The state of a re-formed group does not contain the grants of its predecessor, so its leader
    /// waits for a full lease. The first group of a zone has no predecessor: until it assigns its
    /// first dispatcher there are no unknown grants.
    pub(super) fn are_all_grants_known(&self, now: MonoTime, state: &ZoneState) -> bool {
        let had_no_dispatchers = self
            .election
            .is_some_and(|election| election.had_no_dispatchers);
        let is_first_group = state.group_epoch() <= 1;
        now >= self.leases.unknown_end() || (had_no_dispatchers && is_first_group)
    }

    /// Returns whether an earlier group of the zone may have assigned slots to servers that still
    /// hold them.
    pub(super) fn may_have_unknown_holds(&self, now: MonoTime, state: &ZoneState) -> bool {
        let had_no_dispatchers = self
            .election
            .is_some_and(|election| election.had_no_dispatchers);
        had_no_dispatchers && !self.are_all_grants_known(now, state)
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
        let is_in_other_zone = |record: &ServerRecord| record.zone != *state.zone();
        if request.announcements.iter().any(is_in_other_zone) {
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
            // A delayed copy of an earlier resignation does not refer to the current role.
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

    /// Returns when every lease that a former dispatcher granted to the server has ended.
    pub(super) fn lease_end_of_server(&self, server: &ServerId) -> MonoTime {
        let had_no_dispatchers = self
            .election
            .is_some_and(|election| election.had_no_dispatchers);
        let unknown_end = self.leases.unknown_end();
        let default = if had_no_dispatchers {
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
            // The view names only the VM, so a later incarnation would treat the role as its own.
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

/// Returns the commands that confirm the release of the reported slots whose holds satisfy
/// `matches`.
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
