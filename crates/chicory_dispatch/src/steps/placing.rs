//! Queues requests at the servers they are routed to, and sends queued requests.

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

/// Pause before connects that the rate limit delayed are tried again.
const CONNECT_RETRY_PAUSE: Duration = Duration::from_millis(5);

/// Routes a request: queues it at a server of this process, relays it or refuses it.
///
/// `request` must have been removed from the state.
pub(crate) fn place(state: &mut PathState, id: RequestId, mut request: Box<RequestState>) {
    match route(state, &request) {
        Route::Refused(reason) => state.refuse(id, &request, reason),
        Route::Relay {
            vm,
            address,
            server,
        } => relay_starts::send(state, id, request, vm, address, server),
        Route::Local { server, grant } => {
            request.grant = grant;
            admit(state, id, request, server);
        }
    }
}

fn admit(state: &mut PathState, id: RequestId, request: Box<RequestState>, index: ServerIndex) {
    let flow = request.requirements.flow();
    let left = state.time_left(&request);
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
        } => try_other_server(state, id, request, index, reason, retry_after),
    }
}

/// Tries one other server that may serve the request, then refuses the request.
fn try_other_server(
    state: &mut PathState,
    id: RequestId,
    mut request: Box<RequestState>,
    index: ServerIndex,
    reason: RefusalReason,
    retry_after: Duration,
) {
    if request.grant.is_none() && request.declined_by.is_none() {
        request.declined_by = Some(index);
        if !matches!(route(state, &request), Route::Refused(_)) {
            return place(state, id, request);
        }
    }
    state.refuse_with(id, &request, reason, Some(retry_after));
}

fn displace(state: &mut PathState, victim: RequestId) {
    if let Some(request) = state.take_request(victim) {
        state.refuse(victim, &request, RefusalReason::QueueFull);
    }
}

fn accept(
    state: &mut PathState,
    id: RequestId,
    mut request: Box<RequestState>,
    index: ServerIndex,
) {
    if request.requirements.needs_claim && request.claim == ClaimState::None {
        return claim(state, id, request, index);
    }
    let entry = QueueEntry {
        request: id,
        expires_at: request.expires_at,
        is_isolated: is_isolated(state, &request),
    };
    let flow = request.requirements.flow();
    request.phase = Phase::Queued(index);
    state.put_request(id, request);
    if let Some(server) = state.servers.get_mut(&index) {
        server.queue.push(flow, entry);
    }
    dispatch_queued(state, index);
}

fn is_isolated(state: &PathState, request: &RequestState) -> bool {
    let suspicion = state.suspects.suspicion(request.head.fingerprint);
    request.broken_tries > 0 || suspicion == CrashSuspicion::Isolate
}

fn claim(state: &mut PathState, id: RequestId, mut request: Box<RequestState>, index: ServerIndex) {
    request.claim = ClaimState::Requested;
    request.phase = Phase::Claiming(index);
    if let Some(server) = state.servers.get_mut(&index) {
        server.pending_claims += 1;
    }
    send_claim(state, id, &request);
    state.put_request(id, request);
}

/// Sends the claim of a request. A claim is idempotent: if it is resent, it gets the same answer.
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

/// Puts a request whose claim was granted into the queue in which it has a reserved place.
pub(crate) fn enter_queue(
    state: &mut PathState,
    id: RequestId,
    request: Box<RequestState>,
    index: ServerIndex,
) {
    accept(state, id, request, index);
}

/// Sends the queued requests of a server while the server has room.
pub(crate) fn dispatch_queued(state: &mut PathState, index: ServerIndex) {
    while state.lease.is_held(state.now) {
        let Some(server) = state.servers.get_mut(&index) else {
            return;
        };
        match server.next_step(state.now) {
            NextStep::Wait => return,
            NextStep::Write(request, connection) => write(state, index, request, connection),
            NextStep::MissesDeadline(request) => refuse_late(state, request),
            NextStep::Connect => {
                if !connect(state, index) {
                    return;
                }
            }
        }
    }
}

fn refuse_late(state: &mut PathState, id: RequestId) {
    if let Some(request) = state.take_request(id) {
        state.refuse(id, &request, RefusalReason::DeadlineTooShort);
    }
}

/// Opens a connection; returns `false` if the rate limit of connects delays it.
fn connect(state: &mut PathState, index: ServerIndex) -> bool {
    if state.connect_limiter.try_take(state.now).is_err() {
        state.connect_retry_at = Some(state.now + CONNECT_RETRY_PAUSE);
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
        last_contact_at: now,
        is_forwarding: false,
        is_failure: false,
    });
    let effect = Effect::Write {
        request: id,
        connection,
        slot: request.grant.map(|(slot, _)| slot),
        token: request.grant.map(|(_, token)| token),
        deadline: request.expires_at.saturating_sub(now),
        keeps_answer: request.requirements.needs_claim,
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

/// Sends the queued requests of all servers.
pub(crate) fn dispatch_all_queued(state: &mut PathState) {
    let local_servers: Vec<ServerIndex> = state.servers.keys().copied().collect();
    for index in local_servers {
        dispatch_queued(state, index);
    }
}
