//! Finds who may serve a request.

use chicory_types::{FencingToken, Slot, VmId};

use crate::path_state::PathState;
use crate::request::{ClaimState, RequestState, Target};
use crate::server::{Dispatch, ServerHealth, ServerState};
use crate::steps::route::Route;
use crate::view::{ServerIndex, SlotState};
use crate::{RefusalReason, RequestOrigin};

/// Scale of a server's load before it is divided by its weight.
const LOAD_SCALE: u64 = 1_000_000;

/// Finds who may serve a request.
pub(crate) fn route(state: &mut PathState, request: &RequestState) -> Route {
    match request.demand.target {
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
            via_dispatcher(state, request, server, Some((slot, token)))
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
            Some(server) => via_dispatcher(state, request, server, None),
            None => Route::Refused(no_server(state)),
        },
    }
}

fn route_to_any(state: &mut PathState, request: &RequestState) -> Route {
    if let Some(server) = pick_server(state, request) {
        return via_dispatcher(state, request, server, None);
    }
    if request.hops() > 0 || request.passed_over.is_some() {
        return Route::Refused(no_server(state));
    }
    match other_zone(state, request) {
        Some(zone) => relay_to_zone(state, request, &zone),
        None => Route::Refused(no_server(state)),
    }
}

/// Why there is no server: without a lease its own ones don't count.
fn no_server(state: &PathState) -> RefusalReason {
    if state.lease.is_held(state.now) {
        RefusalReason::NoServer
    } else {
        RefusalReason::NoLease
    }
}

/// A random other zone that the service lists and that has entry processes.
fn other_zone(state: &mut PathState, request: &RequestState) -> Option<String> {
    let policy = state.directory.policy(&request.head.service)?;
    let is_usable =
        |zone: &&String| **zone != state.config.zone && !state.directory.entries(zone).is_empty();
    let zones: Vec<String> = policy.zones.iter().filter(is_usable).cloned().collect();
    let choice = state.random_below(zones.len() as u64);
    zones.into_iter().nth(usize::try_from(choice).ok()?)
}

fn via_dispatcher(
    state: &PathState,
    request: &RequestState,
    server: ServerIndex,
    grant: Option<(Slot, FencingToken)>,
) -> Route {
    match state.observations.get(server).map(|o| o.dispatch) {
        Some(Dispatch::Own) => via_own(state, request, server, grant),
        Some(Dispatch::Other) => via_other(state, request, server),
        Some(Dispatch::Nobody) | None => Route::Refused(RefusalReason::NoDispatcher),
    }
}

fn via_own(
    state: &PathState,
    request: &RequestState,
    server: ServerIndex,
    grant: Option<(Slot, FencingToken)>,
) -> Route {
    let Some(own) = state.servers.get(&server) else {
        return Route::Refused(RefusalReason::NoDispatcher);
    };
    if !state.lease.is_held(state.now) {
        return Route::Refused(RefusalReason::NoLease);
    }
    if own.is_leaving && state.is_running() {
        return Route::Refused(RefusalReason::NoDispatcher);
    }
    if own.is_leaving && request.tries == 0 && request.claim == ClaimState::None {
        return Route::Refused(RefusalReason::Stopping);
    }
    if own.is_down() {
        return Route::Refused(RefusalReason::ServerFailed);
    }
    let grace = state.config.drain_grace;
    if own
        .draining_since
        .is_some_and(|since| state.now >= since + grace)
    {
        return Route::Refused(RefusalReason::NoOwner);
    }
    Route::Own { server, grant }
}

fn via_other(state: &PathState, request: &RequestState, server: ServerIndex) -> Route {
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
    let is_good = |vm: &VmId| failed.get(vm).is_none_or(|until| now >= *until);
    let entries = state.directory.entries(zone);
    let good: Vec<usize> = (0..entries.len())
        .filter(|i| is_good(&entries[*i].vm))
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

/// The less loaded of two servers drawn by weight; servers that were ejected or are suspected only
/// if no other is left.
fn pick_server(state: &mut PathState, request: &RequestState) -> Option<ServerIndex> {
    let mut candidates = std::mem::take(&mut state.candidates);
    collect_usable(state, request, Favor::Required, &mut candidates);
    if candidates.is_empty() {
        collect_usable(state, request, Favor::Waived, &mut candidates);
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

/// Whether servers have to be free of ejection and suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Favor {
    Required,
    Waived,
}

/// A claim is held by this process, so its order can't go through another one.
fn must_be_own(state: &PathState, request: &RequestState) -> bool {
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
    favor: Favor,
    usable: &mut Vec<(ServerIndex, u64)>,
) {
    usable.clear();
    let only_own = must_be_own(state, request);
    let holds_lease = state.lease.is_held(state.now);
    for index in state.directory.servers_of(&request.head.service) {
        let Some(seen) = state.observations.get(*index) else {
            continue;
        };
        let is_passed = request.passed_over == Some(*index) || request.avoided.contains(index);
        let is_ejected = favor == Favor::Required && seen.is_ejected(state.now);
        if seen.weight == 0 || is_passed || is_ejected {
            continue;
        }
        let is_usable = match seen.dispatch {
            Dispatch::Nobody => false,
            Dispatch::Other => !only_own && is_entry_usable(state, *index),
            Dispatch::Own => holds_lease && is_own_usable(state, request, *index, favor),
        };
        if is_usable {
            usable.push((*index, seen.ramped_weight(state.now, state.config.ramp)));
        }
    }
}

fn is_own_usable(
    state: &PathState,
    request: &RequestState,
    index: ServerIndex,
    favor: Favor,
) -> bool {
    let own = state.servers.get(&index);
    own.is_some_and(|own| {
        let is_favored = favor == Favor::Waived || own.health == ServerHealth::Up;
        is_favored && is_open(own, state.is_running(), request)
    })
}

/// A role that is given up serves only what was taken in before.
fn is_open(own: &ServerState, is_running: bool, request: &RequestState) -> bool {
    let is_taken_in = request.tries > 0 || request.claim != ClaimState::None;
    let is_kept = !own.is_leaving || (!is_running && is_taken_in);
    is_kept && !own.is_down() && own.draining_since.is_none()
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
    let seen = &state.observations[index];
    let outstanding = match state.servers.get(&index) {
        Some(own) => own.outstanding() as u64,
        None => seen.outstanding_elsewhere(state.now),
    };
    (outstanding + 1) * LOAD_SCALE / weight.max(1)
}
