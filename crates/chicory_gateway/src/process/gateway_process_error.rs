//! Errors that prevent an entry process from starting.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;

/// Error that prevents an entry process from starting.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum GatewayProcessError {
    /// The address for callers can't be listened on.
    #[snafu(display("can't listen for callers on {address}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The I/O error.
        source: io::Error,
    },
}
