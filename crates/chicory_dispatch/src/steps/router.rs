//! The routing of requests to backend servers and other entry processes.

use chicory_types::{FencingToken, Slot, VmId};

use crate::path_state::PathState;
use crate::request::{ClaimState, RequestState, Target};
use crate::server::{DispatcherLocation, ServerHealth, ServerState};
use crate::steps::route::Route;
use crate::view::{ServerIndex, SlotState};
use crate::{RefusalReason, RequestOrigin};

/// Factor on a server's load before the integer division by its weight, to keep precision.
const LOAD_SCALE: u64 = 1_000_000;

/// Finds the route of a request.
pub(crate) fn route(state: &mut PathState, request: &RequestState) -> Route {
    match request.requirements.target {
        Target::Owner(slot) => route_to_owner(state, request, slot),
        Target::Custodian(slot) => route_to_custodian(state, request, slot),
        Target::Any => route_to_any(state, request),
    }
}

fn route_to_owner(state: &mut PathState, request: &RequestState, slot: Slot) -> Route {
    let service = &request.head.service;
    match state.directory.custodian(service, slot) {
        None => return Route::Refused(RefusalReason::NoOwner),
        Some(zone) if *zone != state.config.zone => {
            let zone = zone.clone();
            return relay_to_zone(state, request, &zone);
        }
        Some(_) => {}
    }
    match state.directory.slot(service, slot) {
        SlotState::Owned { server, token } => {
            route_via_dispatcher(state, request, server, Some((slot, token)))
        }
        SlotState::Unowned | SlotState::Releasing { .. } => Route::Refused(RefusalReason::NoOwner),
    }
}

fn route_to_custodian(state: &mut PathState, request: &RequestState, slot: Slot) -> Route {
    match state.directory.custodian(&request.head.service, slot) {
        None => Route::Refused(RefusalReason::ZoneUnreachable),
        Some(zone) if *zone != state.config.zone => {
            let zone = zone.clone();
            relay_to_zone(state, request, &zone)
        }
        Some(_) => match pick_server(state, request) {
            Some(server) => route_via_dispatcher(state, request, server, None),
            None => Route::Refused(no_server(state)),
        },
    }
}

fn route_to_any(state: &mut PathState, request: &RequestState) -> Route {
    if let Some(server) = pick_server(state, request) {
        return route_via_dispatcher(state, request, server, None);
    }
    if request.hops() > 0 || request.declined_by.is_some() {
        return Route::Refused(no_server(state));
    }
    match other_zone(state, request) {
        Some(zone) => relay_to_zone(state, request, &zone),
        None => Route::Refused(no_server(state)),
    }
}

/// Returns why there is no server: without a lease, this process can't use its own servers.
fn no_server(state: &PathState) -> RefusalReason {
    if state.lease.is_held(state.now) {
        RefusalReason::NoServer
    } else {
        RefusalReason::NoLease
    }
}

/// Returns a random other zone that the policy of the service lists and that has entry processes.
fn other_zone(state: &mut PathState, request: &RequestState) -> Option<String> {
    let policy = state.directory.policy(&request.head.service)?;
    let is_usable =
        |zone: &&String| **zone != state.config.zone && !state.directory.entries(zone).is_empty();
    let zones: Vec<String> = policy.zones.iter().filter(is_usable).cloned().collect();
    let choice = state.random_below(zones.len() as u64);
    zones.into_iter().nth(usize::try_from(choice).ok()?)
}

fn route_via_dispatcher(
    state: &PathState,
    request: &RequestState,
    server: ServerIndex,
    grant: Option<(Slot, FencingToken)>,
) -> Route {
    match state
        .observations
        .get(server)
        .map(|o| o.dispatcher_location)
    {
        Some(DispatcherLocation::Local) => route_to_local_server(state, request, server, grant),
        Some(DispatcherLocation::Remote) => relay_to_dispatcher(state, request, server),
        Some(DispatcherLocation::Unassigned) | None => Route::Refused(RefusalReason::NoDispatcher),
    }
}

