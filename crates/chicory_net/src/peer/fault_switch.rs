//! Cuts of the network, for tests of failures.

use std::fmt::Debug;
use std::net::SocketAddr;

/// Tells which peers can't be reached; datagrams from and to them vanish silently.
pub trait FaultSwitch: Debug + Send + Sync {
    /// Whether datagrams from and to the peer are dropped.
    fn is_blocked(&self, peer: SocketAddr) -> bool;
}

/// Blocks nobody.
#[derive(Clone, Copy, Debug)]
pub struct NoFaults;

impl FaultSwitch for NoFaults {
    fn is_blocked(&self, _peer: SocketAddr) -> bool {
        false
    }
}
