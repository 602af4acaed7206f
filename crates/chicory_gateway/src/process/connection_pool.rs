//! Idle connections to backend servers.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use chicory_net::http::ServerLink;
use chicory_ranges::ServerIncarnation;
use chicory_types::MonoTime;

/// Idle connections kept to one server: servers bound the sum over all entry VMs.
const MAX_IDLE_CONNECTIONS: usize = 3;
/// Assumed idle time-out of a server that does not tell.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(8);
/// Time by which a connection is given up before the server would close it.
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

/// Idle connections to backend servers, by the life of the server.
#[derive(Default)]
pub(super) struct ConnectionPool {
    idle: Mutex<BTreeMap<ServerIncarnation, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// The connection that was used last, if one may be used again.
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

    /// Closes all idle connections to a server: one of them was found dead.
    pub(super) fn close_all(&self, incarnation: &ServerIncarnation) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(incarnation);
    }

    /// Closes connections that can't be used any more, and those to servers that are gone.
    pub(super) fn prune(&self, now: MonoTime, is_known: impl Fn(&ServerIncarnation) -> bool) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|incarnation, connections| {
            connections.retain(|c| c.is_usable(now, Duration::MAX));
            is_known(incarnation) && !connections.is_empty()
        });
    }
}
