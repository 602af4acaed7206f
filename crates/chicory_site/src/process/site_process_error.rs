//! Errors at the start of a control process.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;

/// Why a control process can't start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum SiteProcessError {
    /// The process can't listen for links on its address.
    #[snafu(display("can't listen for links on {address}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The failure.
        source: io::Error,
    },
    /// The storage thread can't be started.
    #[snafu(display("can't start the storage thread"))]
    Thread {
        /// The failure.
        source: io::Error,
    },
}
