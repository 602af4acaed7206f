//! Errors that prevent a replay.

use chicory_consensus::ConfigError;
use chicory_trace::TraceError;
use snafu::Snafu;

/// An error that prevents a replay.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReplayError {
    /// The trace can't be read.
    #[snafu(display("{source}"))]
    Trace {
        /// The cause.
        source: TraceError,
    },
    /// The settings in the trace are not valid for a member of a group.
    #[snafu(display("invalid settings in the trace: {source}"))]
    Settings {
        /// The cause.
        source: ConfigError,
    },
}
