//! Dispatcher roles: taking them over, keeping them in line with the view, giving them up.

use chicory_ownership::ServerRecord;
use chicory_types::RequestId;

use crate::RefusalReason;
use crate::limits::ServiceLimits;
use crate::path_state::PathState;
use crate::request::{Phase, RequestState};
use crate::resignation::Resignation;
use crate::server::{Dispatch, GrantBook, ServerLimits, ServerObservation, ServerState};
use crate::steps::exchange_ends::{ConnectionFate, close, end_exchange};
use crate::steps::placing::pump;
use crate::steps::{health, retries};
use crate::view::{ServerIndex, SlotState};

/// Brings roles, limits and queues in line with the view.
pub(crate) fn sync(state: &mut PathState, is_first_view: bool) {
    sync_services(state);
    for index in 0..state.directory.servers().len() {
        sync_observation(state, index, is_first_view);
        sync_role(state, index);
    }
    let own: Vec<ServerIndex> = state.servers.keys().copied().collect();
    for index in own {
        replace_stale(state, index);
        pump(state, index);
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
    let dispatch = dispatch_of(state, index);
    let weight = state.directory.weight(index);
    let record = state
        .directory
        .server(index)
        .and_then(|s| s.record.as_ref());
    let found = record.map(|r| (r.incarnation, limits_of(state, r)));
    let now = state.now;
    let seen = &mut state.observations[index];
    seen.dispatch = dispatch;
    seen.weight = weight;
    let Some((incarnation, limits)) = found else {
        return;
    };
    seen.capacity = u32::try_from(limits.max_in_flight).unwrap_or(u32::MAX);
    if incarnation != seen.incarnation && !is_first_view {
        seen.start_ramp(now);
    }
    seen.incarnation = incarnation;
}

fn dispatch_of(state: &PathState, index: ServerIndex) -> Dispatch {
    let server = state.directory.server(index);
    match server.and_then(|s| s.dispatcher.as_ref()) {
        None => Dispatch::Nobody,
        Some(vm) if *vm == state.config.vm => Dispatch::Own,
        Some(_) => Dispatch::Other,
    }
}

fn limits_of(state: &PathState, record: &ServerRecord) -> ServerLimits {
    let own = state.directory.override_of(record);
    let Some(policy) = state.directory.policy(&record.service) else {
        return ServerLimits::default();
    };
    let in_flight = own.max_in_flight.unwrap_or(policy.max_in_flight);
    let connections = own.max_connections.unwrap_or(policy.max_connections);
    let queue = own.queue_limit.unwrap_or(policy.queue_limit);
    ServerLimits {
        max_in_flight: tighter(in_flight, record.slots),
        max_connections: tighter(connections, record.connections),
        queue_limit: usize::try_from(queue).unwrap_or(usize::MAX),
        rate_limit_per_s: own.rate_limit_per_s.unwrap_or(0),
    }
}

/// The lesser of two limits, where 0 stands for none; at least one.
fn tighter(by_table: u32, announced: u32) -> usize {
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
    let is_own = dispatch_of(state, index) == Dispatch::Own;
    match server.record.clone() {
        Some(record) if is_own && !has_resigned => keep_role(state, index, &record, epoch),
        Some(_) => lose_role(state, index),
        None => forget_server(state, index),
    }
}

fn keep_role(state: &mut PathState, index: ServerIndex, record: &ServerRecord, epoch: u64) {
    let now = state.now;
    let lease = state.config.server_lease;
    let limits = limits_of(state, record);
    let holdings = state.directory.holdings(&record.service, index);
    let is_stopping = !state.is_running();
    state.resigned.remove(&record.server);
    let server = state
        .servers
        .entry(index)
        .or_insert_with(|| ServerState::new(record, epoch, GrantBook::new(epoch, lease, now)));
    if server.epoch != epoch {
        server.epoch = epoch;
        server.grants = GrantBook::new(epoch, lease, now);
        server.is_leaving = false;
    }
    server.is_leaving |= is_stopping;
    state.is_any_leaving |= server.is_leaving;
    server.address.clone_from(&record.address);
    server.checks_grants = record.checks_grants;
    server.set_limits(limits, now);
    server.grants.sync(holdings);
    note_restart(state, index, record);
    follow_drain(state, index, record.draining);
}

/// A later start of a server right after a break is a crash.
pub(crate) fn note_restart(state: &mut PathState, index: ServerIndex, record: &ServerRecord) {
    let Some(server) = state.servers.get_mut(&index) else {
        return;
    };
    if record.incarnation <= server.incarnation {
        return;
    }
    server.incarnation = record.incarnation;
    server.address.clone_from(&record.address);
    let has_broken = !server.breaks.is_empty();
    if has_broken {
        health::report_crash(state, index);
    }
    close_unused(state, index);
}

/// Closes the connections to an earlier start that carry nothing.
fn close_unused(state: &mut PathState, index: ServerIndex) {
    let Some(server) = state.servers.get(&index) else {
        return;
    };
    for connection in server.pool.silent_idle(state.now) {
        close(state, connection);
    }
}

/// Drains a server that announces so, or whose weight is 0.
pub(crate) fn follow_drain(state: &mut PathState, index: ServerIndex, is_announced: bool) {
    if is_announced || state.directory.weight(index) == 0 {
        health::drain(state, index);
    } else if let Some(server) = state.servers.get_mut(&index) {
        server.draining_since = None;
    }
}

/// Another process dispatches to the server, or is about to.
fn lose_role(state: &mut PathState, index: ServerIndex) {
    let Some(server) = state.servers.get_mut(&index) else {
        return;
    };
    server.is_leaving = true;
    state.is_any_leaving = true;
    health::replace_queue(state, index);
}

fn forget_server(state: &mut PathState, index: ServerIndex) {
    lose_role(state, index);
    let Some(server) = state.servers.get(&index) else {
        return;
    };
    for id in server.in_flight.clone() {
        cut(state, id, RefusalReason::ServerFailed);
    }
}

/// Cuts the exchange of a request off.
fn cut(state: &mut PathState, id: RequestId, reason: RefusalReason) {
    let Some(mut request) = state.take(id) else {
        return;
    };
    let Phase::InFlight(exchange) = request.phase else {
        return state.put(id, request);
    };
    end_exchange(state, id, &request, exchange, ConnectionFate::Close);
    if exchange.is_forwarding {
        return crate::steps::exchange_ends::break_answer(state, id, &mut request);
    }
    request.end_unproven();
    request.avoid(exchange.server);
    retries::retry_or_refuse(state, id, request, reason);
}

/// Finds another place for waiting requests whose slot is no longer the server's.
fn replace_stale(state: &mut PathState, index: ServerIndex) {
    let Some(server) = state.servers.get(&index) else {
        return;
    };
    for id in server.queue.requests() {
        if is_stale(state, index, id) {
            health::replace_queued(state, index, id);
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

/// Without a lease nothing may be written: what waits is refused, and what runs on a server that
/// checks no grants is cut off, since its slots may now go to another owner.
pub(crate) fn on_lease_end(state: &mut PathState) {
    state.counters.lease_ends += 1;
    let own: Vec<ServerIndex> = state.servers.keys().copied().collect();
    for index in own {
        health::replace_queue(state, index);
        cut_unchecked(state, index);
    }
}

fn cut_unchecked(state: &mut PathState, index: ServerIndex) {
    let Some(server) = state.servers.get(&index) else {
        return;
    };
    if server.checks_grants {
        return;
    }
    for id in server.in_flight.clone() {
        let is_keyed = state.requests.get(&id).is_some_and(|r| r.grant.is_some());
        if is_keyed {
            cut(state, id, RefusalReason::NoLease);
        }
    }
}

/// Gives the roles up in which nothing is left.
pub(crate) fn resign_idle(state: &mut PathState) {
    if !state.is_any_leaving {
        return;
    }
    let is_waiting = |r: &RequestState| matches!(r.phase, Phase::Placing);
    if !state.is_running() && state.requests.values().any(|r| is_waiting(r)) {
        return;
    }
    let is_over = |s: &ServerState| s.is_leaving && s.outstanding() == 0;
    let idle = state.servers.iter().filter(|(_, s)| is_over(s));
    let over: Vec<ServerIndex> = idle.map(|(index, _)| *index).collect();
    for index in over {
        resign(state, index);
    }
    state.is_any_leaving = state.servers.values().any(|s| s.is_leaving);
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
            is_told: false,
        };
        state.resigned.insert(server.id, resignation);
    }
    state.lease.hurry(state.now);
}
