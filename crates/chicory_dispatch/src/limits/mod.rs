//! Rate limits, retry budgets and crash suspects that are not bound to one backend server.

mod crash_suspects;
mod crash_suspicion;
mod retry_budget;
mod service_limits;

pub(crate) use crash_suspects::CrashSuspects;
pub(crate) use crash_suspects::MAX_CRASHES;
pub(crate) use crash_suspicion::CrashSuspicion;
pub(crate) use retry_budget::RetryBudget;
pub(crate) use service_limits::ServiceLimits;
