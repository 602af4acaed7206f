//! The request path's counters as metrics.

mod request_metric;

pub(crate) use request_metric::publish;
