//! Why an operator's call failed.

/// Why an operator's call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorFailure {
    /// The process isn't a member of the group that could answer.
    WrongProcess,
    /// The group has no leader or lost it. The outcome of a change is then unknown: the operator
    /// has to send it again with the same identifier.
    Unavailable,
    /// There is no such zone or service.
    NotFound,
}
