//! Idle connections.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use chicory_net::http::ServerLink;
use chicory_types::MonoTime;

/// Idle timeout that is assumed for a peer that does not state one.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(8);
/// Margin by which a connection is discarded before its peer would close it.
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
        idle <= max_idle && idle < keep && self.link.is_ready() && !self.link.is_worn_out()
    }
}

/// Idle connections, by the id of their peer.
pub(super) struct ConnectionPool<Id> {
    idle: Mutex<BTreeMap<Id, Vec<IdleConnection>>>,
    /// Maximum number of idle connections to one peer.
    max_idle_connections: usize,
}

impl<Id: Clone + Ord> ConnectionPool<Id> {
    pub(super) fn new(max_idle_connections: usize) -> Self {
        Self {
            idle: Mutex::default(),
            max_idle_connections,
        }
    }

    /// Takes the connection that was used last of those that may carry the request with this id.
    pub(super) fn take(
        &self,
        now: MonoTime,
        peer: &Id,
        max_idle: Duration,
        request: Option<&str>,
    ) -> Option<ServerLink> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(peer)?;
        let position = connections
            .iter()
            .rposition(|c| c.is_usable(now, max_idle) && c.link.may_carry(request))?;
        Some(connections.remove(position).link)
    }

    /// Whether there is a connection that may carry the request with this id.
    pub(super) fn has_usable(
        &self,
        now: MonoTime,
        peer: &Id,
        max_idle: Duration,
        request: Option<&str>,
    ) -> bool {
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let mut connections = idle.get(peer).into_iter().flatten();
        connections.any(|c| c.is_usable(now, max_idle) && c.link.may_carry(request))
    }

    /// Keeps a connection for a later request.
    pub(super) fn put(
        &self,
        now: MonoTime,
        peer: &Id,
        link: ServerLink,
        keep_alive: Option<Duration>,
    ) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(peer.clone()).or_default();
        if connections.len() >= self.max_idle_connections {
            connections.remove(0);
        }
        connections.push(IdleConnection {
            link,
            idle_since: now,
            keep_alive: keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE),
        });
    }

    /// Closes all idle connections to a peer, after one of them was found dead.
    pub(super) fn close_all(&self, peer: &Id) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(peer);
    }

    /// Closes connections that can't be used any more, and those to peers that have left.
    pub(super) fn prune(&self, now: MonoTime, is_known: impl Fn(&Id) -> bool) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|peer, connections| {
            connections.retain(|connection| connection.is_usable(now, Duration::MAX));
            is_known(peer) && !connections.is_empty()
        });
    }
}
