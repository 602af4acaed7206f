//! Columns of a table in CSV format.

/// Columns of a table in CSV format, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CsvColumn {
    Service,
    Server,
    Weight,
    MaxInFlight,
    MaxConnections,
    QueueLimit,
    RateLimitPerS,
    Keyed,
    Idempotent,
    DeadlineMs,
    CustodyLeaseMs,
    Zones,
}

impl CsvColumn {
    pub(crate) const ALL: [Self; 12] = [
        Self::Service,
        Self::Server,
        Self::Weight,
        Self::MaxInFlight,
        Self::MaxConnections,
        Self::QueueLimit,
        Self::RateLimitPerS,
        Self::Keyed,
        Self::Idempotent,
        Self::DeadlineMs,
        Self::CustodyLeaseMs,
        Self::Zones,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Service => "service",
            Self::Server => "server",
            Self::Weight => "weight",
            Self::MaxInFlight => "max_in_flight",
            Self::MaxConnections => "max_connections",
            Self::QueueLimit => "queue_limit",
            Self::RateLimitPerS => "rate_limit_per_s",
            Self::Keyed => "keyed",
            Self::Idempotent => "idempotent",
            Self::DeadlineMs => "deadline_ms",
            Self::CustodyLeaseMs => "custody_lease_ms",
            Self::Zones => "zones",
        }
    }

    /// Returns the position of the column in a line, from 0.
    pub(crate) fn index(self) -> usize {
        self as usize
    }
}
