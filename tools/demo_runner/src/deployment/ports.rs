//! Free ports on the loopback address.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

use snafu::OptionExt;

use crate::RunnerError;
use crate::runner_error::UnexpectedSnafu;

/// First port that is tried. All ports are below 32768, as the system uses ports from there on for
/// outgoing connections and could occupy one before a process listens on it.
const FIRST_PORT: u32 = 10_000;
/// Number of ports that are tried.
const PORT_COUNT: u32 = 20_000;
/// Distance between the first ports of two runners.
const PORTS_PER_RUNNER: u32 = 200;

/// Allocates ports that are free both for TCP and for UDP.
///
/// All of them stay bound until this value is dropped, so that no two are the same.
#[derive(Debug)]
pub struct Ports {
    offset: u32,
    tried: u32,
    held: Vec<(TcpListener, UdpSocket)>,
}

impl Ports {
    /// Creates an allocator. Its first port depends on the process id, so that concurrent runners
    /// use different ports.
    pub fn new() -> Self {
        Self {
            offset: std::process::id().wrapping_mul(PORTS_PER_RUNNER) % PORT_COUNT,
            tried: 0,
            held: Vec::new(),
        }
    }

    /// Returns a loopback address with a free port.
    ///
    /// # Errors
    ///
    /// [`RunnerError::Unexpected`] if no port is free.
    pub fn allocate(&mut self) -> Result<SocketAddr, RunnerError> {
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
