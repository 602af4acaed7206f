//! Decisions about requests under load and faults, without I/O.
//!
//! Each type handles one kind of load or fault. It reads no clock and draws no random numbers, so
//! that tests can run a load against it in virtual time:
//!
//! | type | load or fault | decision |
//! |---|---|---|
//! | [`Outages`] | keys without an owner, or unreachable servers, for seconds | wait, probe now and then, or refuse at once |
//! | [`RetryAfter`] | refused callers | when they should retry |

mod outages;
mod retry_after;

pub use outages::Outages;
pub use retry_after::RetryAfter;
