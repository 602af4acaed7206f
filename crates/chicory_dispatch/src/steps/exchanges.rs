//! Exchanges with backend servers: answers, their failures and their ends.

use chicory_ownership::{ClaimResolution, StoredAnswer};
use chicory_types::RequestId;

use crate::path_state::PathState;
use crate::request::{Phase, RequestState, ServerExchange};
use crate::server::{ConnectionBreak, ServerState, Suspicion};
use crate::steps::exchange_ends::{ConnectionFate, break_answer, end_exchange};
use crate::steps::placing::pump;
use crate::steps::{health, retries};
use crate::view::ServerIndex;
use crate::{Effect, ExchangeFailure, RefusalReason, RequestIdEcho, ServerRefusal};

/// Lowest HTTP status that counts as a failure of the server.
const FIRST_SERVER_ERROR: u16 = 500;

/// Takes a request out that is in an exchange; puts any other one back.
fn take_exchange(
    state: &mut PathState,
    id: RequestId,
) -> Option<(Box<RequestState>, ServerExchange)> {
    let request = state.take(id)?;
    if let Phase::InFlight(exchange) = request.phase {
        return Some((request, exchange));
    }
    state.put(id, request);
    None
}

/// Decides on the head of an answer.
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
    heard(state, exchange);
    if let Some(server) = state.servers.get_mut(&exchange.server) {
        let taken = state.now.saturating_sub(exchange.written_at);
        server.service_time.record_head(taken);
    }
    match (echo, refusal) {
        (RequestIdEcho::Mismatched, _) => refuse_mismatched(state, id, exchange),
        (_, Some(refusal)) => on_server_refusal(state, id, exchange, refusal),
        (_, None) => forward(state, id, exchange, status),
    }
}

fn heard(state: &mut PathState, exchange: ServerExchange) {
    let now = state.now;
    if let Some(server) = state.servers.get_mut(&exchange.server) {
        server.pool.heard(exchange.connection, now);
        server.expired_in_row = 0;
    }
}

fn refuse_mismatched(state: &mut PathState, id: RequestId, exchange: ServerExchange) {
    let Some(mut request) = state.take(id) else {
        return;
    };
    state.counters.mismatched_answers += 1;
    end_exchange(state, id, &request, exchange, ConnectionFate::Close);
    request.end_unproven();
    retries::retry_or_refuse(state, id, request, RefusalReason::AnswerBroken);
    pump(state, exchange.server);
}

/// The server itself says that it did not run the request.
fn on_server_refusal(
    state: &mut PathState,
    id: RequestId,
    exchange: ServerExchange,
    refusal: ServerRefusal,
) {
    let Some(mut request) = state.take(id) else {
        return;
    };
    state.emit(Effect::DiscardAnswer { request: id });
    end_exchange(state, id, &request, exchange, ConnectionFate::Discard);
    request.end_unsent();
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
    pump(state, exchange.server);
}

fn forward(state: &mut PathState, id: RequestId, exchange: ServerExchange, status: u16) {
    let load = state.servers.get(&exchange.server).map(ServerState::load);
    if let Some(request) = state.requests.get_mut(&id) {
        request.phase = Phase::InFlight(ServerExchange {
            heard_at: state.now,
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

/// Notes progress of an exchange or of a relay.
pub(crate) fn on_progressed(state: &mut PathState, id: RequestId, is_answer: bool) {
    let now = state.now;
    let Some(request) = state.requests.get_mut(&id) else {
        return;
    };
    let Phase::InFlight(exchange) = &mut request.phase else {
        return;
    };
    exchange.heard_at = now;
    let exchange = *exchange;
    if is_answer {
        heard(state, exchange);
    }
}

/// The answer is complete and passed on.
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
        return state.put(id, request);
    }
    let fate = if is_reusable {
        ConnectionFate::Reuse
    } else {
        ConnectionFate::Close
    };
    heard(state, exchange);
    let taken = state.now.saturating_sub(exchange.written_at);
    if let Some(server) = state.servers.get_mut(&exchange.server) {
        server.service_time.record(taken);
    }
    end_exchange(state, id, &request, exchange, fate);
    observe(state, exchange.server, exchange.is_failure);
    state.suspects.acquit(request.head.fingerprint);
    state.counters.finished += 1;
    if request.demand.needs_claim {
        let resolution = kept.map_or(ClaimResolution::Unknown, ClaimResolution::Answered);
        state.resolve(id, &request, resolution);
    }
    pump(state, exchange.server);
}

fn observe(state: &mut PathState, index: ServerIndex, is_failure: bool) {
    if is_failure {
        health::note_failure(state, index);
    } else if let Some(seen) = state.observations.get_mut(index) {
        seen.succeeded();
    }
}

/// The exchange failed.
pub(crate) fn on_failed(state: &mut PathState, id: RequestId, failure: ExchangeFailure) {
    let Some((mut request, exchange)) = take_exchange(state, id) else {
        return;
    };
    let fate = match failure {
        ExchangeFailure::Malformed => ConnectionFate::Close,
        _ => ConnectionFate::Gone,
    };
    let was_alone = is_alone(state, exchange.server);
    end_exchange(state, id, &request, exchange, fate);
    if exchange.is_forwarding {
        health::note_failure(state, exchange.server);
        break_answer(state, id, &mut request);
    } else {
        match failure {
            ExchangeFailure::NothingSent => on_nothing_sent(state, id, request),
            ExchangeFailure::Malformed => {
                health::note_failure(state, exchange.server);
                request.end_unproven();
                request.avoid(exchange.server);
                retries::retry_or_refuse(state, id, request, RefusalReason::AnswerBroken);
            }
            ExchangeFailure::BrokenBeforeAnswer | ExchangeFailure::BrokenInAnswer => {
                on_broken(state, id, request, exchange, was_alone);
            }
        }
    }
    pump(state, exchange.server);
}

fn is_alone(state: &PathState, index: ServerIndex) -> bool {
    let server = state.servers.get(&index);
    server.is_some_and(|s| s.in_flight.len() == 1 && s.breaks.is_empty())
}

fn on_nothing_sent(state: &mut PathState, id: RequestId, mut request: Box<RequestState>) {
    request.end_unsent();
    retries::retry_or_refuse(state, id, request, RefusalReason::ServerFailed);
}

/// A break before the answer may be a crash: a probe tells, and the next try runs alone.
fn on_broken(
    state: &mut PathState,
    id: RequestId,
    mut request: Box<RequestState>,
    exchange: ServerExchange,
    was_alone: bool,
) {
    request.end_unproven();
    request.breaks += 1;
    request.avoid(exchange.server);
    note_break(state, &request, exchange.server, was_alone);
    health::note_failure(state, exchange.server);
    health::suspect(state, exchange.server, Suspicion::Broken);
    retries::retry_or_refuse(state, id, request, RefusalReason::ServerFailed);
}

fn note_break(state: &mut PathState, request: &RequestState, index: ServerIndex, was_alone: bool) {
    let at = state.now;
    let Some(server) = state.servers.get_mut(&index) else {
        return;
    };
    server.breaks.push(ConnectionBreak {
        fingerprint: request.head.fingerprint,
        at,
        was_alone,
    });
}
