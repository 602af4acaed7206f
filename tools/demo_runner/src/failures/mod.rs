//! Failure cases, each checked by what callers, servers and operators observed.

mod background_load;
mod control_failures;
mod entry_failures;
mod failure_case;
mod failure_run;
mod operator_failures;
mod order_failures;
mod server_failures;
mod zone_failures;

pub use failure_case::{FailureCase, run_failures};
