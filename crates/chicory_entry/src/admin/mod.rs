//! Publishes the counters of the request path as metrics.

mod request_metric;

pub(crate) use request_metric::publish;
