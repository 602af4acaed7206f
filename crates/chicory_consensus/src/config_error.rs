//! Errors in the settings of a replica.

use std::time::Duration;

use snafu::Snafu;

/// Reason why a [`ReplicaConfig`](crate::ReplicaConfig) could not be built.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConfigError {
    /// No bootstrap VM was given.
    #[snafu(display("the group has no bootstrap VM"))]
    NoBootstrapVm,
    /// The member has incarnation 0, which is reserved for "unknown".
    #[snafu(display("the member's incarnation is 0"))]
    UnknownIncarnation,
    /// The lower bound of the election timeout is not below its upper bound.
    #[snafu(display("election timeout range is empty: {min:?} is not below {max:?}"))]
    ElectionTimeoutRange {
        /// Lower bound.
        min: Duration,
        /// Upper bound.
        max: Duration,
    },
    /// The heartbeat interval is zero, or so long that one lost heartbeat could end the lease.
    #[snafu(display(
        "heartbeat interval {heartbeat:?} is zero or over half of the lease {lease:?}"
    ))]
    HeartbeatInterval {
        /// Heartbeat interval.
        heartbeat: Duration,
        /// Leader lease.
        lease: Duration,
    },
    /// The lease is too long: a voter could vote for another leader while it is still valid.
    #[snafu(display(
        "lease {lease:?} with its clock-rate margin exceeds the shortest election timeout {min:?}"
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
