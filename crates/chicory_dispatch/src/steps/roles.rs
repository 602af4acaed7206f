//! Dispatcher roles: taking them over, updating them with the view, and resigning them.

use chicory_ownership::ServerRecord;
use chicory_types::RequestId;

use crate::RefusalReason;
use crate::limits::ServiceLimits;
use crate::path_state::PathState;
use crate::request::{Phase, RequestState};
use crate::resignation::Resignation;
use crate::server::{
    DispatcherLocation, GrantRegistry, ServerLimits, ServerObservation, ServerState,
};
use crate::steps::exchange_ends::{ConnectionDisposition, close, end_exchange};
use crate::steps::placing::dispatch_queued;
use crate::steps::{health, retries};
use crate::view::{ServerIndex, SlotState};

/// Updates roles, limits and queues after a change of the view.
pub(crate) fn sync(state: &mut PathState, is_first_view: bool) {
    sync_services(state);
    for index in 0..state.directory.servers().len() {
        sync_observation(state, index, is_first_view);
        sync_role(state, index);
    }
    let local_servers: Vec<ServerIndex> = state.servers.keys().copied().collect();
    for index in local_servers {
        reroute_stale(state, index);
        dispatch_queued(state, index);
    }
}

fn sync_services(state: &mut PathState) {
    let now = state.now;
    let share = state.config.retry_share;
    let table = state.directory.table();
    let services = &mut state.services;
    services.retain(|name, _| table.services.contains_key(name));
    for (name, policy) in &table.services {
        let limits = services
            .entry(name.clone())
            .or_insert_with(|| ServiceLimits::new(share, now));
        limits.set_rate(policy.rate_limit_per_s, now);
    }
}

fn sync_observation(state: &mut PathState, index: ServerIndex, is_first_view: bool) {
    if state.observations.len() <= index {
        state.observations.push(ServerObservation::default());
    }
    let dispatcher_location = dispatcher_location_of(state, index);
    let weight = state.directory.weight(index);
    let record = state
        .directory
        .server(index)
        .and_then(|s| s.record.as_ref());
    let found = record.map(|r| (r.incarnation, limits_of(state, r)));
    let now = state.now;
    let observation = &mut state.observations[index];
    observation.dispatcher_location = dispatcher_location;
    observation.weight = weight;
    let Some((incarnation, limits)) = found else {
        return;
    };
    observation.capacity = u32::try_from(limits.max_in_flight).unwrap_or(u32::MAX);
    if incarnation != observation.incarnation && !is_first_view {
        observation.start_ramp(now);
    }
    observation.incarnation = incarnation;
}

fn dispatcher_location_of(state: &PathState, index: ServerIndex) -> DispatcherLocation {
    let server = state.directory.server(index);
    match server.and_then(|s| s.dispatcher.as_ref()) {
        None => DispatcherLocation::Unassigned,
        Some(vm) if *vm == state.config.vm => DispatcherLocation::Local,
        Some(_) => DispatcherLocation::Remote,
    }
}

fn limits_of(state: &PathState, record: &ServerRecord) -> ServerLimits {
    let server_override = state.directory.override_of(record);
    let Some(policy) = state.directory.policy(&record.service) else {
        return ServerLimits::default();
    };
    let in_flight = server_override
        .max_in_flight
        .unwrap_or(policy.max_in_flight);
    let connections = server_override
        .max_connections
        .unwrap_or(policy.max_connections);
    let queue = server_override.queue_limit.unwrap_or(policy.queue_limit);
    ServerLimits {
        max_in_flight: stricter_limit(in_flight, record.slots),
        max_connections: stricter_limit(connections, record.connections),
        queue_limit: usize::try_from(queue).unwrap_or(usize::MAX),
        rate_limit_per_s: server_override.rate_limit_per_s.unwrap_or(0),
    }
}

/// Returns the lower of two limits, where 0 means no limit, but at least 1.
fn stricter_limit(by_table: u32, announced: u32) -> usize {
    let limit = match (by_table, announced) {
        (0, other) | (other, 0) => other,
        (a, b) => a.min(b),
    };
    usize::try_from(limit.max(1)).unwrap_or(usize::MAX)
}

fn sync_role(state: &mut PathState, index: ServerIndex) {
    let Some(server) = state.directory.server(index) else {
        return;
    };
    let epoch = server.epoch;
    let has_resigned = state
        .resigned
        .get(&server.id)
        .is_some_and(|r| r.epoch == epoch);
    let is_local = dispatcher_location_of(state, index) == DispatcherLocation::Local;
    match server.record.clone() {
        Some(record) if is_local && !has_resigned => keep_role(state, index, &record, epoch),
        Some(_) => lose_role(state, index),
        None => forget_server(state, index),
    }
}

fn keep_role(state: &mut PathState, index: ServerIndex, record: &ServerRecord, epoch: u64) {
    let now = state.now;
    let lease = state.config.server_lease;
    let limits = limits_of(state, record);
    let server_slots = state.directory.server_slots(&record.service, index);
    let is_stopping = !state.is_running();
    state.resigned.remove(&record.server);
    let server = state
        .servers
        .entry(index)
        .or_insert_with(|| ServerState::new(record, epoch, GrantRegistry::new(epoch, lease, now)));
    if server.epoch != epoch {
        server.epoch = epoch;
        server.grants = GrantRegistry::new(epoch, lease, now);
        server.is_resigning = false;
    }
    server.is_resigning |= is_stopping;
    state.has_resigning_roles |= server.is_resigning;
    server.address.clone_from(&record.address);
    server.checks_grants = record.checks_grants;
    server.set_limits(limits, now);
    server.grants.sync(server_slots);
    record_restart(state, index, record);
    update_draining(state, index, record.draining);
}

