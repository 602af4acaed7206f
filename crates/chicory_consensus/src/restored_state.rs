//! What a replica starts from.

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
    /// `false` when state was lost or damaged: the replica comes back as a learner, and takes no
    /// part in forming a group.
    pub may_vote: bool,
}

impl RestoredState {
    /// The state of a member that has stored nothing yet.
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
