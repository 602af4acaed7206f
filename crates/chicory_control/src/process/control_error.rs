//! Why a control process can't start or has to stop.

use std::path::PathBuf;

use chicory_consensus::ConfigError;
use chicory_net::peer::PeerError;
use chicory_net::tls::TlsError;
use chicory_storage::StorageError;
use chicory_telemetry::MetricsError;
use snafu::Snafu;

/// Why a control process can't start or has to stop.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ControlError {
    /// The certificates can't be used.
    #[snafu(display("certificates: {source}"))]
    Tls {
        /// Cause.
        source: TlsError,
    },
    /// The peer port can't be used.
    #[snafu(display("peer port: {source}"))]
    Peer {
        /// Cause.
        source: PeerError,
    },
    /// The admin port can't be used.
    #[snafu(display("admin port: {source}"))]
    Admin {
        /// Cause.
        source: std::io::Error,
    },
    /// Metrics can't be set up.
    #[snafu(display("metrics: {source}"))]
    Metrics {
        /// Cause.
        source: MetricsError,
    },
    /// The data folder can't be used.
    #[snafu(display("data folder {}: {source}", folder.display()))]
    Storage {
        /// The folder.
        folder: PathBuf,
        /// Cause.
        source: StorageError,
    },
    /// The settings make no valid member of a group.
    #[snafu(display("group: {source}"))]
    Group {
        /// Cause.
        source: ConfigError,
    },
    /// The system gives no signal handler.
    #[snafu(display("signals: {source}"))]
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
    /// A committed entry or a snapshot could not be read.
    #[snafu(display("the replicated state can't be read; the process stops rather than go on"))]
    Corrupt,
}
