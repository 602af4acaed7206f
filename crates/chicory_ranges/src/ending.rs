//! What is known of the end of a server's process.

use crate::ServerIncarnation;

/// What is known of the end of a server's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending<'a> {
    /// It may be running.
    NotKnown,
    /// It has ended, and no process of its service has its address.
    Ended,
    /// It has ended, and this one has its address.
    Succeeded(&'a ServerIncarnation),
}
