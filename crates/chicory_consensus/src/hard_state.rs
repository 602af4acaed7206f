//! State that must be durable before a message that depends on it is sent.

use chicory_types::Term;

use crate::MemberId;

/// Term and vote of a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// Latest term that the replica has seen.
    pub term: Term,
    /// Candidate that the replica voted for in that term.
    pub voted_for: Option<MemberId>,
}
