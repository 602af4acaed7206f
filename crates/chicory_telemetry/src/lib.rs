//! Structured logs and metrics.
//!
//! Metrics are named by typed enums that implement [`MetricName`], so that a counter can't be
//! misspelt; [`Metrics`] renders all of them in the Prometheus text format. [`new_logger`] builds
//! the process's logger.

mod log_format;
mod logger;
mod metric_name;
mod metrics;
mod metrics_error;

pub use log_format::LogFormat;
pub use logger::{new_logger, new_stdout_logger};
pub use metric_name::MetricName;
pub use metrics::Metrics;
pub use metrics_error::MetricsError;
