//! Planning of slot assignments and releases.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chicory_table::{ServicePolicy, Table};
use chicory_types::{MonoTime, SLOTS_PER_SERVICE, ServerId, ServiceName, Slot, SlotRun};
use xxhash_rust::xxh3::xxh3_64;

use super::zone_leader::ZoneLeader;
use super::zone_state::SlotHold;
use crate::{
    ALL_SLOTS, HeatMap, PlacementInput, PlacementPlan, PlacementServer, RunMap, SlotPlace,
    ZoneCommand, ZoneState,
};

/// Maximum number of slots that a draining server must release in one plan, hottest first.
const DRAIN_SLOTS: usize = 512;
/// Time in addition to a full dispatcher lease that is reserved to release slots before their
/// custody lease ends.
const CUSTODY_END_SLACK: Duration = Duration::from_millis(300);

/// Servers and slots of one service, as input to the placement policy.
struct ServiceView {
    servers: Vec<ServerId>,
    placement_servers: Vec<PlacementServer>,
    places: Vec<SlotPlace>,
    loads: Vec<f32>,
}

impl ServiceView {
    fn input(&self, now: MonoTime) -> PlacementInput<'_> {
        PlacementInput {
            now,
            servers: &self.placement_servers,
            places: &self.places,
            loads: &self.loads,
        }
    }
}

impl ZoneLeader {
    pub(super) fn plan_placement(
        &mut self,
        now: MonoTime,
        state: &ZoneState,
        commands: &mut Vec<ZoneCommand>,
    ) {
        for service in state.held_services() {
            let policy = state.table().services.get(&service);
            if !policy.is_some_and(|policy| policy.keyed) {
                release_all(state, &service, |_| true, commands);
            }
        }
        for (service, policy) in &state.table().services {
            if policy.keyed && state.custody(service).is_some() {
                self.plan_service(now, state, service, policy, commands);
            }
        }
    }

    fn plan_service(
        &mut self,
        now: MonoTime,
        state: &ZoneState,
        service: &ServiceName,
        policy: &ServicePolicy,
        commands: &mut Vec<ZoneCommand>,
    ) {
        if self.is_custody_ending(now, state, service) {
            release_all(state, service, |_| true, commands);
            return;
        }
        if self.may_have_unknown_holds(now, state) {
            return;
        }
        let has_free = self.has_free_slots(now, state, service);
        let is_due = self.is_rebalance_due(now, service);
        let accepting = self.accepting_servers(state, service, policy);
        let must_release = |hold: &SlotHold| {
            hold.releasing_since.is_none() && !accepting.contains_key(&hold.server)
        };
        let mut holds = state.holds(service).into_iter().flat_map(RunMap::iter);
        let has_server_releases = holds.any(|(_, hold)| must_release(hold));
        if accepting.is_empty() || !(has_free || is_due || has_server_releases) {
            return;
        }
        let view = self.service_view(now, state, service, &accepting);
        self.plan_server_releases(state, service, &view, commands);
        let kind = self.config.placement;
        let placement_policy = self
            .placement_policies
            .entry(service.clone())
            .or_insert_with(|| kind.build());
        if has_free {
            let plan = placement_policy.place(&view.input(now));
            push_assignments(service, &view, &plan, commands);
            return;
        }
        if !is_due {
            return;
        }
        self.rebalanced_at.insert(service.clone(), now);
        let plan = placement_policy.rebalance(&view.input(now));
        push_releases(service, &view, &plan, commands);
    }

    fn is_rebalance_due(&self, now: MonoTime, service: &ServiceName) -> bool {
        let last = self.rebalanced_at.get(service);
        last.is_none_or(|last| now >= *last + self.config.rebalance_interval)
    }

    /// Returns the slots that need an owner.
    ///
    /// Slots in pending transfers to other zones get no owner as long as the leader is in contact
    /// with the global group.
    fn free_slots(&self, now: MonoTime, state: &ZoneState, service: &ServiceName) -> Vec<SlotRun> {
        let mut free = RunMap::default();
        for (run, _) in state.assignable(service, &[ALL_SLOTS]) {
            free.set(run, ());
        }
        if self.has_global_contact(now) {
            let transfers = state.pending_transfers().into_iter();
            for (_, run, _) in transfers.filter(|(of, _, _)| of == service) {
                free.clear(run);
            }
        }
        free.iter().map(|(run, ())| run).collect()
    }

