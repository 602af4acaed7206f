//! Entry VMs that relay requests for this one.

use chicory_directory::RelayPeer;

use super::Gateway;

impl Gateway {
    /// Replaces the entry VMs that relay requests for this one; the preferred one is first.
    pub fn set_relays(&mut self, relays: Vec<RelayPeer>) {
        self.relays = relays;
    }

    /// Returns the entry VMs that relay requests for this one; the preferred one is first.
    #[must_use]
    pub fn relays(&self) -> &[RelayPeer] {
        &self.relays
    }
}
