//! The pages for the balancer and for whoever is on call.

mod admin_handler;
mod readiness;

pub use admin_handler::AdminHandler;
pub use readiness::Readiness;
