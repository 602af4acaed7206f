//! The state that has to be durable before a promise goes out.

use chicory_types::Term;

use crate::MemberId;

/// Term and vote of a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// Latest term that the replica has seen.
    pub term: Term,
    /// Candidate that has the replica's vote in that term.
    pub voted_for: Option<MemberId>,
}
