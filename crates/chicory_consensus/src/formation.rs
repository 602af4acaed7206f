//! How a group is formed.

use std::collections::BTreeSet;

use crate::MemberId;

/// Way in which a replica without stored state may form a group when it finds none to join.
///
/// A process without a disk can't know whether its group existed before; only an authority
/// outside the group knows. That authority must therefore assign each group epoch only once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Formation {
    /// Never forms a group; waits for a leader to admit it. The safe choice after any restart.
    #[default]
    Join,
    /// Forms the group as soon as every bootstrap VM has made contact and all have agreed on the
    /// same set of incarnations. For members with disks, which remember that the group was formed.
    Unanimous,
    /// Forms the group from exactly these members, which an outside authority recorded together
    /// with the group epoch. A member that lost its state in a restart is not among them.
    Founders(BTreeSet<MemberId>),
}