fn route_to_local_server(
    state: &PathState,
    request: &RequestState,
    server: ServerIndex,
    grant: Option<(Slot, FencingToken)>,
) -> Route {
    let Some(local_server) = state.servers.get(&server) else {
        return Route::Refused(RefusalReason::NoDispatcher);
    };
    if !state.lease.is_held(state.now) {
        return Route::Refused(RefusalReason::NoLease);
    }
    if local_server.is_resigning && state.is_running() {
        return Route::Refused(RefusalReason::NoDispatcher);
    }
    if local_server.is_resigning && request.tries == 0 && request.claim == ClaimState::None {
        return Route::Refused(RefusalReason::Stopping);
    }
    if local_server.is_down() {
        return Route::Refused(RefusalReason::ServerFailed);
    }
    let grace = state.config.drain_grace;
    if local_server
        .draining_since
        .is_some_and(|since| state.now >= since + grace)
    {
        return Route::Refused(RefusalReason::NoOwner);
    }
    Route::Local { server, grant }
}

fn relay_to_dispatcher(state: &PathState, request: &RequestState, server: ServerIndex) -> Route {
    if request.hops() >= state.config.max_hops {
        return Route::Refused(RefusalReason::NoDispatcher);
    }
    let vm = state
        .directory
        .server(server)
        .and_then(|s| s.dispatcher.as_ref());
    let entry = vm.and_then(|vm| state.directory.entry(&state.config.zone, vm));
    match entry {
        Some(entry) if !is_failed(state, &entry.vm) => Route::Relay {
            vm: entry.vm.clone(),
            address: entry.peer_address.clone(),
            server: Some(server),
        },
        _ => Route::Refused(RefusalReason::NoDispatcher),
    }
}

fn relay_to_zone(state: &mut PathState, request: &RequestState, zone: &str) -> Route {
    if request.hops() >= state.config.max_hops {
        return Route::Refused(RefusalReason::ZoneUnreachable);
    }
    let now = state.now;
    let failed = &state.failed_entries;
    let has_not_failed = |vm: &VmId| failed.get(vm).is_none_or(|until| now >= *until);
    let entries = state.directory.entries(zone);
    let good: Vec<usize> = (0..entries.len())
        .filter(|i| has_not_failed(&entries[*i].vm))
        .collect();
    let choice = state.random_below(good.len() as u64);
    let chosen = usize::try_from(choice).ok().and_then(|c| good.get(c));
    match chosen.and_then(|i| state.directory.entries(zone).get(*i)) {
        Some(entry) => Route::Relay {
            vm: entry.vm.clone(),
            address: entry.peer_address.clone(),
            server: None,
        },
        None => Route::Refused(RefusalReason::ZoneUnreachable),
    }
}

fn is_failed(state: &PathState, vm: &VmId) -> bool {
    let until = state.failed_entries.get(vm);
    until.is_some_and(|until| state.now < *until)
}

/// Returns the less loaded of two servers drawn by weight.
///
/// Servers that are ejected or suspected are used only if there is no other.
fn pick_server(state: &mut PathState, request: &RequestState) -> Option<ServerIndex> {
    let mut candidates = std::mem::take(&mut state.candidates);
    collect_usable(
        state,
        request,
        CandidateFilter::HealthyOnly,
        &mut candidates,
    );
    if candidates.is_empty() {
        collect_usable(
            state,
            request,
            CandidateFilter::IncludeUnhealthy,
            &mut candidates,
        );
    }
    let picked = pick_of(state, &candidates);
    state.candidates = candidates;
    picked
}

fn pick_of(state: &mut PathState, candidates: &[(ServerIndex, u64)]) -> Option<ServerIndex> {
    if candidates.len() <= 1 {
        return candidates.first().map(|(index, _)| *index);
    }
    let total: u64 = candidates.iter().map(|(_, weight)| weight).sum();
    let first = draw(candidates, state.random_below(total));
    let second = draw(candidates, state.random_below(total));
    Some(less_loaded(state, candidates[first], candidates[second]))
}

