//! Decisions about requests under load and faults, without I/O.
//!
//! Each type answers one load or fault, reads no clock and draws no random numbers, so that a load
//! can be played against it in virtual time:
//!
//! | type | load or fault | decision |
//! |---|---|---|
//! | [`Outages`] | keys whose owner is gone, and servers that can't be reached, for seconds | wait, ask now and then, or refuse at once |
//! | [`RetryAfter`] | callers that are refused | when they come back |

mod outages;
mod retry_after;

pub use outages::Outages;
pub use retry_after::RetryAfter;
