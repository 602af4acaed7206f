//! Why a control process can't start.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;

/// Why a control process can't start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum SiteProcessError {
    /// The address of the links can't be listened on.
    #[snafu(display("can't listen for links on {address}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The failure.
        source: io::Error,
    },
    /// The thread of the storage can't be started.
    #[snafu(display("can't start the storage thread"))]
    Thread {
        /// The failure.
        source: io::Error,
    },
}
