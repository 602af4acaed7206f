//! How a group comes into being.

use std::collections::BTreeSet;

use crate::MemberId;

/// What a replica without stored state may do when it finds no group to join.
///
/// A process without a disk can't know whether its group existed before: only someone outside
/// the group can say so. A group epoch must therefore be handed out once only.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Formation {
    /// Never forms a group; waits for a leader to admit it. The safe choice after any restart.
    #[default]
    Join,
    /// Forms the group as soon as every bootstrap VM was heard from and agreed on the same set of
    /// incarnations. For members with disks, which remember that the group was formed.
    Unanimous,
    /// Forms the group from exactly these members, which an outside authority recorded together
    /// with the group epoch. A member that restarted without its memory is not among them.
    Founders(BTreeSet<MemberId>),
}
