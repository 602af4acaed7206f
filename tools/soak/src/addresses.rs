//! Addresses on loopback.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Port of the interface for operators and backend servers.
const CONTROL_PORT: u16 = 7600;
/// Port of the links between processes.
pub(crate) const LINK_PORT: u16 = 7610;
/// Port for callers.
const CALLER_PORT: u16 = 7600;
/// Port of the readiness page.
const READY_PORT: u16 = 7601;
/// Port of backend servers.
const SERVER_PORT: u16 = 7700;
/// First network of runs, so that they don't meet other users of loopback.
const FIRST_NETWORK: u8 = 30;
/// Networks by which processes of the soak with neighbouring ids are apart.
const NETWORKS_APART: usize = 37;
/// Runs at a time that have networks of their own.
const NETWORKS: usize = 200;

/// Addresses of one run: every VM and server has one of its own, and those that others dial have a
/// second one, at which the proxy listens.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Addresses {
    network: u8,
}

impl Addresses {
    /// Addresses of the run with this index; other processes of the soak use other ones, as a rule.
    pub(crate) fn new(run: usize) -> Self {
        let process = usize::try_from(std::process::id()).unwrap_or(0);
        let network = u8::try_from((process * NETWORKS_APART + run) % NETWORKS).unwrap_or(0);
        Self {
            network: FIRST_NETWORK + network,
        }
    }

    fn ip(self, group: u8, index: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.network, group, index + 1))
    }

    /// Where a control VM listens.
    pub(crate) fn control_own(self, index: u8) -> IpAddr {
        self.ip(1, index)
    }

    /// Where the others reach a control VM.
    pub(crate) fn control_told(self, index: u8) -> IpAddr {
        self.ip(2, index)
    }

    /// Interface of a control VM for operators and servers, as they reach it.
    pub(crate) fn control_interface(self, index: u8) -> SocketAddr {
        SocketAddr::new(self.control_told(index), CONTROL_PORT)
    }

    /// Id of a control VM: where the others reach its links.
    pub(crate) fn control_id(self, index: u8) -> SocketAddr {
        SocketAddr::new(self.control_told(index), LINK_PORT)
    }

    /// Where an entry VM listens.
    pub(crate) fn entry(self, index: u8) -> IpAddr {
        self.ip(3, index)
    }

    /// Where callers reach an entry VM.
    pub(crate) fn callers(self, index: u8) -> SocketAddr {
        SocketAddr::new(self.entry(index), CALLER_PORT)
    }

    /// Where an entry VM tells whether it is ready.
    pub(crate) fn readiness(self, index: u8) -> SocketAddr {
        SocketAddr::new(self.entry(index), READY_PORT)
    }

    /// Where a backend server listens.
    pub(crate) fn server_own(self, index: u8) -> SocketAddr {
        SocketAddr::new(self.ip(4, index), SERVER_PORT)
    }

    /// Where a backend server is reached.
    pub(crate) fn server_told(self, index: u8) -> SocketAddr {
        SocketAddr::new(self.ip(5, index), SERVER_PORT)
    }
}
