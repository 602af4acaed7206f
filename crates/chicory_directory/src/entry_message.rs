//! Messages from entry VMs to control VMs.

use crate::EntryReport;

/// A message from an entry VM to a control VM.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryMessage {
    /// Counts since the previous report; a control VM answers each report with its status.
    Report(EntryReport),
}
