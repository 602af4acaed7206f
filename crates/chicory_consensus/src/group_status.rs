//! What a replica knows of its group.

/// Whether the replica belongs to a formed group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupStatus {
    /// Knows of no group and waits to be admitted by a leader.
    AwaitingAdmission,
    /// Takes part in forming the group; some founders are missing.
    Forming,
    /// Belongs to a formed group.
    Formed,
    /// Its storage failed; it neither votes nor acknowledges until it is started anew.
    Halted,
    /// A message of a greater group epoch arrived: the group was formed anew without it.
    Superseded,
}
