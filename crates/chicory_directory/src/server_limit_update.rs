//! Messages about the rate limits of backend servers.

use std::time::Duration;

use chicory_ranges::ServerIncarnation;

/// What an answer of a backend server said about its rate limit.
///
/// The ages are as of the moment at which the message was created.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportedLimit {
    /// The server.
    pub incarnation: ServerIncarnation,
    /// Requests per second that the server takes from all entry VMs together; `None` if the answer
    /// named no limit.
    pub rate_per_s: Option<f64>,
    /// Time since the request was sent.
    pub sent_age: Duration,
    /// Time since the answer was received.
    pub received_age: Duration,
}

/// Request of an entry VM for permits to send requests to a server with a rate limit.
#[derive(Clone, Debug, PartialEq)]
pub struct PermitRequest {
    /// The server.
    pub incarnation: ServerIncarnation,
    /// Rank of the requests of callers that wait; 0 is the most urgent.
    pub rank: u32,
    /// Number of permits.
    pub count: u32,
    /// Limit of the server as the entry VM knows it, in requests per second. It counts if the leader
    /// knows of no limit, as after its election.
    pub rate_per_s: f64,
}

/// Answer of the leader to a [`PermitRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitAnswer {
    /// The server.
    pub incarnation: ServerIncarnation,
    /// Rank of the request.
    pub rank: u32,
    /// Number of requests that may be sent to the server.
    pub granted: u32,
    /// Number of permits that were requested and not granted.
    pub denied: u32,
    /// Time after which a further permit is probably available, if some were denied.
    pub retry_after: Duration,
}

/// What an entry VM learns about the rate limits of backend servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerLimitUpdate {
    /// Limits that were named or lifted.
    pub limits: Vec<ReportedLimit>,
    /// Answers to the requests of this entry VM.
    pub permits: Vec<PermitAnswer>,
}
