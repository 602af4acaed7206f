//! Decides which requests of other entry VMs are sent to their servers.

use std::net::SocketAddr;

use chicory_ranges::ServerIncarnation;
use chicory_types::MonoTime;

use super::{Gateway, RelayRecheck};

impl Gateway {
    /// Whether a request that another entry VM sends by way of this one may be sent to its server.
    /// Reading its body and opening a connection take time, and meanwhile the server may have begun
    /// to drain, may have left or may have asked for a pause.
    ///
    /// The other entry VM has checked the server's rate limit when it sent the request.
    #[must_use]
    pub fn recheck_relayed(
        &self,
        now: MonoTime,
        incarnation: &ServerIncarnation,
        address: SocketAddr,
    ) -> RelayRecheck {
        if self.directory.has_ended(incarnation) {
            return RelayRecheck::Withhold;
        }
        let record = self.directory.server(incarnation);
        let Some(record) = record.filter(|record| record.address == address) else {
            return RelayRecheck::NotKnownYet;
        };
        let is_resting = self.rests.rest(now, incarnation).is_some();
        if is_resting || !self.may_receive(now, record) {
            return RelayRecheck::Withhold;
        }
        RelayRecheck::Send
    }

    /// Whether a server gets no more requests, according to this entry VM's own directory.
    pub(super) fn has_left(&self, now: MonoTime, incarnation: &ServerIncarnation) -> bool {
        let record = self.directory.server(incarnation);
        record.is_none_or(|record| !self.may_receive(now, record))
    }
}
