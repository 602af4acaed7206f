//! Why another control VM is searched for while one is followed.

use std::time::Duration;

use chicory_link::DIAL_TIMEOUT;

/// Time limit for a dial, and for the first answer, over a link that is saturated
/// with request bodies.
const FULL_LINK_WAIT_LIMIT: Duration = Duration::from_millis(1500);

/// Why another control VM is searched for while one is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SearchCause {
    /// Nothing is received from the followed one.
    Unresponsive,
    /// The followed one is not in contact with a majority.
    NoMajority,
    /// The followed one names another one as the leader.
    OtherLeader,
}

impl SearchCause {
    /// Returns the time within which a control VM must be reached, and must answer, before the next
    /// one is tried. It is shorter for [`Self::NoMajority`]: all control VMs may be behind a
    /// network cut, and the first that can be reached again should be found soon.
    pub(super) fn wait_limit(self) -> Duration {
        match self {
            Self::NoMajority => DIAL_TIMEOUT,
            Self::Unresponsive | Self::OtherLeader => FULL_LINK_WAIT_LIMIT,
        }
    }

    /// Whether the first target is tried without a pause.
    pub(super) fn is_urgent(self) -> bool {
        self == Self::OtherLeader
    }
}
