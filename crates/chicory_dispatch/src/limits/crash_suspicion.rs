//! The degree to which a request is suspected of crashing backend servers.

/// The degree to which a fingerprint is suspected of crashing backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CrashSuspicion {
    /// It is not suspected.
    None,
    /// Its requests run alone until it is cleared.
    Isolate,
    /// Its requests are refused.
    Refuse,
}
