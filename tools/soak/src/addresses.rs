//! The loopback addresses of a run.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Port of the control VMs for operators and backend servers.
const CONTROL_PORT: u16 = 7600;
/// Port of the links between processes.
pub(crate) const LINK_PORT: u16 = 7610;
/// Port of the entry VMs for callers.
const CALLER_PORT: u16 = 7600;
/// Port of the readiness check of the entry VMs.
const READY_PORT: u16 = 7601;
/// Port of backend servers.
const SERVER_PORT: u16 = 7700;
/// Second octet of the first network; programs that use common loopback addresses don't conflict
/// with networks from here on.
const FIRST_NETWORK: u8 = 30;
/// Distance between the networks of two soak processes whose process ids are adjacent.
const NETWORK_STRIDE: usize = 37;
/// Number of networks, one for each concurrent run.
const NETWORK_COUNT: usize = 200;

/// Addresses of one run.
///
/// Every VM and backend server has an address of its own. Control VMs and backend servers also have
/// an advertised address, at which a proxy listens.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Addresses {
    network: u8,
}

impl Addresses {
    /// Creates the addresses of the run with this index. Other soak processes usually get different
    /// ones, as the process id is part of the choice.
    pub(crate) fn new(run: usize) -> Self {
        let process = usize::try_from(std::process::id()).unwrap_or(0);
        let network = u8::try_from((process * NETWORK_STRIDE + run) % NETWORK_COUNT).unwrap_or(0);
        Self {
            network: FIRST_NETWORK + network,
        }
    }

    fn ip(self, group: u8, index: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.network, group, index + 1))
    }

    /// Returns the address at which a control VM listens.
    pub(crate) fn control_listen(self, index: u8) -> IpAddr {
        self.ip(1, index)
    }

    /// Returns the advertised address of a control VM, where its proxy listens.
    pub(crate) fn control_advertised(self, index: u8) -> IpAddr {
        self.ip(2, index)
    }

    /// Returns the advertised address of a control VM for operators and backend servers.
    pub(crate) fn control_interface(self, index: u8) -> SocketAddr {
        SocketAddr::new(self.control_advertised(index), CONTROL_PORT)
    }

    /// Returns the id of a control VM, which is its advertised address for links.
    pub(crate) fn control_id(self, index: u8) -> SocketAddr {
        SocketAddr::new(self.control_advertised(index), LINK_PORT)
    }

    /// Returns the address at which an entry VM listens.
    pub(crate) fn entry(self, index: u8) -> IpAddr {
        self.ip(3, index)
    }

    /// Returns the address of an entry VM for callers.
    pub(crate) fn callers(self, index: u8) -> SocketAddr {
        SocketAddr::new(self.entry(index), CALLER_PORT)
    }

    /// Returns the address of the readiness check of an entry VM.
    pub(crate) fn readiness(self, index: u8) -> SocketAddr {
        SocketAddr::new(self.entry(index), READY_PORT)
    }

    /// Returns the address at which a backend server listens.
    pub(crate) fn server_listen(self, index: u8) -> SocketAddr {
        SocketAddr::new(self.ip(4, index), SERVER_PORT)
    }

    /// Returns the advertised address of a backend server, where its proxy listens.
    pub(crate) fn server_advertised(self, index: u8) -> SocketAddr {
        SocketAddr::new(self.ip(5, index), SERVER_PORT)
    }
}
