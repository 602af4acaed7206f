//! What became of an update of the directory.

/// What became of an update of the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// The directory has changed.
    Changed,
    /// It is no newer than what is known; nothing changed.
    Older,
    /// It builds on a route table that is not known; nothing changed, and everything has to be
    /// asked for anew.
    Unfit,
}
