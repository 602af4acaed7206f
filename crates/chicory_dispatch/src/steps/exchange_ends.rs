//! How an exchange with a backend server ends, whatever ends it.

use chicory_ownership::ClaimResolution;
use chicory_types::{MonoTime, RequestId};

use crate::path_state::PathState;
use crate::request::{RequestState, ServerExchange};
use crate::{ConnectionId, Effect};

/// What becomes of the connection of an exchange that ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionFate {
    /// It carries another request.
    Reuse,
    /// It takes in the rest of the answer first.
    Discard,
    /// It is closed.
    Close,
    /// It has ended by itself.
    Gone,
}

/// Breaks an answer that is being passed on; its claim can't be resolved with an answer.
pub(crate) fn break_answer(state: &mut PathState, id: RequestId, request: &mut RequestState) {
    request.end_unproven();
    if request.demand.needs_claim {
        state.resolve(id, request, ClaimResolution::Unknown);
    }
    state.counters.broken_answers += 1;
    state.emit(Effect::BreakAnswer { request: id });
}

/// Ends the exchange of a request that was taken out, and settles its connection.
pub(crate) fn end_exchange(
    state: &mut PathState,
    id: RequestId,
    request: &RequestState,
    exchange: ServerExchange,
    fate: ConnectionFate,
) {
    let now = state.now;
    if fate == ConnectionFate::Close {
        note_cancelled(state, request, exchange);
    }
    let age_cap = state.config.age_cap;
    let Some(server) = state.servers.get_mut(&exchange.server) else {
        return;
    };
    server.end(id);
    let is_old = |opened_at: MonoTime| now >= opened_at + age_cap;
    let connection = exchange.connection;
    match fate {
        ConnectionFate::Reuse if !server.pool.opened_at(connection).is_some_and(is_old) => {
            server.pool.set_idle(connection, now);
        }
        ConnectionFate::Reuse | ConnectionFate::Close => close(state, connection),
        ConnectionFate::Discard => server.pool.discard(connection, now),
        ConnectionFate::Gone => {
            server.pool.forget(connection);
            state.connections.remove(&connection);
        }
    }
}

/// A cancelled exchange may still run at the server until its deadline; at one that checks its
/// grants no longer than its lease.
fn note_cancelled(state: &mut PathState, request: &RequestState, exchange: ServerExchange) {
    let Some((slot, _)) = request.grant else {
        return;
    };
    if let Some(server) = state.servers.get_mut(&exchange.server) {
        let bound = if server.checks_grants {
            server.grants.lease_end()
        } else {
            request.expires_at
        };
        server.cancelled.push((slot, request.expires_at.min(bound)));
    }
}

/// Closes a connection; it counts until it is surely gone.
pub(crate) fn close(state: &mut PathState, connection: ConnectionId) {
    let Some(index) = state.connections.get(&connection) else {
        return;
    };
    let now = state.now;
    let server = state.servers.get_mut(index);
    if server.is_some_and(|server| server.pool.close(connection, now)) {
        state.emit(Effect::Close { connection });
    }
}
