//! Errors of the settings.

use std::time::Duration;

use snafu::Snafu;

/// Why a [`ReplicaConfig`](crate::ReplicaConfig) could not be built.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConfigError {
    /// No bootstrap VM was given.
    #[snafu(display("the group has no bootstrap VM"))]
    NoBootstrapVm,
    /// The member has the incarnation that stands for "unknown".
    #[snafu(display("the member's incarnation is 0"))]
    UnknownIncarnation,
    /// The election timeouts are out of order.
    #[snafu(display("election timeout of {min:?} to {max:?} is not a range"))]
    ElectionTimeoutRange {
        /// Lower bound.
        min: Duration,
        /// Upper bound.
        max: Duration,
    },
    /// The heartbeat leaves no room for a lost message.
    #[snafu(display("heartbeat interval {heartbeat:?} is over half of the lease {lease:?}"))]
    HeartbeatInterval {
        /// Heartbeat interval.
        heartbeat: Duration,
        /// Leader lease.
        lease: Duration,
    },
    /// A voter could vote for another leader while the lease runs.
    #[snafu(display(
        "lease {lease:?} with its clock-rate margin exceeds the election timeout {min:?}"
    ))]
    LeaseExceedsElectionTimeout {
        /// Leader lease.
        lease: Duration,
        /// Lower bound of the election timeout.
        min: Duration,
    },
    /// A limit is zero.
    #[snafu(display("the limit {limit} is zero"))]
    ZeroLimit {
        /// Name of the limit.
        limit: &'static str,
    },
}
