//! Decisions about requests under load and faults, without I/O.
//!
//! Each type handles one kind of load or fault. It reads no clock and draws no random numbers, so
//! that tests can run a load against it in virtual time:
//!
//! | type | load or fault | decision |
//! |---|---|---|
//! | [`NamedLimits`] | rate limits that servers state in answers, which overtake each other | which limit is in force |
//! | [`Outages`] | keys without an owner, or unreachable servers, for seconds | wait, probe now and then, or refuse at once |
//! | [`RetryAfter`] | refused callers | when they should retry |
//! | [`TokenBucket`] | more requests than a rate allows | when the next one may go |

mod named_limits;
mod outages;
mod retry_after;
mod token_bucket;

pub use named_limits::{LimitChange, LimitObservation, NamedLimits};
pub use outages::Outages;
pub use retry_after::RetryAfter;
pub use token_bucket::TokenBucket;
