//! Errors of setting up and rendering metrics.

use snafu::Snafu;

/// An error of setting up or rendering metrics.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum MetricsError {
    /// The exporter could not be set up.
    #[snafu(display("cannot set up the metrics exporter: {source}"))]
    Exporter {
        /// The cause.
        source: opentelemetry_sdk::error::OTelSdkError,
    },
    /// The metrics could not be rendered.
    #[snafu(display("cannot render the metrics: {source}"))]
    Render {
        /// The cause.
        source: prometheus::Error,
    },
}
