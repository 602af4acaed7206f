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
    /// First entry of each leader; it commits what former terms left behind.
    Noop,
    /// A command for the state machine, opaque to the log.
    Command(Vec<u8>),
    /// A new membership, in force as soon as it is in the log.
    Membership(Membership),
}

impl EntryPayload {
    /// Size of the opaque part, which batches are bounded by.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        match self {
            Self::Noop => 0,
            Self::Command(command) => command.len(),
            Self::Membership(membership) => membership.members().map(|m| m.vm.len() + 8).sum(),
        }
    }
}
