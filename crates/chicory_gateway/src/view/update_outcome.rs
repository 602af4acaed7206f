//! Result of an update of the directory.

/// Result of an update of the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// The directory has changed.
    Changed,
    /// The update is no newer than the directory; nothing changed.
    Older,
    /// The update builds on a route table that this entry VM does not have; nothing changed, and
    /// the whole directory has to be requested again.
    UnknownBase,
}
