//! The server that starts at the address of one that has ended.

/// The server that starts at the address of one that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Successor {
    /// It has an id of its own.
    NewId,
    /// It has an id of its own, but its start time is that of the one before, as its clock was set
    /// back.
    NewIdSameStart,
    /// It has the same id and a later start time.
    SameId,
}
