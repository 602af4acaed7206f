//! Exchanges with backend servers: the start, progress, end and failure of answers.

use chicory_ownership::{ClaimResolution, StoredAnswer};
use chicory_types::RequestId;

use crate::path_state::PathState;
use crate::request::{Phase, RequestState, ServerExchange};
use crate::server::{ConnectionBreak, ServerState, Suspicion};
use crate::steps::exchange_ends::{ConnectionDisposition, break_answer, end_exchange};
use crate::steps::placing::dispatch_queued;
use crate::steps::{health, retries};
use crate::view::ServerIndex;
use crate::{Effect, ExchangeFailure, RefusalReason, RequestIdEcho, ServerRefusal};

/// Lowest HTTP status that counts as a failure of the server.
const FIRST_SERVER_ERROR: u16 = 500;

/// Removes and returns a request that is in an exchange; leaves any other request in place.
fn take_exchange(
    state: &mut PathState,
    id: RequestId,
) -> Option<(Box<RequestState>, ServerExchange)> {
    let request = state.take_request(id)?;
    if let Phase::InFlight(exchange) = request.phase {
        return Some((request, exchange));
    }
    state.put_request(id, request);
    None
}

/// Handles the head of an answer.
pub(crate) fn on_answer_started(
    state: &mut PathState,
    id: RequestId,
    status: u16,
    echo: RequestIdEcho,
    refusal: Option<ServerRefusal>,
) {
    let phase = state.requests.get(&id).map(|request| &request.phase);
    let Some(Phase::InFlight(exchange)) = phase else {
        return;
    };
    let exchange = *exchange;
    if exchange.is_forwarding {
        return;
    }
    record_contact(state, exchange);
    if let Some(server) = state.servers.get_mut(&exchange.server) {
        let elapsed = state.now.saturating_sub(exchange.written_at);
        server.service_time.record_head(elapsed);
    }
    match (echo, refusal) {
        (RequestIdEcho::Mismatched, _) => refuse_mismatched(state, id, exchange),
        (_, Some(refusal)) => on_server_refusal(state, id, exchange, refusal),
        (_, None) => forward(state, id, exchange, status),
    }
}

fn record_contact(state: &mut PathState, exchange: ServerExchange) {
    let now = state.now;
    if let Some(server) = state.servers.get_mut(&exchange.server) {
        server.pool.record_contact(exchange.connection, now);
        server.consecutive_expired = 0;
    }
}

fn refuse_mismatched(state: &mut PathState, id: RequestId, exchange: ServerExchange) {
    let Some(mut request) = state.take_request(id) else {
        return;
    };
    state.counters.mismatched_answers += 1;
    end_exchange(state, id, &request, exchange, ConnectionDisposition::Close);
    request.end_unknown();
    retries::retry_or_refuse(state, id, request, RefusalReason::AnswerBroken);
    dispatch_queued(state, exchange.server);
}

/// Handles a refusal by the server, which reports that it did not run the request.
fn on_server_refusal(
    state: &mut PathState,
    id: RequestId,
    exchange: ServerExchange,
    refusal: ServerRefusal,
) {
    let Some(mut request) = state.take_request(id) else {
        return;
    };
    state.emit(Effect::DiscardAnswer { request: id });
    end_exchange(
        state,
        id,
        &request,
        exchange,
        ConnectionDisposition::Discard,
    );
    request.end_not_run();
    let reason = match refusal {
        ServerRefusal::Token => RefusalReason::TokenRefused,
        ServerRefusal::Shed => RefusalReason::ServerShed,
        ServerRefusal::Draining => {
            health::drain(state, exchange.server);
            RefusalReason::ServerShed
        }
        ServerRefusal::Deadline => RefusalReason::DeadlinePassed,
    };
    request.avoid(exchange.server);
    if refusal == ServerRefusal::Deadline {
        state.refuse(id, &request, reason);
    } else {
        retries::retry_or_refuse(state, id, request, reason);
    }
    dispatch_queued(state, exchange.server);
}

fn forward(state: &mut PathState, id: RequestId, exchange: ServerExchange, status: u16) {
    let load = state.servers.get(&exchange.server).map(ServerState::load);
    if let Some(request) = state.requests.get_mut(&id) {
        request.phase = Phase::InFlight(ServerExchange {
            last_contact_at: state.now,
            is_forwarding: true,
            is_failure: status >= FIRST_SERVER_ERROR,
            ..exchange
        });
    }
    state.counters.forwarded += 1;
    state.emit(Effect::ForwardAnswer {
        request: id,
        load: load.unwrap_or_default(),
    });
}

