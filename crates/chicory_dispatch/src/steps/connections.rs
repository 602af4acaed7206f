//! Connections to backend servers that open, fail and end.

use crate::ConnectionId;
use crate::path_state::PathState;
use crate::server::Suspicion;
use crate::steps::health;
use crate::steps::placing::dispatch_queued;
use crate::view::ServerIndex;

/// Handles a connection that was opened, or that became reusable after a dropped answer.
pub(crate) fn on_connected(state: &mut PathState, connection: ConnectionId) {
    let Some(index) = state.connections.get(&connection).copied() else {
        return;
    };
    let now = state.now;
    if let Some(server) = state.servers.get_mut(&index)
        && server.pool.is_becoming_idle(connection)
    {
        server.pool.set_idle(connection, now);
    }
    dispatch_queued(state, index);
}

/// Handles a connection that could not be opened; a probe decides whether the server is dead.
pub(crate) fn on_connect_failed(state: &mut PathState, connection: ConnectionId) {
    if let Some(index) = forget(state, connection) {
        health::suspect(state, index, Suspicion::Broken);
        dispatch_queued(state, index);
    }
}

/// Handles the end of a connection without a request.
pub(crate) fn on_closed(state: &mut PathState, connection: ConnectionId) {
    if let Some(index) = forget(state, connection) {
        dispatch_queued(state, index);
    }
}

/// Removes a connection, so that it no longer counts against the server's limit.
pub(crate) fn forget(state: &mut PathState, connection: ConnectionId) -> Option<ServerIndex> {
    let index = state.connections.remove(&connection)?;
    if let Some(server) = state.servers.get_mut(&index) {
        server.pool.forget(connection);
    }
    Some(index)
}
