//! Entries of the replicated log.

use chicory_types::{LogIndex, Term};
use serde::{Deserialize, Serialize};

use crate::Membership;

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log; the first entry has index 1.
    pub index: LogIndex,
    /// Term of the leader that appended the entry.
    pub term: Term,
    /// Content of the entry.
    pub payload: EntryPayload,
}

/// Content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// Empty entry that each leader appends first in its term.
    ///
    /// A leader must not commit entries of former terms on their own; committing this entry
    /// commits them too.
    Noop,
    /// A command for the state machine, opaque to the log.
    Command(Vec<u8>),
    /// A new membership, in effect as soon as it is in the log.
    Membership(Membership),
}

impl EntryPayload {
    /// Returns the size of the payload, by which batches are limited.
    ///
    /// A membership counts as the VM name of each member plus 8 bytes for its incarnation.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        match self {
            Self::Noop => 0,
            Self::Command(command) => command.len(),
            Self::Membership(membership) => {
                membership.members().map(|member| member.vm.len() + 8).sum()
            }
        }
    }
}