/// Whether candidate servers must be neither ejected nor suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CandidateFilter {
    HealthyOnly,
    IncludeUnhealthy,
}

/// Returns whether a request may only use servers that this process dispatches to.
///
/// An order with a claim may not be relayed, because this process holds the claim. A request that
/// was relayed within the zone or has reached the maximum number of relays may not be relayed
/// again.
fn must_use_local_server(state: &PathState, request: &RequestState) -> bool {
    if request.claim != ClaimState::None {
        return true;
    }
    match &request.head.origin {
        RequestOrigin::Caller => false,
        RequestOrigin::Relay { hops, from_zone } => {
            *hops >= state.config.max_hops || *from_zone == state.config.zone
        }
    }
}

fn collect_usable(
    state: &PathState,
    request: &RequestState,
    candidate_filter: CandidateFilter,
    usable: &mut Vec<(ServerIndex, u64)>,
) {
    usable.clear();
    let only_local = must_use_local_server(state, request);
    let holds_lease = state.lease.is_held(state.now);
    for index in state.directory.servers_of(&request.head.service) {
        let Some(observation) = state.observations.get(*index) else {
            continue;
        };
        let is_excluded = request.declined_by == Some(*index) || request.avoided.contains(index);
        let is_ejected =
            candidate_filter == CandidateFilter::HealthyOnly && observation.is_ejected(state.now);
        if observation.weight == 0 || is_excluded || is_ejected {
            continue;
        }
        let is_usable = match observation.dispatcher_location {
            DispatcherLocation::Unassigned => false,
            DispatcherLocation::Remote => !only_local && is_entry_usable(state, *index),
            DispatcherLocation::Local => {
                holds_lease && is_local_server_usable(state, request, *index, candidate_filter)
            }
        };
        if is_usable {
            usable.push((
                *index,
                observation.ramped_weight(state.now, state.config.ramp),
            ));
        }
    }
}

fn is_local_server_usable(
    state: &PathState,
    request: &RequestState,
    index: ServerIndex,
    candidate_filter: CandidateFilter,
) -> bool {
    let local_server = state.servers.get(&index);
    local_server.is_some_and(|local_server| {
        let is_allowed = candidate_filter == CandidateFilter::IncludeUnhealthy
            || local_server.health == ServerHealth::Up;
        is_allowed && accepts_request(local_server, state.is_running(), request)
    })
}

/// Returns whether a server accepts a request.
///
/// While the process stops, the roles that it resigns still serve the requests accepted before.
fn accepts_request(local_server: &ServerState, is_running: bool, request: &RequestState) -> bool {
    let was_accepted = request.tries > 0 || request.claim != ClaimState::None;
    let is_kept = !local_server.is_resigning || (!is_running && was_accepted);
    is_kept && !local_server.is_down() && local_server.draining_since.is_none()
}

fn is_entry_usable(state: &PathState, index: ServerIndex) -> bool {
    if state.failed_entries.is_empty() {
        return true;
    }
    let vm = state
        .directory
        .server(index)
        .and_then(|s| s.dispatcher.as_ref());
    vm.is_some_and(|vm| !is_failed(state, vm))
}

fn draw(candidates: &[(ServerIndex, u64)], mut point: u64) -> usize {
    for (position, (_, weight)) in candidates.iter().enumerate() {
        if point < *weight {
            return position;
        }
        point -= weight;
    }
    0
}

fn less_loaded(
    state: &PathState,
    first: (ServerIndex, u64),
    second: (ServerIndex, u64),
) -> ServerIndex {
    if score(state, second) < score(state, first) {
        second.0
    } else {
        first.0
    }
}

fn score(state: &PathState, (index, weight): (ServerIndex, u64)) -> u64 {
    let observation = &state.observations[index];
    let outstanding = match state.servers.get(&index) {
        Some(local_server) => local_server.outstanding() as u64,
        None => observation.outstanding_elsewhere(state.now),
    };
    (outstanding + 1) * LOAD_SCALE / weight.max(1)
}
