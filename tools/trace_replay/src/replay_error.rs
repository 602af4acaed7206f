//! Why a trace can't be replayed.

use chicory_consensus::ConfigError;
use chicory_trace::TraceError;
use snafu::Snafu;

/// Why a trace can't be replayed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReplayError {
    /// The trace can't be read.
    #[snafu(display("{source}"))]
    Trace {
        /// Cause.
        source: TraceError,
    },
    /// The settings in the trace make no valid member of a group.
    #[snafu(display("settings of the trace: {source}"))]
    Settings {
        /// Cause.
        source: ConfigError,
    },
}
