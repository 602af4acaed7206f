//! Structured logs and metrics.
