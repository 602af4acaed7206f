//! The end of an exchange with a backend server, for every cause.

use chicory_ownership::ClaimResolution;
use chicory_types::{MonoTime, RequestId};

use crate::path_state::PathState;
use crate::request::{RequestState, ServerExchange};
use crate::{ConnectionId, Effect};

/// What happens to the connection of an exchange that ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionDisposition {
    /// It becomes available for another request.
    Reuse,
    /// It receives the rest of the answer first.
    Discard,
    /// This process closes it.
    Close,
    /// It has ended already.
    Gone,
}

/// Aborts an answer that is being forwarded; its claim is resolved without an answer.
pub(crate) fn break_answer(state: &mut PathState, id: RequestId, request: &mut RequestState) {
    request.end_unknown();
    if request.requirements.needs_claim {
        state.resolve(id, request, ClaimResolution::Unknown);
    }
    state.counters.broken_answers += 1;
    state.emit(Effect::BreakAnswer { request: id });
}

/// Ends the exchange of a request, and reuses, closes or removes its connection.
///
/// `request` must have been removed from the state.
pub(crate) fn end_exchange(
    state: &mut PathState,
    id: RequestId,
    request: &RequestState,
    exchange: ServerExchange,
    disposition: ConnectionDisposition,
) {
    let now = state.now;
    if disposition == ConnectionDisposition::Close {
        record_cancelled(state, request, exchange);
    }
    let age_cap = state.config.age_cap;
    let Some(server) = state.servers.get_mut(&exchange.server) else {
        return;
    };
    server.remove_in_flight(id);
    let is_old = |opened_at: MonoTime| now >= opened_at + age_cap;
    let connection = exchange.connection;
    match disposition {
        ConnectionDisposition::Reuse if !server.pool.opened_at(connection).is_some_and(is_old) => {
            server.pool.set_idle(connection, now);
        }
        ConnectionDisposition::Reuse | ConnectionDisposition::Close => close(state, connection),
        ConnectionDisposition::Discard => server.pool.discard(connection, now),
        ConnectionDisposition::Gone => {
            server.pool.forget(connection);
            state.connections.remove(&connection);
        }
    }
}

/// Records the slot of a cancelled exchange, which may still run at the server.
///
/// It may run until its deadline, or until the end of the server's lease if that is earlier and the
/// server checks its grants.
fn record_cancelled(state: &mut PathState, request: &RequestState, exchange: ServerExchange) {
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

/// Closes a connection, which counts against the server's limit until it has certainly ended.
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
