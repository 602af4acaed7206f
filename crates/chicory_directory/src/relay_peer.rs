//! An entry VM that relays requests to backend servers for other entry VMs.

use std::net::SocketAddr;

use chicory_types::{VmId, ZoneName};

/// An entry VM that relays requests to backend servers for other entry VMs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RelayPeer {
    /// Id of the entry VM.
    pub vm: VmId,
    /// Address on which it accepts requests of other entry VMs.
    pub address: SocketAddr,
    /// Availability zone of the entry VM.
    pub zone: ZoneName,
}
