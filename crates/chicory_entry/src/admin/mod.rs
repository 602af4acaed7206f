//! The pages for the balancer and for whoever is on call.

mod admin_handler;
mod readiness;
mod request_metric;

pub(crate) use admin_handler::AdminHandler;
pub(crate) use readiness::Readiness;
pub(crate) use request_metric::publish;
