//! Remembers which backend servers relay peers could not reach.

use std::collections::BTreeMap;

use chicory_directory::ServerRecord;
use chicory_policy::Outages;
use chicory_ranges::ServerIncarnation;
use chicory_types::{MonoTime, ZoneName};

use super::zone_reachability::ZoneReachability;

/// Which backend servers and availability zones relay peers could not reach. Requests for them are
/// refused at once, except for a few that show whether that is still so.
#[derive(Debug, Default)]
pub(super) struct RelayReachability {
    zones: BTreeMap<ZoneName, ZoneReachability>,
    servers: Outages<ServerIncarnation>,
}

impl RelayReachability {
    /// Whether a request for a server may be sent to a relay peer now.
    pub(super) fn may_send(&mut self, now: MonoTime, record: &ServerRecord) -> bool {
        self.is_usable(now, record) && self.servers.try_start_probe(now, &record.incarnation)
    }

    /// Whether the zone of a server is not known to be out of reach.
    pub(super) fn is_usable(&self, now: MonoTime, record: &ServerRecord) -> bool {
        let zone = self.zones.get(&record.zone);
        !zone.is_some_and(|zone| zone.is_cut_off(now))
    }

    pub(super) fn record_sent(&mut self, now: MonoTime, record: &ServerRecord) {
        if let Some(zone) = self.zones.get_mut(&record.zone) {
            zone.record_sent(now);
        }
    }

    /// Records that a server responded by way of a relay peer.
    pub(super) fn record_contact(&mut self, record: &ServerRecord) {
        if let Some(zone) = self.zones.get_mut(&record.zone) {
            zone.record_contact();
        }
        self.servers.record_usable(&record.incarnation);
    }

    /// Records that no relay peer that was tried could reach a server.
    pub(super) fn record_unreached(&mut self, now: MonoTime, record: &ServerRecord) {
        let zone = self.zones.entry(record.zone.clone()).or_default();
        zone.record_failed_connection(now);
        self.servers.record_unusable(now, &record.incarnation);
    }

    pub(super) fn retain(&mut self, is_known: impl Fn(&ServerIncarnation) -> bool) {
        self.servers.retain(is_known);
    }
}
