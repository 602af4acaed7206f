//! The entry process, which follows the directory of a site and serves callers.
//!
//! [`Gateway`] decides without any I/O which backend server a request is sent to, whether it is
//! sent again, and when it is refused. [`GatewayProcess`] does the I/O: HTTP with callers and
//! backend servers, and the link to the control VMs. The headers that callers and servers use are
//! behind [`CallerInterface`] and [`ServerInterface`].

mod decide;
mod process;
mod view;

pub use decide::{
    Admission, AttemptOutcome, FollowUp, FollowUpStep, Gateway, GatewayConfig, LeavingNotice,
    LimitInForce, LimitNotice, LimitedCounts, LimitedServerLoad, LoadNotice, NextStep, Policy,
    ProbeResult, ReachabilityChange, Recheck, Refusal, RefusalReason, RelayRecheck,
    RequestMetadata, RequestTicket, RestNotice, RetryBudget, ServerGroup, ServerNotices,
    ShareCounts, Target,
};
pub use process::{
    AnswerClass, CallerInterface, GatewayMetric, GatewayProcess, GatewayProcessConfig,
    GatewayProcessError, RelayAdmission, RelayClient, RelayHead, RelayHeadError, RelayLoad,
    RelayOutcome, RelaySize, RelayedCall, ServerInterface,
};
pub use view::{Directory, Evacuations, UpdateOutcome};
