//! Why an operator's call failed.

/// Why an operator's call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorFailure {
    /// The process takes no part in the group that could answer.
    WrongProcess,
    /// The group has no leader or lost it. The outcome of a change is unknown: it is to be sent
    /// again with the same identifier.
    Unavailable,
    /// No such zone or service.
    NotFound,
}
