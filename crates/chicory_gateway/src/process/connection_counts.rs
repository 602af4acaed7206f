//! How many connections an entry process keeps open.

/// Descriptors for listeners, files, and links to control VMs.
const OWN_DESCRIPTORS: usize = 200;
/// Most connections of other entry VMs.
const MAX_RELAY_CONNECTIONS: usize = 1000;

/// How many connections of clients an entry process keeps open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ConnectionCounts {
    /// Connections of callers.
    pub(super) callers: usize,
    /// Connections of other entry VMs.
    pub(super) relays: usize,
}

impl ConnectionCounts {
    /// Divides the descriptors that the process may have open. Half are for callers, as each request
    /// in progress needs a connection to a backend server as well.
    pub(super) fn new(max_descriptors: usize) -> Self {
        let for_connections = max_descriptors.saturating_sub(OWN_DESCRIPTORS);
        Self {
            callers: (for_connections / 2).max(1),
            relays: (for_connections / 4).clamp(1, MAX_RELAY_CONNECTIONS),
        }
    }
}
