//! Failures of the entry process.

use std::net::SocketAddr;

use chicory_net::peer::PeerError;
use chicory_net::tls::TlsError;
use chicory_telemetry::MetricsError;
use snafu::Snafu;

/// The entry process could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum EntryError {
    /// The certificates can't be used.
    #[snafu(display("{source}"), context(false))]
    Tls {
        /// The cause.
        source: TlsError,
    },
    /// The peer endpoint could not be set up.
    #[snafu(display("{source}"), context(false))]
    Peer {
        /// The cause.
        source: PeerError,
    },
    /// The metrics could not be set up.
    #[snafu(display("{source}"), context(false))]
    Metrics {
        /// The cause.
        source: MetricsError,
    },
    /// A listener could not be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The trace file could not be opened.
    #[snafu(display("{source}"))]
    Trace {
        /// The cause.
        source: chicory_trace::TraceError,
    },
    /// The runtime or the signal handler could not be set up.
    #[snafu(display("cannot start: {source}"))]
    Runtime {
        /// The cause.
        source: std::io::Error,
    },
}
