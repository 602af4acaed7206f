//! Messages of entry VMs.

use crate::EntryReport;

/// A message from an entry VM to a control VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryMessage {
    /// Counts since the former report; a control VM answers each with its status.
    Report(EntryReport),
}
