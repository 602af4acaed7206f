//! Simulated network partitions, for tests of failures.

use std::fmt::Debug;
use std::net::SocketAddr;

/// Decides which peers are unreachable.
///
/// Datagrams from and to a blocked peer are dropped without an error.
pub trait FaultSwitch: Debug + Send + Sync {
    /// Returns whether datagrams from and to the peer are dropped.
    fn is_blocked(&self, peer: SocketAddr) -> bool;
}

/// A fault switch that blocks no peer.
#[derive(Clone, Copy, Debug)]
pub struct NoFaults;

impl FaultSwitch for NoFaults {
    fn is_blocked(&self, _peer: SocketAddr) -> bool {
        false
    }
}
