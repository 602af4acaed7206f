//! Limits of one backend server.

/// Limits of one server, from the table and from its announcement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ServerLimits {
    pub(crate) max_in_flight: usize,
    pub(crate) max_connections: usize,
    pub(crate) queue_limit: usize,
    /// 0 means no limit.
    pub(crate) rate_limit_per_s: u32,
}