    fn has_free_slots(&self, now: MonoTime, state: &ZoneState, service: &ServiceName) -> bool {
        !self.free_slots(now, state, service).is_empty()
    }

    /// Returns whether dispatchers must release the slots now to finish before the custody lease
    /// ends.
    fn is_custody_ending(&self, now: MonoTime, state: &ZoneState, service: &ServiceName) -> bool {
        let needed = self.config.dispatcher_lease + CUSTODY_END_SLACK;
        let left = self.custody.time_left(now, state, service);
        left.is_some_and(|left| left < needed)
    }

    /// Releases slots from servers that are down or draining, as long as other servers accept
    /// slots.
    ///
    /// A server that is down releases all its slots at once, others release their hottest ones.
    fn plan_server_releases(
        &self,
        state: &ZoneState,
        service: &ServiceName,
        view: &ServiceView,
        commands: &mut Vec<ZoneCommand>,
    ) {
        let accepts = |server: &ServerId| view.servers.contains(server);
        for (server, entry) in state.servers() {
            if entry.record.service != *service || accepts(server) {
                continue;
            }
            if self.health.is_down(server, entry.record.incarnation) {
                release_all(state, service, |hold| hold.server == *server, commands);
            } else {
                release_hottest(state, service, server, &view.loads, commands);
            }
        }
    }

    fn service_view(
        &mut self,
        now: MonoTime,
        state: &ZoneState,
        service: &ServiceName,
        accepting: &BTreeMap<ServerId, f64>,
    ) -> ServiceView {
        let servers: Vec<ServerId> = accepting.keys().cloned().collect();
        let placement_servers = accepting
            .iter()
            .map(|(server, weight)| PlacementServer {
                name_hash: xxh3_64(server.as_bytes()),
                weight: *weight,
                warmup_factor: self
                    .health
                    .warmup_factor(now, server, self.config.cold_start_ramp),
            })
            .collect();
        let places = self.places_of(now, state, service, &servers);
        let heat = self.heat.entry(service.clone()).or_default();
        heat.decay(now);
        let loads = HeatMap::loads(heat);
        ServiceView {
            servers,
            placement_servers,
            places,
            loads,
        }
    }

    /// Returns the services with at least one server in the zone that accepts slots.
    pub(super) fn served_services(&self, state: &ZoneState) -> BTreeSet<ServiceName> {
        let services = state.table().services.iter();
        services
            .filter(|(service, policy)| {
                let accepting = self.accepting_servers(state, service, policy);
                !accepting.is_empty()
            })
            .map(|(service, _)| service.clone())
            .collect()
    }

    /// Returns the servers that may get slots, with their weight.
    fn accepting_servers(
        &self,
        state: &ZoneState,
        service: &ServiceName,
        policy: &ServicePolicy,
    ) -> BTreeMap<ServerId, f64> {
        let mut accepting = BTreeMap::new();
        if !policy.zones.contains(state.zone()) {
            return accepting;
        }
        let own = state.servers().iter();
        for (server, entry) in own.filter(|(_, entry)| entry.record.service == *service) {
            let record = &entry.record;
            let weight = weight_of(state.table(), service, policy, server);
            let is_down = self.health.is_down(server, record.incarnation);
            if !record.draining && weight > 0 && !is_down {
                accepting.insert(server.clone(), f64::from(weight));
            }
        }
        accepting
    }

    fn places_of(
        &self,
        now: MonoTime,
        state: &ZoneState,
        service: &ServiceName,
        servers: &[ServerId],
    ) -> Vec<SlotPlace> {
        let mut places = vec![SlotPlace::Fixed; usize::from(SLOTS_PER_SERVICE)];
        for run in self.free_slots(now, state, service) {
            fill(&mut places, run, SlotPlace::Free);
        }
        let holds = state.holds(service);
        for (run, hold) in holds.into_iter().flat_map(RunMap::iter) {
            let index = servers.binary_search(&hold.server).ok();
            let index = index.and_then(|index| u16::try_from(index).ok());
            if let (Some(index), None) = (index, hold.releasing_since) {
                fill(&mut places, run, SlotPlace::Owned(index));
            }
        }
        places
    }
}

