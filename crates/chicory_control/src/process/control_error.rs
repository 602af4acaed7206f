//! The error that prevents a control process from starting or makes it stop.

use std::path::PathBuf;

use chicory_consensus::ConfigError;
use chicory_net::peer::PeerError;
use chicory_net::tls::TlsError;
use chicory_storage::StorageError;
use chicory_telemetry::MetricsError;
use snafu::Snafu;

/// The error that prevents a control process from starting or makes it stop.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ControlError {
    /// The certificates can't be used.
    #[snafu(display("can't load the certificates: {source}"))]
    Tls {
        /// Cause.
        source: TlsError,
    },
    /// The peer port can't be used.
    #[snafu(display("can't open the peer port: {source}"))]
    Peer {
        /// Cause.
        source: PeerError,
    },
    /// The admin port can't be used.
    #[snafu(display("can't open the admin port: {source}"))]
    Admin {
        /// Cause.
        source: std::io::Error,
    },
    /// Metrics can't be set up.
    #[snafu(display("can't set up metrics: {source}"))]
    Metrics {
        /// Cause.
        source: MetricsError,
    },
    /// The data folder can't be used.
    #[snafu(display("can't use data folder {}: {source}", folder.display()))]
    Storage {
        /// The folder.
        folder: PathBuf,
        /// Cause.
        source: StorageError,
    },
    /// The settings don't describe a valid member of a group.
    #[snafu(display("invalid settings of a group: {source}"))]
    Group {
        /// Cause.
        source: ConfigError,
    },
    /// The signal handlers can't be installed.
    #[snafu(display("can't install signal handlers: {source}"))]
    Signal {
        /// Cause.
        source: std::io::Error,
    },
    /// The trace file can't be used.
    #[snafu(display("{source}"))]
    Trace {
        /// Cause.
        source: chicory_trace::TraceError,
    },
    /// The process must not continue, for example because a committed entry or a snapshot could
    /// not be read.
    #[snafu(display(
        "the replicated state can't be read or stored; the process stops to avoid acting on wrong \
         state"
    ))]
    Corrupt,
}
