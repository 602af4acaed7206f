//! How far the claim of a request has got.

/// How far the claim of a request has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClaimState {
    /// None was asked for.
    None,
    /// It was asked for and not answered.
    Asked,
    /// The order may be run once.
    Granted,
}
