//! Why a request was refused.

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// No such service in the table.
    UnknownService,
    /// The service is keyed and the path names no key.
    MissingKey,
    /// The service isn't idempotent and the request carries no `Idempotency-Key`.
    MissingOrderKey,
    /// The `Idempotency-Key` was used for another order.
    OrderKeyReused,
    /// The order is being run.
    OrderInProgress,
    /// The order may have run; its answer is lost.
    OrderOutcomeLost,
    /// The zone lost the claims of the order key's slot.
    OrderHistoryLost,
    /// The claims of orders are at their limit.
    ClaimsFull,
    /// The zone group gave no answer to the claim in time.
    ClaimUnavailable,
    /// The service doesn't run in a zone that can be reached.
    ZoneUnreachable,
    /// The slot has no owner at the moment.
    NoOwner,
    /// The backend server has no dispatcher at the moment.
    NoDispatcher,
    /// No backend server of the service is up.
    NoServer,
    /// This process holds no lease.
    NoLease,
    /// The queue is full.
    QueueFull,
    /// The wait would pass the deadline.
    DeadlineTooShort,
    /// The deadline passed.
    DeadlinePassed,
    /// The rate limit is reached.
    RateLimited,
    /// The backend server shed the request.
    ServerShed,
    /// The backend server refused the fencing token.
    TokenRefused,
    /// The backend server failed before it answered.
    ServerFailed,
    /// The connection made no progress.
    NoProgress,
    /// The answer ended early or belonged to another request.
    AnswerBroken,
    /// The relay to another entry VM failed.
    RelayFailed,
    /// The request has crashed backend servers.
    Quarantined,
    /// The process is stopping.
    Stopping,
}
