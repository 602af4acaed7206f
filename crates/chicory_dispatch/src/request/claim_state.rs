//! The state of the claim of a request.

/// The state of the claim of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClaimState {
    /// No claim is requested or held.
    None,
    /// The claim was requested and is not answered yet.
    Requested,
    /// The claim was granted: the order may be sent to a server once.
    Granted,
}
