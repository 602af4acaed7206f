//! The reason why a request was refused.

/// The reason why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// The service isn't in the table.
    UnknownService,
    /// The service is keyed, and the path has no key.
    MissingKey,
    /// The service isn't idempotent, and the request has no `Idempotency-Key`.
    MissingOrderKey,
    /// The `Idempotency-Key` was used for another order.
    OrderKeyReused,
    /// Another send of the order is in progress.
    OrderInProgress,
    /// The order may have run, but its answer was lost.
    OrderOutcomeLost,
    /// The zone has lost the claims of the order key's slot.
    OrderHistoryLost,
    /// The zone group holds the maximum number of claims.
    ClaimsFull,
    /// The zone group did not answer the claim in time.
    ClaimUnavailable,
    /// No zone that can serve the request can be reached.
    ZoneUnreachable,
    /// The slot has no owner at the moment, or its owner has drained for too long to get requests.
    NoOwner,
    /// The backend server has no dispatcher at the moment.
    NoDispatcher,
    /// No backend server of the service can accept the request at the moment.
    NoServer,
    /// This process holds no lease.
    NoLease,
    /// The queue of the server is full, or the process has its maximum number of open requests.
    QueueFull,
    /// The expected wait and service time exceed the time left until the deadline.
    DeadlineTooShort,
    /// The deadline passed.
    DeadlinePassed,
    /// The rate limit is reached.
    RateLimited,
    /// The backend server shed the request.
    ServerShed,
    /// The backend server refused the fencing token.
    TokenRefused,
    /// The backend server is down or failed before it answered.
    ServerFailed,
    /// The connection made no progress.
    NoProgress,
    /// The answer was malformed or belonged to another request.
    AnswerBroken,
    /// The relay to another entry VM failed.
    RelayFailed,
    /// The request is suspected of crashing backend servers.
    Quarantined,
    /// The process is stopping.
    Stopping,
}
