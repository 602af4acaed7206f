//! Idle connections to entry VMs that relay requests.

use std::time::Duration;

use chicory_net::http::ServerLink;
use chicory_types::{MonoTime, VmId};

use super::connection_pool::ConnectionPool;

/// Most idle connections to one entry VM.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// Idle time after which a connection is closed, and a margin. Without relayed requests there is no
/// traffic between entry VMs.
const KEEP_TIME: Duration = Duration::from_secs(4);

/// Idle connections to entry VMs that relay requests.
pub(super) struct RelayPool {
    connections: ConnectionPool<VmId>,
}

impl Default for RelayPool {
    fn default() -> Self {
        Self {
            connections: ConnectionPool::new(MAX_IDLE_CONNECTIONS),
        }
    }
}

impl RelayPool {
    /// Takes the connection that was used last, if it may be used again.
    pub(super) fn take(&self, now: MonoTime, vm: &VmId, max_idle: Duration) -> Option<ServerLink> {
        self.connections.take(now, vm, max_idle, None)
    }

    /// Keeps a connection for a later request.
    pub(super) fn put(&self, now: MonoTime, vm: &VmId, link: ServerLink) {
        self.connections.put(now, vm, link, Some(KEEP_TIME));
    }

    /// Closes all idle connections to an entry VM, after one of them was found dead.
    pub(super) fn close_all(&self, vm: &VmId) {
        self.connections.close_all(vm);
    }

    /// Closes connections that have been idle for too long.
    pub(super) fn prune(&self, now: MonoTime) {
        self.connections.prune(now, |_| true);
    }
}