/// Records the incarnation of a server; a later one right after a broken connection means that the
/// server has crashed.
pub(crate) fn record_restart(state: &mut PathState, index: ServerIndex, record: &ServerRecord) {
    let Some(server) = state.servers.get_mut(&index) else {
        return;
    };
    if record.incarnation <= server.incarnation {
        return;
    }
    server.incarnation = record.incarnation;
    server.address.clone_from(&record.address);
    let has_broken = !server.recent_breaks.is_empty();
    if has_broken {
        health::report_crash(state, index);
    }
    close_unused(state, index);
}

/// Closes the connections to the previous incarnation on which no request is in flight.
fn close_unused(state: &mut PathState, index: ServerIndex) {
    let Some(server) = state.servers.get(&index) else {
        return;
    };
    for connection in server.pool.idle_without_contact_since(state.now) {
        close(state, connection);
    }
}

/// Drains a server that announces that it is draining, or whose weight is 0.
pub(crate) fn update_draining(state: &mut PathState, index: ServerIndex, is_announced: bool) {
    if is_announced || state.directory.weight(index) == 0 {
        health::drain(state, index);
    } else if let Some(server) = state.servers.get_mut(&index) {
        server.draining_since = None;
    }
}

/// Starts to resign a role: another process dispatches to the server, or will do so next.
fn lose_role(state: &mut PathState, index: ServerIndex) {
    let Some(server) = state.servers.get_mut(&index) else {
        return;
    };
    server.is_resigning = true;
    state.has_resigning_roles = true;
    health::reroute_queue(state, index);
}

fn forget_server(state: &mut PathState, index: ServerIndex) {
    lose_role(state, index);
    let Some(server) = state.servers.get(&index) else {
        return;
    };
    for id in server.in_flight.clone() {
        cancel_exchange(state, id, RefusalReason::ServerFailed);
    }
}

/// Cancels the exchange of a request.
fn cancel_exchange(state: &mut PathState, id: RequestId, reason: RefusalReason) {
    let Some(mut request) = state.take_request(id) else {
        return;
    };
    let Phase::InFlight(exchange) = request.phase else {
        return state.put_request(id, request);
    };
    end_exchange(state, id, &request, exchange, ConnectionDisposition::Close);
    if exchange.is_forwarding {
        return crate::steps::exchange_ends::break_answer(state, id, &mut request);
    }
    request.end_unknown();
    request.avoid(exchange.server);
    retries::retry_or_refuse(state, id, request, reason);
}

/// Routes queued requests again whose slot no longer belongs to the server.
fn reroute_stale(state: &mut PathState, index: ServerIndex) {
    let Some(server) = state.servers.get(&index) else {
        return;
    };
    for id in server.queue.requests() {
        if is_stale(state, index, id) {
            health::reroute_queued(state, index, id);
        }
    }
}

fn is_stale(state: &PathState, index: ServerIndex, id: RequestId) -> bool {
    let Some(request) = state.requests.get(&id) else {
        return false;
    };
    let Some((slot, token)) = request.grant else {
        return false;
    };
    let current = SlotState::Owned {
        server: index,
        token,
    };
    let service = &request.head.service;
    let is_ours = state.directory.custodian(service, slot) == Some(&state.config.zone);
    !is_ours || state.directory.slot(service, slot) != current
}

/// Handles the end of the lease.
///
/// Without a lease nothing may be written, so queued requests are routed again, which relays or
/// refuses them. Keyed requests in flight on a server that checks no grants are cancelled, since
/// their slots may now get another owner.
pub(crate) fn on_lease_end(state: &mut PathState) {
    state.counters.lease_ends += 1;
    let local_servers: Vec<ServerIndex> = state.servers.keys().copied().collect();
    for index in local_servers {
        health::reroute_queue(state, index);
        cancel_unchecked(state, index);
    }
}

fn cancel_unchecked(state: &mut PathState, index: ServerIndex) {
    let Some(server) = state.servers.get(&index) else {
        return;
    };
    if server.checks_grants {
        return;
    }
    for id in server.in_flight.clone() {
        let is_keyed = state.requests.get(&id).is_some_and(|r| r.grant.is_some());
        if is_keyed {
            cancel_exchange(state, id, RefusalReason::NoLease);
        }
    }
}

/// Resigns the roles that have no requests left.
pub(crate) fn resign_idle(state: &mut PathState) {
    if !state.has_resigning_roles {
        return;
    }
    let is_waiting = |r: &RequestState| matches!(r.phase, Phase::Placing);
    if !state.is_running() && state.requests.values().any(|r| is_waiting(r)) {
        return;
    }
    let is_over = |s: &ServerState| s.is_resigning && s.outstanding() == 0;
    let idle = state.servers.iter().filter(|(_, s)| is_over(s));
    let over: Vec<ServerIndex> = idle.map(|(index, _)| *index).collect();
    for index in over {
        resign(state, index);
    }
    state.has_resigning_roles = state.servers.values().any(|s| s.is_resigning);
}

fn resign(state: &mut PathState, index: ServerIndex) {
    let Some(server) = state.servers.get(&index) else {
        return;
    };
    let connections: Vec<u64> = server.pool.iter().map(|(id, _)| id).collect();
    for connection in connections {
        close(state, connection);
        state.connections.remove(&connection);
    }
    if let Some(server) = state.servers.remove(&index) {
        let resignation = Resignation {
            epoch: server.epoch,
            is_acknowledged: false,
        };
        state.resigned.insert(server.id, resignation);
    }
    state.lease.renew_soon(state.now);
}
