//! Status of a replica in its group.

/// Whether the replica belongs to a formed group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupStatus {
    /// Knows no group and waits for a leader to admit it.
    AwaitingAdmission,
    /// Takes part in forming the group; some founders are missing or have not confirmed yet.
    Forming,
    /// Belongs to a formed group.
    Formed,
    /// Its storage failed; it neither votes nor acknowledges entries until it is restarted.
    Halted,
    /// A message with a greater group epoch arrived: the group was formed again without it.
    Superseded,
}
