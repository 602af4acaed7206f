//! State that a replica starts from.

use crate::{Entry, HardState, Snapshot};

/// State of a replica as read from its data folder, or the fresh state of a process without one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RestoredState {
    /// Term and vote.
    pub hard_state: HardState,
    /// Latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, ascending without a gap.
    pub entries: Vec<Entry>,
    /// Whether the replica may vote and take part in forming a group. `false` if state was lost or
    /// damaged: the replica then has to become a learner before it may vote again.
    pub may_vote: bool,
}

impl RestoredState {
    /// Returns the state of a member that has stored nothing yet.
    #[must_use]
    pub fn fresh() -> Self {
        Self {
            hard_state: HardState::default(),
            snapshot: None,
            entries: Vec::new(),
            may_vote: true,
        }
    }
}
