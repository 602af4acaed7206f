//! Free ports on the loopback address.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

use snafu::ResultExt;

use crate::RunnerError;
use crate::runner_error::PortSnafu;

/// Hands out ports that were free both for TCP and UDP a moment ago.
///
/// All of them stay bound until [`release`](Self::release), so that no two are the same.
#[derive(Debug, Default)]
pub struct Ports {
    held: Vec<(TcpListener, UdpSocket)>,
}

impl Ports {
    /// A free address.
    ///
    /// # Errors
    ///
    /// [`RunnerError::Port`] if the system has none.
    pub fn take(&mut self) -> Result<SocketAddr, RunnerError> {
        loop {
            let tcp = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).context(PortSnafu)?;
            let address = tcp.local_addr().context(PortSnafu)?;
            if let Ok(udp) = UdpSocket::bind(address) {
                self.held.push((tcp, udp));
                return Ok(address);
            }
        }
    }

    /// Frees all ports for the processes that are to use them.
    pub fn release(self) {
        drop(self);
    }
}
