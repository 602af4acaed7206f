//! Free ports on the loopback address.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

use snafu::OptionExt;

use crate::RunnerError;
use crate::runner_error::UnexpectedSnafu;

/// First port that is tried; the system takes ports of outgoing connections from 32768 on, and one
/// of those could be gone again before a process listens on it.
const FIRST_PORT: u32 = 10_000;
/// Number of ports that are tried.
const PORT_COUNT: u32 = 20_000;
/// Distance between the first ports of two runners.
const PORTS_PER_RUNNER: u32 = 200;

/// Hands out ports that are free both for TCP and UDP.
///
/// All of them stay bound until this is dropped, so that no two are the same.
#[derive(Debug)]
pub struct Ports {
    offset: u32,
    tried: u32,
    held: Vec<(TcpListener, UdpSocket)>,
}

impl Ports {
    /// Starts at a port that depends on the runner's process, so that runners at the same time
    /// don't meet.
    pub fn new() -> Self {
        Self {
            offset: std::process::id().wrapping_mul(PORTS_PER_RUNNER) % PORT_COUNT,
            tried: 0,
            held: Vec::new(),
        }
    }

    /// A free address.
    ///
    /// # Errors
    ///
    /// [`RunnerError::Unexpected`] if there is none.
    pub fn take(&mut self) -> Result<SocketAddr, RunnerError> {
        while self.tried < PORT_COUNT {
            let port = FIRST_PORT + (self.offset + self.tried) % PORT_COUNT;
            self.tried += 1;
            let port = u16::try_from(port).unwrap_or_default();
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
            let bound = (TcpListener::bind(address), UdpSocket::bind(address));
            if let (Ok(tcp), Ok(udp)) = bound {
                self.held.push((tcp, udp));
                return Ok(address);
            }
        }
        None.context(UnexpectedSnafu {
            expected: "a free port",
            found: "none",
        })
    }
}
