//! Why another control VM is looked for beside the one that is followed.

use std::time::Duration;

use chicory_link::DIAL_TIMEOUT;

/// Time for a dial, and for the first answer, over a link that is full of bodies.
const FULL_LINK_PATIENCE: Duration = Duration::from_millis(1500);

/// Why another control VM is looked for beside the one that is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SearchCause {
    /// Nothing comes from it.
    Silence,
    /// It has no contact to a majority.
    NoMajority,
    /// It names another one as the leader.
    OtherLeader,
}

impl SearchCause {
    /// Time for a control VM to be reached, and to answer, before the next one is tried. Without a
    /// majority all may be behind a cut, and the one that is back first should be found soon.
    pub(super) fn patience(self) -> Duration {
        match self {
            Self::NoMajority => DIAL_TIMEOUT,
            Self::Silence | Self::OtherLeader => FULL_LINK_PATIENCE,
        }
    }

    /// Whether the first one is tried without a pause.
    pub(super) fn is_urgent(self) -> bool {
        self == Self::OtherLeader
    }
}
