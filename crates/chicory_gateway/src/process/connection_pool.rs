//! Idle connections to backend servers.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use chicory_net::http::ServerLink;
use chicory_ranges::ServerIncarnation;
use chicory_types::MonoTime;

/// Maximum number of idle connections to one server. It is low because servers limit the total over
/// all entry VMs.
const MAX_IDLE_CONNECTIONS: usize = 3;
/// Idle timeout that is assumed for a server that does not state one.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(8);
/// Margin by which a connection is discarded before the server would close it.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);

struct IdleConnection {
    link: ServerLink,
    idle_since: MonoTime,
    keep_alive: Duration,
}

impl IdleConnection {
    fn is_usable(&self, now: MonoTime, max_idle: Duration) -> bool {
        let idle = now.saturating_sub(self.idle_since);
        let keep = self.keep_alive.saturating_sub(KEEP_ALIVE_MARGIN);
        idle <= max_idle && idle < keep && self.link.is_ready()
    }
}

/// Idle connections to backend servers, by the incarnation of the server.
#[derive(Default)]
pub(super) struct ConnectionPool {
    idle: Mutex<BTreeMap<ServerIncarnation, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes the connection that was used last, if it may be used again.
    pub(super) fn take(
        &self,
        now: MonoTime,
        incarnation: &ServerIncarnation,
        max_idle: Duration,
    ) -> Option<ServerLink> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(incarnation)?;
        let position = connections
            .iter()
            .rposition(|c| c.is_usable(now, max_idle))?;
        Some(connections.remove(position).link)
    }

    /// Keeps a connection for a later request.
    pub(super) fn put(
        &self,
        now: MonoTime,
        incarnation: &ServerIncarnation,
        link: ServerLink,
        keep_alive: Option<Duration>,
    ) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(incarnation.clone()).or_default();
        if connections.len() >= MAX_IDLE_CONNECTIONS {
            connections.remove(0);
        }
        connections.push(IdleConnection {
            link,
            idle_since: now,
            keep_alive: keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE),
        });
    }

    /// Closes all idle connections to a server, after one of them was found dead.
    pub(super) fn close_all(&self, incarnation: &ServerIncarnation) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(incarnation);
    }

    /// Closes connections that can't be used any more, and those to servers that have left.
    pub(super) fn prune(&self, now: MonoTime, is_known: impl Fn(&ServerIncarnation) -> bool) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|incarnation, connections| {
            connections.retain(|connection| connection.is_usable(now, Duration::MAX));
            is_known(incarnation) && !connections.is_empty()
        });
    }
}
