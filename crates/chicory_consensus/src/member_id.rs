//! Identity of one member of a group.

use std::fmt;

use chicory_types::{Incarnation, VmId};
use serde::{Deserialize, Serialize};

/// Incarnation that means "not known yet" in the address of a first message to a VM.
pub const UNKNOWN_INCARNATION: Incarnation = 0;

/// One member of a group: a VM together with the incarnation of its state.
///
/// A process without a disk forgets its votes and its log when it stops. It therefore restarts
/// with a greater incarnation, which makes it a different member. A VM with a disk keeps the
/// incarnation that is stored there.
///
/// # Examples
///
/// ```
/// use chicory_consensus::MemberId;
///
/// let before = MemberId::new("vm-a", 1);
/// let after = MemberId::new("vm-a", 2);
/// assert!(after.supersedes(&before));
/// assert_eq!(after.to_string(), "vm-a#2");
/// ```
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberId {
    /// Name of the VM.
    pub vm: VmId,
    /// Incarnation of its state; a later one is greater.
    pub incarnation: Incarnation,
}

impl MemberId {
    /// Creates the identity of a member.
    #[must_use]
    pub fn new(vm: impl Into<VmId>, incarnation: Incarnation) -> Self {
        Self {
            vm: vm.into(),
            incarnation,
        }
    }

    /// Returns the address of whichever incarnation runs on `vm` now.
    #[must_use]
    pub fn any_incarnation_of(vm: impl Into<VmId>) -> Self {
        Self::new(vm, UNKNOWN_INCARNATION)
    }

    /// Returns whether this member is a later incarnation on the same VM as `other`.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        self.vm == other.vm && self.incarnation > other.incarnation
    }

    /// Returns whether a message addressed to `self` is meant for `member`.
    #[must_use]
    pub fn addresses(&self, member: &Self) -> bool {
        self.vm == member.vm
            && (self.incarnation == UNKNOWN_INCARNATION || self.incarnation == member.incarnation)
    }
}

impl From<(&VmId, &Incarnation)> for MemberId {
    fn from((vm, incarnation): (&VmId, &Incarnation)) -> Self {
        Self::new(vm, *incarnation)
    }
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.vm, self.incarnation)
    }
}