/// Records progress of an exchange with a server; other requests are ignored.
pub(crate) fn on_progressed(state: &mut PathState, id: RequestId, is_answer: bool) {
    let now = state.now;
    let Some(request) = state.requests.get_mut(&id) else {
        return;
    };
    let Phase::InFlight(exchange) = &mut request.phase else {
        return;
    };
    exchange.last_contact_at = now;
    let exchange = *exchange;
    if is_answer {
        record_contact(state, exchange);
    }
}

/// Handles the end of an answer that was forwarded completely.
pub(crate) fn on_finished(
    state: &mut PathState,
    id: RequestId,
    kept: Option<StoredAnswer>,
    is_reusable: bool,
) {
    let Some((request, exchange)) = take_exchange(state, id) else {
        return;
    };
    if !exchange.is_forwarding {
        return state.put_request(id, request);
    }
    let disposition = if is_reusable {
        ConnectionDisposition::Reuse
    } else {
        ConnectionDisposition::Close
    };
    record_contact(state, exchange);
    let elapsed = state.now.saturating_sub(exchange.written_at);
    if let Some(server) = state.servers.get_mut(&exchange.server) {
        server.service_time.record(elapsed);
    }
    end_exchange(state, id, &request, exchange, disposition);
    record_status(state, exchange.server, exchange.is_failure);
    state.suspects.clear_suspicion(request.head.fingerprint);
    state.counters.finished += 1;
    if request.requirements.needs_claim {
        let resolution = kept.map_or(ClaimResolution::Unknown, ClaimResolution::Answered);
        state.resolve(id, &request, resolution);
    }
    dispatch_queued(state, exchange.server);
}

fn record_status(state: &mut PathState, index: ServerIndex, is_failure: bool) {
    if is_failure {
        health::record_failure(state, index);
    } else if let Some(observation) = state.observations.get_mut(index) {
        observation.record_success();
    }
}

/// Handles the failure of an exchange.
pub(crate) fn on_failed(state: &mut PathState, id: RequestId, failure: ExchangeFailure) {
    let Some((mut request, exchange)) = take_exchange(state, id) else {
        return;
    };
    let disposition = match failure {
        ExchangeFailure::Malformed => ConnectionDisposition::Close,
        _ => ConnectionDisposition::Gone,
    };
    let was_alone = is_alone(state, exchange.server);
    end_exchange(state, id, &request, exchange, disposition);
    if exchange.is_forwarding {
        health::record_failure(state, exchange.server);
        break_answer(state, id, &mut request);
    } else {
        match failure {
            ExchangeFailure::NothingSent => on_nothing_sent(state, id, request),
            ExchangeFailure::Malformed => {
                health::record_failure(state, exchange.server);
                request.end_unknown();
                request.avoid(exchange.server);
                retries::retry_or_refuse(state, id, request, RefusalReason::AnswerBroken);
            }
            ExchangeFailure::BrokenBeforeAnswer | ExchangeFailure::BrokenInAnswer => {
                on_broken(state, id, request, exchange, was_alone);
            }
        }
    }
    dispatch_queued(state, exchange.server);
}

fn is_alone(state: &PathState, index: ServerIndex) -> bool {
    let server = state.servers.get(&index);
    server.is_some_and(|s| s.in_flight.len() == 1 && s.recent_breaks.is_empty())
}

fn on_nothing_sent(state: &mut PathState, id: RequestId, mut request: Box<RequestState>) {
    request.end_not_run();
    retries::retry_or_refuse(state, id, request, RefusalReason::ServerFailed);
}

/// Handles a connection that broke before the answer.
///
/// The server may have crashed: a probe finds that out, and the next try of the request runs alone.
fn on_broken(
    state: &mut PathState,
    id: RequestId,
    mut request: Box<RequestState>,
    exchange: ServerExchange,
    was_alone: bool,
) {
    request.end_unknown();
    request.broken_tries += 1;
    request.avoid(exchange.server);
    record_break(state, &request, exchange.server, was_alone);
    health::record_failure(state, exchange.server);
    health::suspect(state, exchange.server, Suspicion::Broken);
    retries::retry_or_refuse(state, id, request, RefusalReason::ServerFailed);
}

fn record_break(
    state: &mut PathState,
    request: &RequestState,
    index: ServerIndex,
    was_alone: bool,
) {
    let at = state.now;
    let Some(server) = state.servers.get_mut(&index) else {
        return;
    };
    server.recent_breaks.push(ConnectionBreak {
        fingerprint: request.head.fingerprint,
        at,
        was_alone,
    });
}
