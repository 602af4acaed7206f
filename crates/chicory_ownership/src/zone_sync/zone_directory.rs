//! Entry processes of an availability zone.

use chicory_types::{ZoneName, fingerprint_of};
use serde::{Deserialize, Serialize};

use crate::EntryRecord;

/// Entry processes of an availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneDirectory {
    /// The zone.
    pub zone: ZoneName,
    /// Its entry processes.
    pub entries: Vec<EntryRecord>,
}

impl ZoneDirectory {
    /// Returns a fingerprint of the entry processes, used to avoid resending a directory that the
    /// receiver already has.
    #[must_use]
    pub fn fingerprint(entries: &[EntryRecord]) -> u64 {
        let incarnations: Vec<[u8; 8]> = entries
            .iter()
            .map(|entry| entry.incarnation.to_le_bytes())
            .collect();
        let parts = entries.iter().zip(&incarnations).flat_map(|(entry, at)| {
            [
                entry.vm.as_bytes(),
                at.as_slice(),
                entry.peer_address.as_bytes(),
                entry.announce_address.as_bytes(),
            ]
        });
        fingerprint_of(&parts.collect::<Vec<_>>())
    }
}
