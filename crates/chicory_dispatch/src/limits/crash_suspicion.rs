//! How far a request is suspected of crashing backend servers.

/// How far a fingerprint is suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CrashSuspicion {
    /// Not at all.
    None,
    /// It runs alone until it is acquitted.
    Isolate,
    /// It is refused.
    Refuse,
}