/// Returns the weight of a server according to the table. Weight 0 drains the server.
fn weight_of(
    table: &Table,
    service: &ServiceName,
    policy: &ServicePolicy,
    server: &ServerId,
) -> u32 {
    let row = table
        .overrides
        .get(service)
        .and_then(|rows| rows.get(server));
    row.and_then(|row| row.weight).unwrap_or(policy.weight)
}

fn fill(places: &mut [SlotPlace], run: SlotRun, place: SlotPlace) {
    let last = usize::from(run.last).min(places.len() - 1);
    places[usize::from(run.first)..=last].fill(place);
}

fn release_all(
    state: &ZoneState,
    service: &ServiceName,
    matches: impl Fn(&SlotHold) -> bool,
    commands: &mut Vec<ZoneCommand>,
) {
    let mut by_server: BTreeMap<ServerId, Vec<SlotRun>> = BTreeMap::new();
    let holds = state.holds(service);
    for (run, hold) in holds.into_iter().flat_map(RunMap::iter) {
        if hold.releasing_since.is_none() && matches(hold) {
            by_server.entry(hold.server.clone()).or_default().push(run);
        }
    }
    push_release_commands(service, by_server, commands);
}

fn release_hottest(
    state: &ZoneState,
    service: &ServiceName,
    server: &ServerId,
    loads: &[f32],
    commands: &mut Vec<ZoneCommand>,
) {
    let holds = state.holds(service);
    let own = holds
        .into_iter()
        .flat_map(RunMap::iter)
        .filter(|(_, hold)| hold.server == *server && hold.releasing_since.is_none());
    let mut slots: Vec<Slot> = own.flat_map(|(run, _)| run.slots()).collect();
    slots.sort_by(|a, b| loads[usize::from(*b)].total_cmp(&loads[usize::from(*a)]));
    slots.truncate(DRAIN_SLOTS);
    slots.sort_unstable();
    let runs = SlotRun::from_slots(slots);
    push_release_commands(service, [(server.clone(), runs)].into(), commands);
}

fn push_releases(
    service: &ServiceName,
    view: &ServiceView,
    plan: &PlacementPlan,
    commands: &mut Vec<ZoneCommand>,
) {
    let mut slots = plan.release.clone();
    slots.sort_unstable();
    let mut by_server: BTreeMap<ServerId, Vec<Slot>> = BTreeMap::new();
    for slot in slots {
        if let SlotPlace::Owned(server) = view.places[usize::from(slot)] {
            let server = view.servers[usize::from(server)].clone();
            by_server.entry(server).or_default().push(slot);
        }
    }
    let by_server = by_server
        .into_iter()
        .map(|(server, slots)| (server, SlotRun::from_slots(slots)))
        .collect();
    push_release_commands(service, by_server, commands);
}

fn push_release_commands(
    service: &ServiceName,
    by_server: BTreeMap<ServerId, Vec<SlotRun>>,
    commands: &mut Vec<ZoneCommand>,
) {
    for (server, runs) in by_server.into_iter().filter(|(_, runs)| !runs.is_empty()) {
        commands.push(ZoneCommand::ReleaseSlots {
            service: service.clone(),
            runs,
            server,
        });
    }
}

fn push_assignments(
    service: &ServiceName,
    view: &ServiceView,
    plan: &PlacementPlan,
    commands: &mut Vec<ZoneCommand>,
) {
    let mut by_server: BTreeMap<u16, Vec<Slot>> = BTreeMap::new();
    for assignment in &plan.assign {
        by_server
            .entry(assignment.server)
            .or_default()
            .push(assignment.slot);
    }
    for (server, mut slots) in by_server {
        slots.sort_unstable();
        commands.push(ZoneCommand::AssignSlots {
            service: service.clone(),
            runs: SlotRun::from_slots(slots),
            server: view.servers[usize::from(server)].clone(),
        });
    }
}
