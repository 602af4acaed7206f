//! Structured logs and metrics.
//!
//! Metrics are named by enums that implement [`MetricName`], so that the compiler rejects a
//! misspelt name; [`Metrics`] renders all metrics in the Prometheus text format. [`new_logger`] and
//! [`new_stdout_logger`] create the logger of a process.

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
