//! Decisions about requests under load and faults, without I/O.
//!
//! Each type answers one load or fault, reads no clock and draws no random numbers, so that a load
//! can be played against it in virtual time:
//!
//! | type | load or fault | decision |
//! |---|---|---|
//! | [`KeyOutages`] | keys whose owner is gone or can't be reached for seconds | wait for the owner, or refuse at once |
//! | [`ReturnTime`] | callers that are refused | when they come back |

mod key_outages;
mod return_time;

pub use key_outages::KeyOutages;
pub use return_time::ReturnTime;
