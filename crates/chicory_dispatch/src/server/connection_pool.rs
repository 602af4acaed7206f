//! The connections to one backend server.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_types::{MonoTime, RequestId};

use crate::ConnectionId;
use crate::server::{Connection, ConnectionState};

/// How long a closed connection still counts against the server's limit, unless its end is reported
/// earlier.
const CLOSE_DELAY: Duration = Duration::from_millis(100);
/// How long receiving the rest of a dropped answer may take before its connection is closed.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a connection may take to open.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// The connections to one backend server.
///
/// Each connection counts against the server's limit from the start of its opening until its end,
/// because the server counts it during that time, too.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionPool {
    connections: BTreeMap<ConnectionId, Connection>,
    idle: Vec<ConnectionId>,
    opening: usize,
}

impl ConnectionPool {
    /// Returns the number of connections that count against the server's limit.
    pub(crate) fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns the number of connections that are being opened.
    pub(crate) fn opening(&self) -> usize {
        self.opening
    }

    pub(crate) fn state(&self, id: ConnectionId) -> Option<ConnectionState> {
        self.connections.get(&id).map(|c| c.state)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (ConnectionId, &Connection)> {
        self.connections.iter().map(|(id, c)| (*id, c))
    }

    pub(crate) fn open(&mut self, id: ConnectionId, now: MonoTime) {
        self.opening += 1;
        self.connections.insert(
            id,
            Connection {
                state: ConnectionState::Opening,
                opened_at: now,
                since: now,
                last_contact_at: now,
            },
        );
    }

    /// Returns whether a connection is opening or discarding an answer, and becomes idle next.
    pub(crate) fn is_becoming_idle(&self, id: ConnectionId) -> bool {
        let state = self.state(id);
        matches!(
            state,
            Some(ConnectionState::Opening | ConnectionState::Discarding)
        )
    }

    /// Makes a connection available for a request; returns `false` if it is idle already, closing
    /// or unknown.
    pub(crate) fn set_idle(&mut self, id: ConnectionId, now: MonoTime) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else {
            return false;
        };
        match connection.state {
            ConnectionState::Idle | ConnectionState::Closing => return false,
            ConnectionState::Opening => self.opening -= 1,
            ConnectionState::Busy(_) | ConnectionState::Discarding => {}
        }
        connection.state = ConnectionState::Idle;
        connection.since = now;
        connection.last_contact_at = now;
        self.idle.push(id);
        true
    }

    /// Assigns the most recently used idle connection to a request, so that the others can reach
    /// their idle cap.
    pub(crate) fn take_idle(&mut self, request: RequestId, now: MonoTime) -> Option<ConnectionId> {
        let id = self.idle.pop()?;
        self.set_state(id, ConnectionState::Busy(request), now);
        Some(id)
    }

    pub(crate) fn discard(&mut self, id: ConnectionId, now: MonoTime) {
        self.set_state(id, ConnectionState::Discarding, now);
    }

    /// Marks a connection as closed by this process; returns `false` if it is unknown or closed
    /// already.
    pub(crate) fn close(&mut self, id: ConnectionId, now: MonoTime) -> bool {
        match self.state(id) {
            None | Some(ConnectionState::Closing) => return false,
            Some(ConnectionState::Opening) => self.opening -= 1,
            Some(ConnectionState::Idle) => self.idle.retain(|other| *other != id),
            Some(_) => {}
        }
        self.set_state(id, ConnectionState::Closing, now);
        true
    }

    /// Removes a connection that has ended.
    pub(crate) fn forget(&mut self, id: ConnectionId) {
        match self.connections.remove(&id).map(|c| c.state) {
            Some(ConnectionState::Opening) => self.opening -= 1,
            Some(ConnectionState::Idle) => self.idle.retain(|other| *other != id),
            _ => {}
        }
    }

    pub(crate) fn record_contact(&mut self, id: ConnectionId, now: MonoTime) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.last_contact_at = now;
        }
    }

    pub(crate) fn opened_at(&self, id: ConnectionId) -> Option<MonoTime> {
        self.connections.get(&id).map(|c| c.opened_at)
    }

    /// Returns the closed connections whose close delay is over.
    pub(crate) fn past_close_delay(&self, now: MonoTime) -> Vec<ConnectionId> {
        let is_over =
            |c: &Connection| c.state == ConnectionState::Closing && now >= c.since + CLOSE_DELAY;
        let over = self.connections.iter().filter(|(_, c)| is_over(c));
        over.map(|(id, _)| *id).collect()
    }

    /// Returns the connections to close because of their age, their idle time or an open or discard
    /// that took too long.
    pub(crate) fn overdue(
        &self,
        now: MonoTime,
        idle_cap: Duration,
        age_cap: Duration,
    ) -> Vec<ConnectionId> {
        let is_overdue = |c: &Connection| match c.state {
            ConnectionState::Opening => now >= c.since + OPEN_TIMEOUT,
            ConnectionState::Discarding => now >= c.since + DISCARD_TIMEOUT,
            ConnectionState::Idle => now >= c.since + idle_cap || now >= c.opened_at + age_cap,
            ConnectionState::Busy(_) | ConnectionState::Closing => false,
        };
        let overdue = self.connections.iter().filter(|(_, c)| is_overdue(c));
        overdue.map(|(id, _)| *id).collect()
    }

    /// Returns the connections without a request in flight on which the server has sent nothing
    /// after `since`.
    pub(crate) fn idle_without_contact_since(&self, since: MonoTime) -> Vec<ConnectionId> {
        let is_unresponsive = |c: &Connection| {
            c.last_contact_at <= since
                && matches!(c.state, ConnectionState::Idle | ConnectionState::Discarding)
        };
        let found = self.connections.iter().filter(|(_, c)| is_unresponsive(c));
        found.map(|(id, _)| *id).collect()
    }

    fn set_state(&mut self, id: ConnectionId, state: ConnectionState, now: MonoTime) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.state = state;
            connection.since = now;
        }
    }
}
