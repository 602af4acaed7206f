//! What an entry VM knows of overloaded owners.

use chicory_policy::AdmittedFractions;
use chicory_ranges::ServerIncarnation;

/// What an entry VM knows of overloaded owners.
#[derive(Debug, Default)]
pub(super) struct AdmittedOwners {
    pub(super) fractions: AdmittedFractions<ServerIncarnation>,
    /// Number of owners in the latest message of the leader.
    pub(super) count: usize,
    /// Requests refused since they were last counted.
    pub(super) refused: u64,
}
