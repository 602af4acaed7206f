//! Identity and addresses of an entry process.

use chicory_types::{Incarnation, VmId};
use serde::{Deserialize, Serialize};

/// Identity and addresses of an entry process, as it reported them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRecord {
    /// VM of the process.
    pub vm: VmId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Host and port for relays from other entry processes.
    pub peer_address: String,
    /// Host and port for announcements from backend servers.
    pub announce_address: String,
}

impl EntryRecord {
    /// Returns the record without its addresses, for renewals after the zone group has registered
    /// them.
    #[must_use]
    pub fn without_addresses(&self) -> Self {
        Self {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            peer_address: String::new(),
            announce_address: String::new(),
        }
    }

    /// Returns whether the record was sent without its addresses.
    #[must_use]
    pub fn lacks_addresses(&self) -> bool {
        self.peer_address.is_empty()
    }
}
