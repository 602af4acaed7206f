//! Finds a place for a request and writes what waits to its server.

use std::time::Duration;

use chicory_ownership::ClaimRequest;
use chicory_types::RequestId;

use crate::limits::CrashSuspicion;
use crate::path_state::PathState;
use crate::request::{ClaimState, Phase, RequestState, ServerExchange};
use crate::server::{Admission, NextStep, QueueEntry};
use crate::steps::relay_starts;
use crate::steps::route::Route;
use crate::steps::router::route;
use crate::view::ServerIndex;
use crate::{ConnectionId, Effect, RefusalReason};

/// Pause before connections that had to wait for their pace are tried again.
const PACE_PAUSE: Duration = Duration::from_millis(5);

/// Sends a request that was taken out to where it belongs, or refuses it.
pub(crate) fn place(state: &mut PathState, id: RequestId, mut request: Box<RequestState>) {
    match route(state, &request) {
        Route::Refused(reason) => state.refuse(id, &request, reason),
        Route::Relay {
            vm,
            address,
            server,
        } => relay_starts::send(state, id, request, vm, address, server),
        Route::Own { server, grant } => {
            request.grant = grant;
            admit(state, id, request, server);
        }
    }
}

fn admit(state: &mut PathState, id: RequestId, request: Box<RequestState>, index: ServerIndex) {
    let flow = request.demand.flow();
    let left = state.left(&request);
    let Some(server) = state.servers.get_mut(&index) else {
        return state.refuse(id, &request, RefusalReason::NoDispatcher);
    };
    match server.admit(flow, left, state.now) {
        Admission::Accepted => accept(state, id, request, index),
        Admission::Displaces(victim) => {
            accept(state, id, request, index);
            displace(state, victim);
        }
        Admission::Refused {
            reason,
            retry_after,
        } => pass_over(state, id, request, index, reason, retry_after),
    }
}

/// Tries one other server that the request may go to, then refuses it.
fn pass_over(
    state: &mut PathState,
    id: RequestId,
    mut request: Box<RequestState>,
    index: ServerIndex,
    reason: RefusalReason,
    retry_after: Duration,
) {
    if request.grant.is_none() && request.passed_over.is_none() {
        request.passed_over = Some(index);
        if !matches!(route(state, &request), Route::Refused(_)) {
            return place(state, id, request);
        }
    }
    state.refuse_with(id, &request, reason, Some(retry_after));
}

fn displace(state: &mut PathState, victim: RequestId) {
    if let Some(request) = state.take(victim) {
        state.refuse(victim, &request, RefusalReason::QueueFull);
    }
}

fn accept(
    state: &mut PathState,
    id: RequestId,
    mut request: Box<RequestState>,
    index: ServerIndex,
) {
    if request.demand.needs_claim && request.claim == ClaimState::None {
        return claim(state, id, request, index);
    }
    let entry = QueueEntry {
        request: id,
        expires_at: request.expires_at,
        is_isolated: is_isolated(state, &request),
    };
    let flow = request.demand.flow();
    request.phase = Phase::Queued(index);
    state.put(id, request);
    if let Some(server) = state.servers.get_mut(&index) {
        server.queue.push(flow, entry);
    }
    pump(state, index);
}

fn is_isolated(state: &PathState, request: &RequestState) -> bool {
    let suspicion = state.suspects.suspicion(request.head.fingerprint);
    request.breaks > 0 || suspicion == CrashSuspicion::Isolate
}

fn claim(state: &mut PathState, id: RequestId, mut request: Box<RequestState>, index: ServerIndex) {
    request.claim = ClaimState::Asked;
    request.phase = Phase::Claiming(index);
    if let Some(server) = state.servers.get_mut(&index) {
        server.claiming += 1;
    }
    send_claim(state, id, &request);
    state.put(id, request);
}

/// Sends the claim of a request; sent again, it gets the same answer.
pub(crate) fn send_claim(state: &mut PathState, id: RequestId, request: &RequestState) {
    let Some(order_key) = request.head.order_key.clone() else {
        return;
    };
    let claim = ClaimRequest {
        service: request.head.service.clone(),
        order_key,
        fingerprint: request.head.fingerprint,
        claimant: state.claimant(id),
    };
    state.counters.claims += 1;
    state.emit(Effect::Claim { request: id, claim });
}

/// Puts a request whose claim was granted into the queue in which it had a place.
pub(crate) fn enter_queue(
    state: &mut PathState,
    id: RequestId,
    request: Box<RequestState>,
    index: ServerIndex,
) {
    accept(state, id, request, index);
}

/// Writes what waits for a server as long as it has room.
pub(crate) fn pump(state: &mut PathState, index: ServerIndex) {
    while state.lease.is_held(state.now) {
        let Some(server) = state.servers.get_mut(&index) else {
            return;
        };
        match server.next_step(state.now) {
            NextStep::Wait => return,
            NextStep::Write(request, connection) => write(state, index, request, connection),
            NextStep::Hopeless(request) => refuse_hopeless(state, request),
            NextStep::Connect => {
                if !connect(state, index) {
                    return;
                }
            }
        }
    }
}

fn refuse_hopeless(state: &mut PathState, id: RequestId) {
    if let Some(request) = state.take(id) {
        state.refuse(id, &request, RefusalReason::DeadlineTooShort);
    }
}

/// Opens a connection; false where it has to wait for its pace.
fn connect(state: &mut PathState, index: ServerIndex) -> bool {
    if state.connect_pace.try_take(state.now).is_err() {
        state.paced_until = Some(state.now + PACE_PAUSE);
        return false;
    }
    let connection = state.new_connection(index);
    let now = state.now;
    let Some(server) = state.servers.get_mut(&index) else {
        return false;
    };
    server.pool.open(connection, now);
    let effect = Effect::Connect {
        connection,
        server: server.id.clone(),
        address: server.address.clone(),
    };
    state.counters.connects += 1;
    state.emit(effect);
    true
}

fn write(state: &mut PathState, index: ServerIndex, id: RequestId, connection: ConnectionId) {
    let now = state.now;
    let Some(request) = state.requests.get_mut(&id) else {
        return;
    };
    request.tries += 1;
    request.is_sent = true;
    request.phase = Phase::InFlight(ServerExchange {
        server: index,
        connection,
        written_at: now,
        heard_at: now,
        is_forwarding: false,
        is_failure: false,
    });
    let effect = Effect::Write {
        request: id,
        connection,
        slot: request.grant.map(|(slot, _)| slot),
        token: request.grant.map(|(_, token)| token),
        deadline: request.expires_at.saturating_sub(now),
        keeps_answer: request.demand.needs_claim,
    };
    let slot = request.grant.map(|(slot, _)| slot);
    if let Some(server) = state.servers.get_mut(&index) {
        server.requests_since_report += 1;
        if let Some(slot) = slot {
            *server.heat.entry(slot).or_default() += 1;
        }
    }
    state.counters.writes += 1;
    state.emit(effect);
}

/// Writes what waits for any server.
pub(crate) fn pump_all(state: &mut PathState) {
    let own: Vec<ServerIndex> = state.servers.keys().copied().collect();
    for index in own {
        pump(state, index);
    }
}
