//! Why an entry process can't start.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;

/// Why an entry process can't start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum GatewayProcessError {
    /// The address for callers can't be listened on.
    #[snafu(display("can't listen for callers on {address}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The failure.
        source: io::Error,
    },
}
