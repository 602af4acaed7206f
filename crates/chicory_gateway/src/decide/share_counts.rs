//! Counts of requests to servers whose slots are divided among entry VMs.

/// Counts of requests to servers whose slots are divided among entry VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShareCounts {
    /// Requests sent to slots of this entry VM.
    pub within: u64,
    /// Requests sent to other slots.
    pub beyond: u64,
    /// Times that a request began to wait for a slot of this entry VM.
    pub awaited: u64,
    /// Attempts that servers rejected because they were full.
    pub rejected: u64,
}
