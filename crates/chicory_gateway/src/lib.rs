//! The entry process that follows the directory of a site and serves callers.
//!
//! [`Gateway`] decides, without any I/O: which backend server a request goes to, whether it is
//! sent again, and what a caller is told. [`GatewayProcess`] carries that out: HTTP to callers and
//! backend servers, and the link to the control VMs. What callers and servers speak is behind
//! [`CallerInterface`] and [`ServerInterface`].

mod decide;
mod process;
mod view;

pub use decide::{
    Arrival, AttemptOutcome, Gateway, GatewayConfig, NextStep, Policy, Refusal, RefusalReason,
    RequestMetadata, RequestTicket, RetryBudget, Target,
};
pub use process::{
    AnswerClass, CallerInterface, GatewayMetric, GatewayProcess, GatewayProcessConfig,
    GatewayProcessError, ServerInterface,
};
pub use view::{Directory, UpdateOutcome};
