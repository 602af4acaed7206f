//! Connections that open, fail and end.

use crate::ConnectionId;
use crate::path_state::PathState;
use crate::server::Suspicion;
use crate::steps::health;
use crate::steps::placing::pump;
use crate::view::ServerIndex;

/// A connection is open, or free again after a dropped answer.
pub(crate) fn on_connected(state: &mut PathState, connection: ConnectionId) {
    let Some(index) = state.connections.get(&connection).copied() else {
        return;
    };
    let now = state.now;
    if let Some(server) = state.servers.get_mut(&index)
        && server.pool.awaits_ready(connection)
    {
        server.pool.set_idle(connection, now);
    }
    pump(state, index);
}

/// A connection could not be opened: a probe tells whether the server is dead.
pub(crate) fn on_connect_failed(state: &mut PathState, connection: ConnectionId) {
    if let Some(index) = forget(state, connection) {
        health::suspect(state, index, Suspicion::Broken);
        pump(state, index);
    }
}

/// A connection without a request has ended.
pub(crate) fn on_closed(state: &mut PathState, connection: ConnectionId) {
    if let Some(index) = forget(state, connection) {
        pump(state, index);
    }
}

/// Takes a connection out of the accounting.
pub(crate) fn forget(state: &mut PathState, connection: ConnectionId) -> Option<ServerIndex> {
    let index = state.connections.remove(&connection)?;
    if let Some(server) = state.servers.get_mut(&index) {
        server.pool.forget(connection);
    }
    Some(index)
}
