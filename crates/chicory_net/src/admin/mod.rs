//! Health, readiness and metrics pages for the load balancer and for the operator on call.

mod admin_handler;
mod readiness;

pub use admin_handler::AdminHandler;
pub use readiness::Readiness;
